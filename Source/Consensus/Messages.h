/// \file
/// What control hosts tell each other to agree on one log.

#ifndef CORIANDERDYKE_CONSENSUS_MESSAGES_H
#define CORIANDERDYKE_CONSENSUS_MESSAGES_H

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace corianderdyke {

/// A control host as a member of the group. A host that comes back with an
/// empty disk has a new DiskId: its former self's votes and entries are gone,
/// so it mustn't be counted for them.
struct Member {
  std::string Name;
  std::string DiskId; ///< Empty for a vacant seat.

  /// A vacant seat counts in the size of the majority and never answers: a
  /// lost disk is out of the group and its host's next disk has yet to enter.
  bool isVacant() const { return DiskId.empty(); }

  auto operator<=>(const Member &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Name, DiskId); }
};

using Members = std::vector<Member>;

/// The names of the members, for people.
std::string describe(const Members &All);

/// The DiskId of a vacant seat.
inline constexpr const char *VacantDisk = "";

enum class EntryKind : std::uint8_t {
  Empty,      ///< A new leader's first entry.
  Command,    ///< Bytes for the state machine.
  Membership, ///< An encoded Members that holds from this entry on.
};

struct Entry {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  EntryKind Kind = EntryKind::Empty;
  std::string Bytes;

  auto operator<=>(const Entry &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Index, Term, Kind, Bytes);
  }
};

/// Asks for a vote. With PreVote set it asks only whether a vote would be
/// given, and changes nobody's term: a host that returns from a partition
/// can't topple a working leader with its high term.
struct VoteRequest {
  std::uint64_t Term = 0;
  bool PreVote = false;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;

  bool operator==(const VoteRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, PreVote, LastIndex, LastTerm);
  }
};

struct VoteReply {
  std::uint64_t Term = 0;
  bool PreVote = false;
  bool Granted = false;

  bool operator==(const VoteReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, PreVote, Granted);
  }
};

/// Entries, or a heartbeat where there are none.
struct AppendRequest {
  std::uint64_t Term = 0;
  std::uint64_t PreviousIndex = 0;
  std::uint64_t PreviousTerm = 0;
  std::uint64_t CommitIndex = 0;
  /// Counts the leader's rounds; its echo proves that the leader was still
  /// followed after the round began.
  std::uint64_t Round = 0;
  std::vector<Entry> Entries;

  bool operator==(const AppendRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, PreviousIndex, PreviousTerm, CommitIndex, Round, Entries);
  }
};

struct AppendReply {
  std::uint64_t Term = 0;
  bool Matched = false;
  /// The last index known to be the leader's too; where Matched is false, an
  /// index from which the leader may try again.
  std::uint64_t MatchIndex = 0;
  std::uint64_t Round = 0;

  bool operator==(const AppendReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, Matched, MatchIndex, Round);
  }
};

/// The state up to an index, for a host whose log ends before the leader's
/// begins.
struct SnapshotInstall {
  std::uint64_t Term = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t Round = 0;
  Members Voters;
  std::string State;

  bool operator==(const SnapshotInstall &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, LastIndex, LastTerm, Round, Voters, State);
  }
};

/// Sent by a host without a group to those that its settings name, and
/// answered with what the receiver knows.
struct GroupDiscovery {
  /// Empty where the sender has no group either.
  Members Voters;
  /// Index of the entry that Voters stand in; 1 for the founders.
  std::uint64_t VotersIndex = 0;
  bool IsReply = false;

  bool operator==(const GroupDiscovery &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Voters, VotersIndex, IsReply);
  }
};

using ConsensusBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotInstall, GroupDiscovery>;

struct ConsensusMessage {
  Member From;
  ConsensusBody Body;

  bool operator==(const ConsensusMessage &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(From, Body); }
};

} // namespace corianderdyke

#endif
