/// \file
/// Plans that are sent again while control hosts are replaced: an
/// acknowledgement promises the same, however often the plan is sent.

#include "FakeFleet.h"

using namespace corianderdyke;

namespace {

struct Answer {
  std::optional<bool> IsAccepted;
  bool isDone() const { return IsAccepted.has_value(); }
};

/// Five control hosts, two of which were replaced and then killed without
/// notice, so that seven vote and five run.
struct ReplacedFleet : ReadyFleet {
  explicit ReplacedFleet(std::uint64_t Seed) : ReadyFleet(Seed) {
    for (const char *Name : {"10.0.0.6", "10.0.0.7"})
      Fleet.startControl(Name, false);
    REQUIRE(Fleet.Loop.runUntilTrue(
        [&] {
          return Fleet.leader() != nullptr &&
                 Fleet.leader()->consensus().voters().size() == 7;
        },
        Millis(10000)));
    Fleet.Loop.runFor(Millis(1000));
    std::vector<std::string> Followers;
    for (const std::string &Name : Fleet.Names)
      if (!Fleet.Controls[Name].Node->leads())
        Followers.push_back(Name);
    for (std::size_t Each = 0; Each < 2; ++Each)
      Fleet.killControl(Followers[Each]);
    for (const auto &[Name, Each] : Fleet.Controls)
      Running.push_back(Name);
  }

  std::shared_ptr<Answer> send(std::uint64_t Version) {
    RoutePlan Plan;
    Plan.Version = Version;
    Plan.Groups = {{"ledger", 16, 0}};
    Plan.Document = "document " + std::to_string(Version);
    auto Out = std::make_shared<Answer>();
    Fleet.leader()->acceptPlan(Plan, [Out](const Expected<void> &Result) {
      Out->IsAccepted = Result.has_value();
    });
    return Out;
  }

  bool isInForce(std::uint64_t Version) {
    return Fleet.leader() != nullptr &&
           Fleet.leader()->state().plan().Version >= Version;
  }

  /// Restarts all running hosts; those of \p Emptied lose their disks.
  void restartAll(const std::vector<std::string> &Emptied = {}) {
    for (const std::string &Name : Running)
      Fleet.killControl(Name);
    for (const std::string &Name : Emptied)
      Fleet.Disks.erase(Name);
    for (const std::string &Name : Running)
      Fleet.startControl(Name, false);
    Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                            Millis(12000));
  }

  /// Two of the hosts that run lose their disks in a restart of all.
  void loseTwoDisks() { restartAll({Running[0], Running[1]}); }

  std::vector<std::string> Running;
};

} // namespace

TEST_CASE("A repeated plan is acknowledged no earlier than the first time",
          "[steering]") {
  // Guards against acknowledging a plan to its second sender while the group
  // does not bear the loss of two disks.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  ReplacedFleet Setup(static_cast<std::uint64_t>(Seed));
  const auto First = Setup.send(2);
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Setup.isInForce(2); },
                                        Millis(1000)));
  REQUIRE_FALSE(First->isDone());
  const auto Second = Setup.send(2);
  const auto Older = Setup.send(1);
  CHECK_FALSE(Second->isDone());
  CHECK_FALSE(Older->isDone());
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Second->isDone(); },
                                        Millis(5000)));
  CHECK(Second->IsAccepted == true);
  CHECK(First->IsAccepted == true);
  CHECK(Older->IsAccepted == true);
  Setup.loseTwoDisks();
  CHECK(Setup.isInForce(2));
}

TEST_CASE("A new leader acknowledges a repeated plan once disks may be lost",
          "[steering]") {
  // Guards against a leader that acknowledges what it read from its disk,
  // although the change was not acknowledged before.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  ReplacedFleet Setup(static_cast<std::uint64_t>(Seed));
  const auto First = Setup.send(2);
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Setup.isInForce(2); },
                                        Millis(1000)));
  Setup.restartAll();
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Setup.isInForce(2); },
                                        Millis(5000)));
  const auto Second = Setup.send(2);
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Second->isDone(); },
                                        Millis(5000)));
  REQUIRE(Second->IsAccepted == true);
  CHECK_FALSE(First->IsAccepted.value_or(false));
  Setup.loseTwoDisks();
  CHECK(Setup.isInForce(2));
}

TEST_CASE("A repeated plan isn't refused while its leader is replaced",
          "[steering]") {
  // Guards against a request that stays without an answer when the leader is
  // cut off.
  ReplacedFleet Setup(1);
  Setup.send(2);
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Setup.isInForce(2); },
                                        Millis(1000)));
  const auto Second = Setup.send(2);
  const std::string Old = Setup.Fleet.leader()->leader();
  for (const std::string &Other : Setup.Running)
    Setup.Fleet.Net.cutBoth(Old, Other);
  REQUIRE(Setup.Fleet.Loop.runUntilTrue([&] { return Second->isDone(); },
                                        Millis(5000)));
  CHECK(Second->IsAccepted == false);
}
