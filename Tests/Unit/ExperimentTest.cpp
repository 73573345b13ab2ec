/// \file
/// Service that callers receive under load, simulated with a capacity model of
/// the targets.

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

Measured run(const Scenario &Config, const std::string &Order,
             const std::string &Rights, std::size_t DeploymentIndex = 0) {
  return runExperiment(Config,
                       {Config.Deployments[DeploymentIndex], Order, Rights});
}

double goodput(const Measured &Result) {
  double Sum = 0;
  for (const auto &[Name, Each] : Result.Organisations)
    Sum += static_cast<double>(Each.ServedMeanwhile);
  return Sum;
}

double servedFraction(const Received &Counts) {
  return static_cast<double>(Counts.Served) /
         static_cast<double>(Counts.Offered);
}

constexpr Micros Milli = 1000;
const std::string Clerks = "port-clerks";
const std::string Mills = "mills";

} // namespace

TEST_CASE("A flood by one organisation leaves the others their share",
          "[experiment]") {
  // "mills" offers 20 times its half of the capacity, "port-clerks" 90 % of
  // its half. Without fair queueing, a tenth of the clerks' requests would be
  // served. Excess requests are refused within a round trip, and capacity that
  // the clerks do not use goes to the mills.
  const auto DeploymentIndex = GENERATE(0U, 1U);
  Scenario Config = scenario("flood");
  Config.Length = 5000 * Milli;
  Scenario Quiet = scenario("alone");
  Quiet.Length = Config.Length;
  const Measured Alone = run(Quiet, "fair", "demand", DeploymentIndex);
  const Measured FirstCome =
      run(Config, "first-come", "demand", DeploymentIndex);
  const Measured Fair = run(Config, "fair", "demand", DeploymentIndex);
  const Received &Result = Fair.Organisations.at(Clerks);
  CHECK(servedFraction(FirstCome.Organisations.at(Clerks)) < 0.2);
  CHECK(servedFraction(Result) >=
        0.95 * servedFraction(Alone.Organisations.at(Clerks)));
  CHECK(goodput(Fair) >= 0.95 * goodput(FirstCome));
  const Received &Flood = Fair.Organisations.at(Mills);
  CHECK(percentile(Flood.RefusedAfter, 98) <= 10 * Milli);
}

TEST_CASE("Lasting load of twice the capacity keeps the goodput",
          "[experiment]") {
  // Two organisations offer twice the capacity of the targets. Refused requests
  // are retried after the delay given in the refusal. Requests past their
  // deadline are not executed, so the goodput stays close to its peak.
  const auto DeploymentIndex = GENERATE(0U, 1U);
  const Measured Peak =
      run(scenario("peak"), "fair", "demand", DeploymentIndex);
  const Measured Over =
      run(scenario("overload"), "fair", "demand", DeploymentIndex);
  CHECK(goodput(Over) >= 0.9 * goodput(Peak));
  for (const auto &[Name, Each] : Over.Organisations) {
    CHECK(percentile(Each.ServedAfter, 99) <= 500 * Milli);
    CHECK(static_cast<double>(Each.Late) <=
          0.01 * static_cast<double>(Each.Offered));
    // Synchronised retries would leave some tenths of a second underused.
    for (const auto &[Tenth, Served] : Each.Timeline)
      if (Tenth > 30 && Tenth < 100)
        CHECK(Served >= 75);
  }
}

TEST_CASE(
    "Long statements of one organisation do not starve short ones of another",
    "[experiment]") {
  // Reports of 200 ms take twice the capacity of the targets, mixed with
  // lookups of 4 ms. In first-come order, no lookup meets its deadline.
  const Scenario Config = scenario("long");
  const Measured FirstCome = run(Config, "first-come", "demand");
  const Measured Fair = run(Config, "fair", "demand");
  CHECK(FirstCome.Organisations.at(Clerks).Served < 100);
  CHECK(servedFraction(Fair.Organisations.at(Clerks)) > 0.4);
}

TEST_CASE("Connections are assigned to the proxies that have callers",
          "[experiment]") {
  // All callers connect to two of eight proxies, which would have a quarter of
  // the connections if these were split evenly.
  const auto DeploymentIndex = GENERATE(0U, 1U);
  const Scenario Config = scenario("skewed");
  const Measured Even = run(Config, "fair", "even", DeploymentIndex);
  const Measured Demand = run(Config, "fair", "demand", DeploymentIndex);
  CHECK(goodput(Demand) >= 1.1 * goodput(Even));
  CHECK(Demand.MostConnections <=
        Config.Deployments[DeploymentIndex].Connections);
}

TEST_CASE(
    "Callers lose at most 0.1 % of requests when proxies crash or restart",
    "[experiment]") {
  // Either one proxy crashes with its connections, or all restart one by one.
  // The others keep serving, and no target exceeds its connection limit.
  const std::string Name = GENERATE("death", "rolling");
  CAPTURE(Name);
  Scenario Config = scenario(Name);
  const Measured Result = run(Config, "fair", "demand", 0);
  CHECK(Result.MostConnections <= Config.Deployments[0].Connections);
  for (const auto &[Organisation, Each] : Result.Organisations)
    CHECK(servedFraction(Each) >= 0.999);
}
