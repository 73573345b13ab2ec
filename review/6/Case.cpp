/// \file
/// Two control hosts are replaced: their successors run for 10 s, then the two
/// are killed for good, without notice. A second later a desired state is
/// acknowledged, all other control hosts are killed, and two come back with
/// empty disks: can the acknowledged desired state be read back?
///
/// TROUBLE=0 runs the same without the replacement.

#include "../standin-2/Deployment.h"
#include "../standin-2/Record.h"

#include <cstdlib>
#include <filesystem>
#include <thread>

using namespace review2;
using review2::Record;

namespace {

constexpr int Founders = 5;
constexpr int Replaced[] = {3, 4};
constexpr int Successors[] = {5, 6};
constexpr int Emptied[] = {0, 1};
constexpr Ms ReadFor{40000};

int versionOf(const std::string &Body) {
  const std::size_t At = Body.find("\"version\":");
  return At == std::string::npos ? 0 : std::atoi(Body.c_str() + At + 10);
}

/// Asks all hosts until one returns the acknowledged version or time is over.
int readBack(const Deployment &System, int Wanted, Record &Notes) {
  const Moment Until = SteadyClock::now() + ReadFor;
  int Newest = 0;
  for (std::size_t Each = 0; SteadyClock::now() < Until; ++Each) {
    const std::vector<Address> All = System.controls();
    const HttpReply Reply = callControl(
        All[Each % All.size()], {"GET", "/-/Config.Describe", ""}, Ms(1000));
    Notes.count("read answered " + std::to_string(Reply.Status));
    if (Reply.Status == 200)
      Newest = std::max(Newest, versionOf(Reply.Body));
    if (Newest >= Wanted)
      break;
    std::this_thread::sleep_for(Ms(100));
  }
  return Newest;
}

int runCase(const std::string &Program, const std::string &Folder,
            Record &Notes, bool HasTrouble) {
  DeploymentOptions Wanted;
  Wanted.Program = Program;
  Wanted.Folder = Folder;
  Wanted.Controls = 7;
  Wanted.Proxies = 1;
  Deployment System(Wanted);
  for (int Each = 0; Each < Founders; ++Each)
    System.startControl(Each, true);
  System.startProxy(0);
  OneRoute Route;
  if (!System.configure(Route.body(), Ms(15000)) ||
      !System.waitReady(Ms(15000))) {
    Notes.say("the case could not run: the deployment did not start");
    return 2;
  }
  Notes.line("version 1 is acknowledged");
  std::this_thread::sleep_for(Ms(5000));
  std::vector<int> Present = {0, 1, 2, 3, 4};
  if (HasTrouble) {
    for (const int Each : Successors)
      System.startControl(Each, false);
    Notes.line("the successors core-6 and core-7 start");
    std::this_thread::sleep_for(Ms(10000));
    for (const int Each : Replaced)
      System.killControl(Each);
    Notes.line("core-4 and core-5 are killed and stay away");
    Present = {0, 1, 2, 5, 6};
  }
  Route.Version = 2;
  if (!System.configure(Route.body(), Ms(5000))) {
    Notes.say("the case could not run: version 2 was not acknowledged");
    return 2;
  }
  Notes.line("version 2 is acknowledged");
  for (const int Each : Present)
    System.killControl(Each);
  for (const int Each : Emptied)
    std::filesystem::remove_all(Folder + "/core-" + std::to_string(Each + 1) +
                                ".data");
  Notes.line(
      "all control hosts are killed; core-1 and core-2 lose their disks");
  std::this_thread::sleep_for(Ms(800));
  for (const int Each : Present)
    System.startControl(Each, false);
  Notes.line("they are back");
  const int Newest = readBack(System, Route.Version, Notes);
  Notes.writeCounts();
  Notes.say("version " + std::to_string(Newest) +
            " was read back; version 2 was acknowledged");
  Notes.say(Newest < Route.Version ? "CONFIG is broken" : "CONFIG held");
  return Newest < Route.Version ? 1 : 0;
}

} // namespace

int review::run(const review::Arguments &Given, review::Record &Log) {
  review2::Record Notes(Log);
  return runCase(Given.Program, Given.Folder, Notes, Given.HasTrouble);
}
