/// \file
/// The targets that are known, from their own heartbeats.

#ifndef CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H
#define CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <map>
#include <optional>
#include <vector>

namespace corianderdyke {

/// What a target last said of itself. The record with the highest sequence of
/// an id holds.
struct TargetRecord {
  std::string Id; ///< One life of a target; a restarted one has another.
  std::string Group;
  Endpoint Address;
  std::string FailureDomain;
  std::uint64_t Sequence = 0;
  bool IsPrimary = false; ///< As the target sees itself.
  bool IsLeaving = false;
  bool IsGone = false; ///< It said goodbye, or another took its address.
  /// Counts the times that any target of the group became primary, as the
  /// leading control host saw them; the highest is believed.
  std::uint64_t PrimarySince = 0;
  /// Statements that it works on at a time; 0 where it didn't say.
  std::uint32_t Slots = 0;

  /// True where only the sequence differs.
  bool saysTheSame(TargetRecord Other) const {
    Other.Sequence = Sequence;
    return Other == *this;
  }

  auto operator<=>(const TargetRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Group, Address, FailureDomain, Sequence, IsPrimary, IsLeaving,
       IsGone, PrimarySince, Slots);
  }
};

class TargetDirectory {
public:
  /// Begins to count primaries anew, above all that a control host of an
  /// earlier term counted: one that starts without their records would else
  /// give a new primary the number of one that is gone.
  void beginTerm(std::uint64_t Term);

  /// Takes a target's own word in; true where something changed that others
  /// must know. A record of an older sequence is ignored: a heartbeat that a
  /// partition held up would bring a dead life back.
  bool hear(TargetRecord Said, Millis Now);

  /// The target said goodbye.
  bool leave(const std::string &Id, Millis Now);

  /// Takes over what another process knows; true where something was news.
  bool merge(const std::vector<TargetRecord> &Others, Millis Now);

  /// Forgets targets that have gone for long.
  void forgetGone(Millis Now);

  std::vector<TargetRecord> all() const;
  const TargetRecord *find(const std::string &Id) const;
  /// Targets of a group that haven't gone.
  std::vector<TargetRecord> ofGroup(const std::string &Group) const;
  /// The one that leads as far as is known; nothing where none says so.
  std::optional<TargetRecord> primaryOf(const std::string &Group) const;
  /// Since when nothing was heard of it here.
  Millis lastHeard(const std::string &Id) const;
  /// Raised with each change that others must know.
  std::uint64_t revision() const { return Revision; }

  /// A goodbye is remembered for this long, so that a late heartbeat of the
  /// same life doesn't bring it back.
  static constexpr Millis GoneKept = Millis(60000);

private:
  struct Known {
    TargetRecord Record;
    Millis LastHeard;
    Millis GoneAt;
  };

  void supersede(const TargetRecord &Newer, Millis Now);
  std::uint64_t nextPrimary(const std::string &Group) const;

  /// Changes of primary in one group under one leader of control.
  static constexpr std::uint64_t PrimariesPerTerm = 1U << 20U;

  std::map<std::string, Known> Targets;
  std::uint64_t FirstPrimary = 1;
  std::uint64_t Revision = 0;
};

} // namespace corianderdyke

#endif
