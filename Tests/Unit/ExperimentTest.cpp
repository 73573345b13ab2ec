/// \file
/// What callers receive under load, on the model of the targets' capacity.

#include "Experiment.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace corianderdyke;

namespace {

Scenario scenario(const std::string &Name) {
  const std::string File =
      std::string(CORIANDERDYKE_SCENARIOS) + "/" + Name + ".toml";
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  const auto Out = parseScenario(File, Text.str());
  INFO((Out ? "" : findingsText(Out.error())));
  REQUIRE(Out);
  return *Out;
}

Measured run(const Scenario &What, const std::string &Order,
             const std::string &Rights, std::size_t Where = 0) {
  return runExperiment(What, {What.Deployments[Where], Order, Rights});
}

double goodput(const Measured &Got) {
  double Sum = 0;
  for (const auto &[Name, Each] : Got.Organisations)
    Sum += static_cast<double>(Each.ServedMeanwhile);
  return Sum;
}

double part(const Received &Of) {
  return static_cast<double>(Of.Served) / static_cast<double>(Of.Offered);
}

constexpr Micros Milli = 1000;
const std::string Clerks = "port-clerks";
const std::string Mills = "mills";

} // namespace

TEST_CASE("A flood by one organisation leaves the others their share",
          "[experiment]") {
  // The mills offer 20 times their half, the clerks 90 % of theirs. Without
  // fair queueing the clerks would get a tenth of it. The flood is refused
  // within a round trip, and what the clerks leave is used.
  const auto Where = GENERATE(0U, 1U);
  Scenario What = scenario("flood");
  What.Length = 5000 * Milli;
  Scenario Quiet = scenario("alone");
  Quiet.Length = What.Length;
  const Measured Alone = run(Quiet, "fair", "demand", Where);
  const Measured Plain = run(What, "first-come", "demand", Where);
  const Measured Fair = run(What, "fair", "demand", Where);
  const Received &Got = Fair.Organisations.at(Clerks);
  CHECK(part(Plain.Organisations.at(Clerks)) < 0.2);
  CHECK(part(Got) >= 0.95 * part(Alone.Organisations.at(Clerks)));
  CHECK(goodput(Fair) >= 0.95 * goodput(Plain));
  const Received &Flood = Fair.Organisations.at(Mills);
  CHECK(percentile(Flood.RefusedAfter, 98) <= 10 * Milli);
}

TEST_CASE("Lasting load of twice the capacity keeps the goodput",
          "[experiment]") {
  // Two organisations offer twice what the targets can run, and those that
  // are refused come back when they were told to. Work isn't spent on
  // requests that are late, so as much is served in time as at the peak.
  const auto Where = GENERATE(0U, 1U);
  const Measured Peak = run(scenario("peak"), "fair", "demand", Where);
  const Measured Over = run(scenario("overload"), "fair", "demand", Where);
  CHECK(goodput(Over) >= 0.9 * goodput(Peak));
  for (const auto &[Name, Each] : Over.Organisations) {
    CHECK(percentile(Each.ServedAfter, 99) <= 500 * Milli);
    CHECK(static_cast<double>(Each.Late) <=
          0.01 * static_cast<double>(Each.Offered));
    // No two neighbouring tenths of a second see a herd come and go.
    for (const auto &[Tenth, Served] : Each.Timeline)
      if (Tenth > 30 && Tenth < 100)
        CHECK(Served >= 75);
  }
}

TEST_CASE("Long statements of one don't shut out the short ones of another",
          "[experiment]") {
  // Reports of 200 ms fill twice the targets, among lookups of 4 ms. First
  // come, first served, not one lookup is in time.
  const Scenario What = scenario("long");
  const Measured Plain = run(What, "first-come", "demand");
  const Measured Fair = run(What, "fair", "demand");
  CHECK(Plain.Organisations.at(Clerks).Served < 100);
  CHECK(part(Fair.Organisations.at(Clerks)) > 0.4);
}

TEST_CASE("Connections go where the callers are", "[experiment]") {
  // All callers come in through two of eight proxies, which have a quarter
  // of the connections by an even split.
  const auto Where = GENERATE(0U, 1U);
  const Scenario What = scenario("skewed");
  const Measured Even = run(What, "fair", "even", Where);
  const Measured Demand = run(What, "fair", "demand", Where);
  CHECK(goodput(Demand) >= 1.1 * goodput(Even));
  CHECK(Demand.MostConnections <= What.Deployments[Where].Connections);
}

TEST_CASE("Proxies that die or restart cost callers next to nothing",
          "[experiment]") {
  // One proxy dies with its connections; or all restart one by one. The
  // others serve on, and no server ever has a connection too many.
  const std::string Name = GENERATE("death", "rolling");
  CAPTURE(Name);
  Scenario What = scenario(Name);
  const Measured Got = run(What, "fair", "demand", 0);
  CHECK(Got.MostConnections <= What.Deployments[0].Connections);
  for (const auto &[Organisation, Each] : Got.Organisations)
    CHECK(part(Each) >= 0.999);
}
