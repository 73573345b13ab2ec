/// \file
/// The metric of a proxy for the time during which a database was not writable.

#include "Proxy/WriteGapMeter.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

ClusterView viewWith(const std::string &Primary, std::uint64_t Term) {
  ClusterView Out;
  Out.CurrentManifest = Manifest{};
  for (const char *Name : {"one", "two"}) {
    TargetAnnouncement &Each = Out.Targets[Name];
    Each.Name = Name;
    Each.Database = "ledger";
    Each.Sequence = 1;
  }
  GroupRecord &Group = Out.Groups["ledger"];
  Group.Database = "ledger";
  Group.Phase = GroupPhase::Promoted;
  Group.Term = Term;
  Group.Primary = Primary;
  return Out;
}

} // namespace

// The primary stops responding at 100 ms. Callers cannot write from then on,
// although the proxy detects it later. The gap must start at the last response.
TEST_CASE("A write gap counts from the last answer of the failed primary",
          "[metrics]") {
  ClusterView View = viewWith("one", 1);
  TargetTable Table;
  Table.update(View, Millis(100));
  WriteGapMeter Meter;
  Meter.update(View, Table, true, Millis(100));
  const bool Detected = GENERATE(true, false);
  if (Detected) {
    Table.markRefused("one");
    Meter.update(View, Table, true, Millis(150));
  }
  CHECK(Meter.gaps().total() == 0);
  View = viewWith("two", 2);
  Table.observe("two", {2, 0, 0, true}, Millis(299), Millis(300));
  Meter.update(View, Table, true, Millis(300));
  CHECK(Meter.gaps().total() == 1);
  CHECK(Meter.gaps().sum() == Millis(200));
}

TEST_CASE("Without a lease a proxy has a write gap", "[metrics]") {
  const ClusterView View = viewWith("one", 1);
  TargetTable Table;
  Table.update(View, Millis(100));
  WriteGapMeter Meter;
  Meter.update(View, Table, true, Millis(100));
  Meter.update(View, Table, false, Millis(110));
  Meter.update(View, Table, true, Millis(160));
  CHECK(Meter.gaps().total() == 1);
  CHECK(Meter.gaps().sum() == Millis(60));
}
