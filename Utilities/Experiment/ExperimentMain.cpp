/// \file
/// Runs scenarios and writes the results of callers' requests as CSV.

#include "Experiment.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace corianderdyke;

namespace {

constexpr double PerMilli = 1000;
constexpr double PerSecond = 1000000;
constexpr double Median = 50;
constexpr double Tail = 99;

constexpr const char *SummaryHead =
    "scenario,deployment,order,rights,organisation,offered,served,late,"
    "refused,returned,goodput_per_s,p50_ms,p99_ms,refused_p99_ms,"
    "return_p50_ms,most_connections\n";
constexpr const char *TimelineHead =
    "scenario,deployment,order,rights,organisation,time_s,goodput_per_s\n";

std::string millis(const std::vector<Micros> &Values, double Percent) {
  std::ostringstream Out;
  Out << static_cast<double>(percentile(Values, Percent)) / PerMilli;
  return Out.str();
}

void write(const Scenario &Spec, const Variant &Config, const Measured &Results,
           std::ostream &Summary, std::ostream &Timeline) {
  const double Counted =
      static_cast<double>(Spec.Length - Spec.CountFrom) / PerSecond;
  for (const auto &[Name, Each] : Results.Organisations) {
    const std::string Head = Spec.Name + "," + Config.Sizes.Name + "," +
                             Config.Order + "," + Config.Rights + "," + Name +
                             ",";
    Summary << Head << Each.Offered << "," << Each.Served << "," << Each.Late
            << "," << Each.Refused << "," << Each.Retries << ","
            << static_cast<double>(Each.ServedMeanwhile) / Counted << ","
            << millis(Each.ServedAfter, Median) << ","
            << millis(Each.ServedAfter, Tail) << ","
            << millis(Each.RefusedAfter, Tail) << ","
            << millis(Each.RetryDelays, Median) << ","
            << Results.MostConnections << "\n";
    constexpr double TenthsPerSecond = 10;
    for (const auto &[Tenth, Served] : Each.Timeline)
      Timeline << Head << static_cast<double>(Tenth) / TenthsPerSecond << ","
               << static_cast<double>(Served) * TenthsPerSecond << "\n";
  }
}

void runAll(const Scenario &Spec, std::ostream &Summary,
            std::ostream &Timeline) {
  for (const Deployment &Sizes : Spec.Deployments)
    for (const std::string &Order : Spec.Orders)
      for (const std::string &Rights : Spec.Rights) {
        const Variant Config{Sizes, Order, Rights};
        write(Spec, Config, runExperiment(Spec, Config), Summary, Timeline);
      }
}

} // namespace

int main(int ArgCount, char **Args) {
  CLI::App App("Runs admission and connection rights on modelled targets",
               "experiment");
  std::vector<std::string> Files;
  std::string Folder = ".";
  App.add_option("scenario", Files, "Scenario files")->required();
  App.add_option("--out", Folder, "Folder for summary.csv and timeline.csv");
  CLI11_PARSE(App, ArgCount, Args);
  std::ofstream Summary(Folder + "/summary.csv");
  std::ofstream Timeline(Folder + "/timeline.csv");
  Summary << SummaryHead;
  Timeline << TimelineHead;
  for (const std::string &File : Files) {
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    const auto Spec = parseScenario(File, Text.str());
    if (!Spec) {
      std::cerr << findingsText(Spec.error());
      return 2;
    }
    runAll(*Spec, Summary, Timeline);
  }
  Summary.flush();
  Timeline.flush();
  if (Summary && Timeline)
    return 0;
  std::cerr << "cannot write summary.csv and timeline.csv in '" << Folder
            << "'\n";
  return 1;
}
