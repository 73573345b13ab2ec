/// \file
/// Runs one simulated target as a separate process.

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Loop/EventLoop.h"
#include "StandInTarget.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace corianderdyke;

int main(int Count, char **Words) {
  CLI::App App("A stand-in for a database target", "standin-target");
  StandInOptions Options;
  std::string Address;
  std::vector<std::string> Proxies;
  std::int64_t ConnectMs = 12;
  std::int64_t ServiceMs = 1;
  std::int64_t LagMs = 5;
  App.add_option("--name", Options.Name)->required();
  App.add_option("--database", Options.Database)->required();
  App.add_option("--address", Address)->required();
  App.add_option("--proxy", Proxies, "Callers' address of a proxy")->required();
  App.add_option("--target-key", Options.TargetKey)->required();
  App.add_option("--region", Options.Where.Region);
  App.add_option("--failure-domain", Options.Where.FailureDomain);
  App.add_option("--slots", Options.Slots);
  App.add_option("--connections", Options.Connections);
  App.add_option("--connect-ms", ConnectMs);
  App.add_option("--service-ms", ServiceMs);
  App.add_option("--lag-ms", LagMs);
  CLI11_PARSE(App, Count, Words);
  Options.Where.Host = Options.Name;
  Options.ConnectCost = Millis(ConnectMs);
  Options.ServiceTime = Millis(ServiceMs);
  Options.Lag = Millis(LagMs);
  for (const std::string &Each : Proxies)
    Options.Proxies.push_back(Endpoint::parse(Each).value_or(Endpoint()));
  const auto At = Endpoint::parse(Address);
  if (!At) {
    std::cerr << At.error().Message << "\n";
    return 2;
  }
  Options.Address = *At;
  std::signal(SIGPIPE, SIG_IGN);
  SystemClock Time;
  EventLoop Loop;
  EventHttpConnector Connector(Loop);
  StandInTarget Target(Options, Time, Loop, Connector);
  const auto Server = EventHttpServer::listen(Loop, *At, Target);
  if (!Server) {
    std::cerr << Server.error().Message << "\n";
    return 1;
  }
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Target.start();
  Loop.run();
  return 0;
}
