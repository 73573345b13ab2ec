/// \file
/// Which reads a proxy counts as refused, or served too late, at the leader
/// because every replica lags.

#include "FakeGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// Both replicas have missed a write that is older than readers accept.
struct LaggingSetup {
  LaggingSetup() {
    Proxy.Pipeline.signalReadPressure().connect(
        [this](const std::string &, bool IsRefused) {
          ++(IsRefused ? Refused : Late);
        });
    Group.Servers["b"].IsReplicating = false;
    Group.Servers["c"].IsReplicating = false;
    REQUIRE_FALSE(Proxy.ask(Writer, Kind::Write, "w1", "STORE x 1").Refusal);
    Loop.runFor(Millis(1600));
    REQUIRE_FALSE(Proxy.ask(Writer, Kind::Read, "r0", "FETCH x").Refusal);
    REQUIRE_FALSE(Proxy.ask(Reader, Kind::Read, "r1", "FETCH x").Refusal);
  }

  bool isRefused(const FakePipeline::Session &By, const std::string &Id) {
    return Proxy.ask(By, Kind::Read, Id, "FETCH x").Refusal.has_value();
  }

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakePipeline Proxy{Loop, Group};
  FakePipeline::Session Writer = Proxy.connect("primary");
  FakePipeline::Session Reader = Proxy.connect("bounded");
  int Refused = 0;
  int Late = 0;
};

} // namespace

TEST_CASE("A read refused at the leader counts while every replica lags",
          "[relief]") {
  LaggingSetup Setup;
  CHECK(Setup.Refused == 0);
  Setup.Group.Servers["a"].IsBusy = true;
  REQUIRE(Setup.isRefused(Setup.Reader, "r2"));
  CHECK(Setup.Refused == 1);
  CHECK(Setup.Late == 0);
}

TEST_CASE("A read that needs the leader does not count", "[relief]") {
  // No replica could have served it, so a move of the lead gains nothing.
  LaggingSetup Setup;
  Setup.Group.Servers["a"].IsBusy = true;
  REQUIRE(Setup.isRefused(Setup.Writer, "r2"));
  CHECK(Setup.Refused == 0);
}

TEST_CASE("A refused read does not count while one replica keeps up",
          "[relief]") {
  LaggingSetup Setup;
  Setup.Group.Servers["c"].IsReplicating = true;
  Setup.Group.Servers["c"].Log = Setup.Group.Servers["a"].Log;
  Setup.Loop.runFor(Millis(2000));
  for (const char *Id : {"a", "b", "c"})
    Setup.Group.Servers[Id].IsBusy = true;
  REQUIRE(Setup.isRefused(Setup.Reader, "r2"));
  CHECK(Setup.Refused == 0);
}

TEST_CASE("A read that the leader serves late counts while every replica lags",
          "[relief]") {
  LaggingSetup Setup;
  CHECK(Setup.Late == 0);
  Setup.Group.ExecutionTime = Millis(150);
  REQUIRE_FALSE(Setup.isRefused(Setup.Reader, "r2"));
  CHECK(Setup.Late == 1);
  CHECK(Setup.Refused == 0);
}
