/// \file
/// One replacement of two control hosts, followed by the loss of two disks,
/// with times and orders drawn from a seed.

#ifndef CORIANDERDYKE_TESTS_REPLACEMENT_PLAY_H
#define CORIANDERDYKE_TESTS_REPLACEMENT_PLAY_H

#include "Common/Millis.h"
#include "LoopbackNetwork.h"
#include "Program.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace corianderdyke::replacement {

/// When the second desired state is sent.
enum class ChangeTime : std::uint8_t {
  BeforeStops,
  BetweenStops,
  AfterStops,
};

/// What is drawn. Times are in milliseconds from the step before.
struct Steps {
  Millis SyncDelay;                  ///< Of each sync of all hosts.
  int LeaderRestarts = 0;            ///< Before the replacements start.
  std::vector<std::size_t> Replaced; ///< In the order in which they stop.
  bool IsKilled = false;             ///< They stop without a signal before.
  Millis SecondStartAfter;
  Millis StopAfter; ///< From when the replacements run.
  /// Whether the replacements are voters before the replaced hosts stop.
  bool AwaitsVotes = false;
  Millis SecondStopAfter;
  ChangeTime Change = ChangeTime::AfterStops;
  Millis ChangeAfter;
  Millis LossAfter;
  Millis Downtime;
  std::vector<std::size_t> WithoutDisk;
  std::vector<std::size_t> StartOrder;
  std::vector<Millis> StartAfter;
  std::size_t Paused = 0;
  Millis PausedAfter; ///< From the start of the first replacement.
  Millis PausedFor;   ///< 0: no host is paused.

  static Steps draw(std::uint64_t Seed);
  /// Two hosts stop as planned once their replacements have caught up and vote,
  /// and the disks are lost right after that.
  static Steps lossRightAfterStops(std::uint64_t Seed);
  std::string text() const;
};

enum class Verdict : std::uint8_t {
  Held,
  Late,    ///< Read back, but later than the recovery timeout.
  Refused, ///< A desired state was not acknowledged in time.
  Broken,  ///< The acknowledged desired state is lost or cannot be read.
};

const char *verdictName(Verdict Of);

class Play {
public:
  Play(std::string Program, std::string Folder, Steps Drawn);

  Verdict run();
  /// True if more was lost at the same time than the group has to bear: a new
  /// host, one that is back or the host that it replaces still counts as lost
  /// while it catches up.
  bool isExcused() const {
    return LossAt != Millis(0) && LossAt < AllCaughtUpAt;
  }
  /// What happened when, for a report.
  const std::string &record() const { return Record; }

private:
  void note(const std::string &What);
  Millis now() const;
  /// Waits, and runs the actions that become due.
  void advance(Millis Span);
  std::string address(std::size_t Number) const;
  void startHost(std::size_t Number, bool Founds);
  void stopHost(std::size_t Number, bool IsKilled);
  void awaitStops();
  /// Waits until a host answers: its process may start slowly beside others.
  bool awaitRunning(std::size_t Number);
  bool awaitVoters(std::size_t Count);
  /// Number of the leading host and the metrics of that host.
  std::optional<std::pair<std::size_t, std::string>> findLeader();
  void pauseHost();
  /// Kills the leading host and starts it again.
  void restartLeader();
  void noteLost() { AllCaughtUpAt = std::max(AllCaughtUpAt, now() + CatchUp); }
  bool replaceConfig(std::uint64_t Version);
  /// The version that a host tells, 0 if none does in time.
  std::uint64_t readVersion(Millis Timeout);
  /// False if the replacements or the change were not accepted in time.
  bool replaceHosts();
  void loseDisks();

  static constexpr Millis CatchUp = Millis(4000);

  std::string Program;
  std::string Folder;
  Steps Drawn;
  LoopbackNetwork Network;
  Millis StartedAt;
  std::map<std::size_t, soak::Program> Hosts;
  std::map<std::size_t, int> LostDisks;
  std::multimap<Millis, std::function<void()>> Due;
  /// Hosts that were told to stop, and when they are killed.
  std::map<std::size_t, Millis> Stopping;
  Millis LossAt;
  Millis AllCaughtUpAt;
  std::string Record;
};

} // namespace corianderdyke::replacement

#endif
