/// \file
/// Decides when the lead of a group moves off a saturated primary because every
/// replica lags too far behind to serve reads.
///
/// A replica that has received the whole log holds all of it once it leads, and
/// the former primary, as a replica, serves reads too. All functions are pure:
/// they take what is known and the time, and return the decision.

#ifndef CORIANDERDYKE_STEERING_LEADRELIEF_H
#define CORIANDERDYKE_STEERING_LEADRELIEF_H

#include "Plan/RoutePlan.h"
#include "Steering/Messages.h"
#include "Steering/Ports.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace corianderdyke {

struct ReliefRules {
  /// Refused and late reads are summed over this time.
  Millis Window = Millis(1000);
  /// Refused and late reads within the window from which a group is considered.
  std::uint64_t MinAffectedReads = 30;
  /// The primary must have led, and the targets must not have restarted, for
  /// this long: after a change of primary, proxies and replicas first settle.
  Millis MinLead = Millis(5000);
  /// Least time between two reliefs of a group.
  Millis MinInterval = Millis(10000);
  /// The same after a relief whose successor did not catch up. Each such
  /// attempt leaves the group without a leader for the catch-up time, and a
  /// replica that receives nothing stays so for long.
  Millis MinIntervalAfterFailure = Millis(60000);
  /// Pause after targets were queried and nothing was moved, because each query
  /// occupies a slot of a saturated primary.
  Millis QueryPause = Millis(500);
  /// Records that a successor may still lack before the primary steps down.
  std::uint64_t MaxMissingRecords = 20;
};

/// Counts that proxies reported within the last window.
class PressureReports {
public:
  /// Ignores a repeated or delayed report, and one of an incarnation of the
  /// proxy that another has replaced.
  void record(const ProcessId &Proxy, std::uint64_t Sequence,
              const std::vector<GroupPressure> &Counts, Millis Now);
  GroupPressure recent(const std::string &Group, Millis Window,
                       Millis Now) const;
  void removeExpired(Millis Window, Millis Now);
  void clear();

private:
  struct Reporter {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    std::set<std::uint64_t> Replaced; ///< Earlier incarnations.
  };
  struct Entry {
    Millis At;
    GroupPressure Counts;
  };
  std::map<std::string, Reporter> Reporters; ///< By name of the proxy.
  std::deque<Entry> Entries;                 ///< In order of arrival.
};

/// How long the targets of a group have been the same, and when the group may
/// be relieved next.
class ReliefHistory {
public:
  /// Starts as a new leader of the control group, which does not know what
  /// happened before.
  void start(const ReliefRules &Rules, Millis Now);
  /// Records the group's targets and primary, as reported by heartbeats.
  void observe(const std::vector<TargetRecord> &Targets,
               const std::string &Primary, Millis Now);
  void forbidUntil(Millis When) { NotBefore = std::max(NotBefore, When); }
  bool allows(const ReliefRules &Rules, Millis Now) const {
    return !LastPrimary.empty() && Now >= NotBefore &&
           Now - UnchangedSince >= Rules.MinLead;
  }

private:
  std::map<std::string, std::uint64_t> Incarnations; ///< By target.
  std::string LastPrimary;
  Millis UnchangedSince;
  Millis NotBefore;
};

/// Returns the smallest accepted age of the routes of \p Group whose reads
/// replicas may serve; nothing if there is no such route.
std::optional<Millis> smallestStaleness(const RoutePlan &Plan,
                                        const std::string &Group);

/// A target's answer to the query.
struct ReliefAnswer {
  enum class Kind : std::uint8_t {
    Pending,
    Missing,  ///< No answer in time, or from another incarnation.
    Busy,     ///< It runs, but refuses to answer for want of a slot.
    Answered, ///< Status is valid.
  };
  Kind Outcome = Kind::Pending;
  TargetStatus Status = {};
};

/// One query of all targets of a group.
struct ReliefQuery {
  std::uint64_t Id = 0; ///< Answers to earlier queries are ignored.
  TargetRecord Primary;
  std::map<std::string, std::uint64_t> Incarnations; ///< Of the replicas.
  Millis MaxStaleness; ///< Smallest accepted age of the group's routes.
  GroupPressure Pressure;
  Millis StartedAt;
  Millis NextAt; ///< Busy targets are asked again then.
  std::map<std::string, ReliefAnswer> Answers; ///< By target.
};

struct ReliefDecision {
  enum class Action : std::uint8_t {
    Wait,    ///< For answers.
    Query,   ///< Ask the busy targets again.
    Move,    ///< Move the lead to a replica that receives the whole log.
    Nothing, ///< Leave the lead where it is.
  };
  Action What = Action::Nothing;
  std::string Reason = {};
};

/// True if the targets of a group should be queried.
bool shouldConsiderRelief(const ReliefRules &Rules,
                          const ReliefHistory &History,
                          const GroupPressure &Recent, Millis Now);

/// Decides on the answers so far. Busy targets are asked again until
/// \p Timeout.
ReliefDecision decideRelief(const ReliefRules &Rules, const ReliefQuery &Query,
                            Millis Timeout, Millis Now);

/// Returns the replica that is to lead, or an empty string while none holds the
/// log up to \p Required. Of several the one that lags least: it has the fewest
/// records to apply.
std::string
chooseReliefSuccessor(const std::map<std::string, TargetStatus> &Replicas,
                      LogPosition Required);

} // namespace corianderdyke

#endif
