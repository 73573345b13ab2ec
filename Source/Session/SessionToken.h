/// \file
/// What a caller carries from request to request so that it reads its own
/// writes at any proxy.

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

/// A bounded set of floors, the last written database last. When more
/// databases are touched than it holds, the oldest floor gives way and
/// IsPartial is set: databases that aren't listed are then read from their
/// primary, which has every acknowledged write.
class SessionToken {
public:
  static constexpr std::size_t MaxFloors = 8;

  /// The floor for a database; nothing where the session wrote nothing there
  /// or the floor gave way (see isPartial).
  std::optional<SessionFloor> floor(const std::string &Database) const;

  /// The token after a write was acknowledged.
  SessionToken withWrite(const std::string &Database, std::uint64_t Term,
                         std::uint64_t Position) const;

  /// True where some floor gave way.
  bool isPartial() const { return Partial; }

  auto operator<=>(const SessionToken &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Floors, Partial); }

private:
  std::vector<SessionFloor> Floors;
  bool Partial = false;
};

/// The token as text, sealed with \p Key.
std::string signToken(const SessionToken &Token, const std::string &Key);

/// The token in \p Text; BadInput where it was altered or cut. The empty
/// text is a new session.
Expected<SessionToken> verifyToken(const std::string &Text,
                                   const std::string &Key);

} // namespace corianderdyke

#endif
