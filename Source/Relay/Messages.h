/// \file
/// What two proxies tell each other when one sends statements through the
/// other.

#ifndef CORIANDERDYKE_RELAY_MESSAGES_H
#define CORIANDERDYKE_RELAY_MESSAGES_H

#include "Statements/Links.h"

#include <variant>

namespace corianderdyke {

/// Opens a link; its number is new on this stream.
struct RelayOpen {
  std::uint32_t Link = 0;
  TargetAddress To;

  bool operator==(const RelayOpen &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Link, To); }
};

struct RelayCommands {
  std::uint32_t Link = 0;
  std::vector<TargetCommand> Commands;

  bool operator==(const RelayCommands &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Link, Commands); }
};

/// A floor that the gateway knows for the answer's group.
struct RelayFloor {
  LogPosition Shown;
  /// From asking the leader to sending this. Ages travel, never times: clocks
  /// of two hosts have nothing in common.
  Millis Age;

  auto operator<=>(const RelayFloor &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Shown, Age); }
};

/// The answer to a link's oldest unanswered command.
struct RelayAnswer {
  std::uint32_t Link = 0;
  /// Counts the link's answers from 0. One that is left out or comes twice
  /// would give each later statement another one's answer.
  std::uint64_t Index = 0;
  StatementAnswer Answer;
  std::optional<RelayFloor> Floor; ///< Where it's news for this proxy.

  bool operator==(const RelayAnswer &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Link, Index, Answer, Floor);
  }
};

/// From the gateway: no answer will come any more. To it: none is wanted, and
/// what is open on the link is rolled back.
struct RelayClose {
  std::uint32_t Link = 0;

  bool operator==(const RelayClose &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Link); }
};

/// A keepalive.
struct RelayPing {
  bool operator==(const RelayPing &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

struct RelayPong {
  bool operator==(const RelayPong &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

/// The gateway stops soon: it ends what it has begun and takes nothing new.
struct RelayLeaving {
  bool operator==(const RelayLeaving &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

using RelayMessage =
    std::variant<RelayOpen, RelayCommands, RelayAnswer, RelayClose, RelayPing,
                 RelayPong, RelayLeaving>;

} // namespace corianderdyke

#endif
