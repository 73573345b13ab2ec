/// \file
/// Messages by which the control hosts agree on one log.

#ifndef CORIANDERDYKE_CONSENSUS_MESSAGES_H
#define CORIANDERDYKE_CONSENSUS_MESSAGES_H

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace corianderdyke {

/// A control host as a member of the group. A host that restarts with an empty
/// disk gets a new DiskId: the votes and entries of its old disk are lost, so
/// it must not be counted for them.
struct Member {
  std::string Name;
  std::string DiskId; ///< Empty for a vacant seat.

  /// A vacant seat counts towards the size of the majority and never answers.
  /// It stands for a lost disk whose replacement on the same host has not been
  /// admitted yet.
  bool isVacant() const { return DiskId.empty(); }

  auto operator<=>(const Member &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Name, DiskId); }
};

using Members = std::vector<Member>;

/// The names of the members as human-readable text.
std::string describe(const Members &All);

/// The DiskId of a vacant seat.
inline constexpr const char *VacantDisk = "";

enum class EntryKind : std::uint8_t {
  Empty,      ///< First entry of a new leader.
  Command,    ///< Bytes for the state machine.
  Membership, ///< Encoded Members, in force from this entry on.
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

/// Requests a vote. With PreVote set it only asks whether a vote would be
/// granted and changes no term, so that a host that returns from a partition
/// with a high term cannot depose a working leader.
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

/// Log entries, or a heartbeat if Entries is empty.
struct AppendRequest {
  std::uint64_t Term = 0;
  std::uint64_t PreviousIndex = 0;
  std::uint64_t PreviousTerm = 0;
  std::uint64_t CommitIndex = 0;
  /// Number of the heartbeat round of the leader. A reply that echoes it proves
  /// that the sender still followed the leader after the round began.
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
  /// The last index at which the log is known to match that of the leader. If
  /// Matched is false, an index from which the leader may retry.
  std::uint64_t MatchIndex = 0;
  std::uint64_t Round = 0;

  bool operator==(const AppendReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Term, Matched, MatchIndex, Round);
  }
};

/// The state up to an index, for a host whose log ends before the first entry
/// that the leader still holds.
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

/// Sent to all control hosts that the sender knows, by a host that is not a
/// voter or that starts a pre-vote. The reply carries the voters that the
/// receiver knows.
struct GroupDiscovery {
  /// Empty if the sender has no group either.
  Members Voters;
  /// Index of the entry that holds Voters; 1 for the founding members.
  std::uint64_t VotersIndex = 0;
  bool IsReply = false;

  bool operator==(const GroupDiscovery &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Voters, VotersIndex, IsReply);
  }
};

/// Sent to the leader by a voter that is about to stop, until it is no voter.
/// The leader removes it if the group bears the tolerated losses without it.
struct LeaveRequest {
  bool operator==(const LeaveRequest &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

/// Sent to the voters by a leader that has left the group: they elect another
/// at once, without waiting for an election timeout.
struct LeadershipEnd {
  std::uint64_t Term = 0;

  bool operator==(const LeadershipEnd &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term); }
};

using ConsensusBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotInstall, GroupDiscovery, LeaveRequest, LeadershipEnd>;

struct ConsensusMessage {
  Member From;
  ConsensusBody Body;

  bool operator==(const ConsensusMessage &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(From, Body); }
};

} // namespace corianderdyke

#endif
