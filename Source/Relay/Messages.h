/// \file
/// Messages between two proxies when one sends statements through the other.

#ifndef CORIANDERDYKE_RELAY_MESSAGES_H
#define CORIANDERDYKE_RELAY_MESSAGES_H

#include "Replicas/ReplicaTable.h"
#include "Statements/Links.h"

#include <map>
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
  /// Time from the request to the leader until this message was sent. Messages
  /// carry ages, not times, because the clocks of two hosts are unrelated.
  Millis Age;

  auto operator<=>(const RelayFloor &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Shown, Age); }
};

/// The answer to a link's oldest unanswered command.
struct RelayAnswer {
  std::uint32_t Link = 0;
  /// Counts the link's answers from 0. It detects a missing or duplicate
  /// answer, which would assign each later answer to the wrong statement.
  std::uint64_t Index = 0;
  StatementAnswer Answer;
  std::optional<RelayFloor> Floor; ///< If sufficiently newer than the last.
  /// About a replica of the answer's group, if the gateway has observed it
  /// since its last report.
  std::optional<ReplicaReport> Report = {};

  bool operator==(const RelayAnswer &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Link, Index, Answer, Floor, Report);
  }
};

/// Closes a link. From the gateway: no further answers follow. To the gateway:
/// answers are no longer needed, and an open transaction is rolled back.
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

/// The gateway is about to stop: it completes what has begun and should get
/// nothing new.
struct RelayLeaving {
  bool operator==(const RelayLeaving &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

/// Which targets the gateway cannot reach. It replaces the gateway's previous
/// message of this kind.
struct RelayReach {
  std::vector<std::string> Unreachable;
  /// Statements waiting and in flight at the gateway, by target.
  std::map<std::string, std::uint32_t> Load;

  bool operator==(const RelayReach &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Unreachable, Load);
  }
};

using RelayMessage =
    std::variant<RelayOpen, RelayCommands, RelayAnswer, RelayClose, RelayPing,
                 RelayPong, RelayLeaving, RelayReach>;

} // namespace corianderdyke

#endif
