/// \file
/// The list of proxies that control sends to every proxy.

#include "Steering/ProxyList.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

ProxyRecord proxy(int Number) {
  const std::string Name = "proxy-" + std::to_string(Number);
  return {Name, {"10.0.1." + std::to_string(Number), 7000}, "here"};
}

} // namespace

TEST_CASE("A new leader publishes no list before it knows the proxies",
          "[proxies]") {
  // Proxies report one after the other to a leader that knows none of them.
  // Each list published meanwhile would reassign the connections of every
  // target.
  ProxyList List;
  Millis Now(1000);
  List.startTerm({}, Now);
  for (int Each = 0; Each < 10; ++Each) {
    CHECK_FALSE(List.isReady(Now));
    List.update(proxy(Each), false, Now);
    Now += Millis(50);
  }
  CHECK_FALSE(List.isReady(Now));
  Now += Millis(400);
  CHECK(List.isReady(Now));
  CHECK(List.all().size() == 10);
}

TEST_CASE("A new leader starts with the proxies that the group has recorded",
          "[proxies]") {
  ProxyList List;
  std::map<std::string, ProxyRecord> Recorded;
  for (int Each = 0; Each < 10; ++Each)
    Recorded[proxy(Each).Name] = proxy(Each);
  List.startTerm(Recorded, Millis(1000));
  CHECK(List.isReady(Millis(1000)));
  CHECK(List.all().size() == 10);
  CHECK(List.unrecordedChanges(Recorded).Present.empty());
  CHECK(List.unrecordedChanges(Recorded).Removed.empty());
  // Proxies that do not report again are removed, the others are kept.
  for (int Each = 0; Each < 9; ++Each)
    List.update(proxy(Each), false, Millis(3000));
  List.removeExpired(Millis(4500), Millis(3000));
  CHECK(List.all().size() == 9);
  CHECK(List.unrecordedChanges(Recorded).Removed ==
        std::vector<std::string>{proxy(9).Name});
}

TEST_CASE("A proxy is removed as soon as it leaves and added when it restarts",
          "[proxies]") {
  ProxyList List;
  List.startTerm({}, Millis(1000));
  List.update(proxy(1), false, Millis(1000));
  List.update(proxy(2), false, Millis(1000));
  const std::uint64_t Before = List.revision();
  List.update(proxy(1), false, Millis(1500));
  CHECK(List.revision() == Before);
  List.update(proxy(1), true, Millis(2000));
  CHECK(List.all() == std::vector<ProxyRecord>{proxy(2)});
  CHECK(List.revision() > Before);
  List.update(proxy(1), false, Millis(4000));
  CHECK(List.all().size() == 2);
}
