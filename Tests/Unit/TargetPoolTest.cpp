/// \file
/// The connections of one proxy to one target.

#include "FakeGroup.h"
#include "HookedConnector.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("A connection opened while a pool closes all of them stays open",
          "[pipeline]") {
  // Guards against a loop over a list of connections that grows meanwhile.
  constexpr std::size_t Share = 8;
  constexpr std::size_t Count = 4;
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a"});
  HookedConnector Connector(Group);
  TargetPool Pool(Group.directory().all().front(), Share, Loop.now());
  const auto Open = [&] {
    Pool.open(Connector, {}, Loop.now(),
              {[](const TargetConnectionPtr &) {},
               [](const TargetConnectionPtr &,
                  const std::optional<StatementRefusal> &) {}});
  };
  for (std::size_t Each = 0; Each < Count; ++Each)
    Open();
  Connector.AtClose = Open;
  const std::vector<TargetConnectionPtr> Closed = Pool.closeAll();
  CHECK(Closed.size() == Count);
  for (const TargetConnectionPtr &Each : Closed)
    CHECK(Each->stage() == TargetConnection::Stage::Closed);
  REQUIRE(Pool.size() == Count + 1);
  CHECK(Pool.connections().back()->stage() == TargetConnection::Stage::Opening);
  Loop.clear();
}
