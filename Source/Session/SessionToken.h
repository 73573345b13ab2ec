/// \file
/// The session token that a caller sends with each request so that it reads
/// its own writes at any proxy.

#ifndef CORIANDERDYKE_SESSION_SESSIONTOKEN_H
#define CORIANDERDYKE_SESSION_SESSIONTOKEN_H

#include "Common/Error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace corianderdyke {

/// The position of the session's last write to one database.
struct SessionFloor {
  std::uint64_t Database = 0; ///< Hash of the name.
  std::uint64_t Term = 0;
  std::uint64_t Position = 0;

  auto operator<=>(const SessionFloor &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Position);
  }
};

/// A bounded set of floors; the most recently written database comes last. If
/// a session writes to more databases than the token can hold, the oldest floor
/// is dropped and isPartial() returns true. Databases without a floor are then
/// read from their primary, which has every acknowledged write.
class SessionToken {
public:
  static constexpr std::size_t MaxFloors = 8;

  /// The floor for a database; nothing if the session wrote nothing there or
  /// the floor was dropped (see isPartial()).
  std::optional<SessionFloor> floor(const std::string &Database) const;

  /// Returns the token after an acknowledged write.
  SessionToken withWrite(const std::string &Database, std::uint64_t Term,
                         std::uint64_t Position) const;

  /// True if a floor was dropped.
  bool isPartial() const { return Partial; }

  auto operator<=>(const SessionToken &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Floors, Partial); }

private:
  std::vector<SessionFloor> Floors;
  bool Partial = false;
};

/// Encodes the token as text and signs it with \p Key.
std::string signToken(const SessionToken &Token, const std::string &Key);

/// Decodes \p Text and verifies its signature; BadInput if it was altered or
/// truncated. An empty text is a new session.
Expected<SessionToken> verifyToken(const std::string &Text,
                                   const std::string &Key);

} // namespace corianderdyke

#endif
