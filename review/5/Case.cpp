/// \file
/// The primary is cut off from control and most proxies for 1.2 s, and the
/// order that promotes a replica gets no answer. The primary works again, the
/// replica receives nothing for 6 s, and then the order is carried out: does
/// the promoted server have all acknowledged commits?
///
/// TROUBLE=0 runs the same without these three.

#include "../standin-2/Client.h"
#include "../standin-2/Database.h"
#include "../standin-2/Deployment.h"
#include "../standin-2/Record.h"

#include <atomic>
#include <cstdlib>
#include <set>
#include <thread>

using namespace review2;
using review2::Record;

namespace {

constexpr int Writers = 15;
constexpr int Readers = 10;

/// Writes whose success a client has received.
class Acknowledged {
public:
  void add(const std::string &Id) {
    const std::lock_guard<std::mutex> Held(Guard);
    Ids.insert(Id);
  }

  std::set<std::string> all() {
    const std::lock_guard<std::mutex> Held(Guard);
    return Ids;
  }

private:
  std::mutex Guard;
  std::set<std::string> Ids;
};

void writeSteadily(const Address &Proxy, int ProxyNumber, int Number,
                   std::atomic<bool> &IsOver, Acknowledged &Done,
                   Record &Notes) {
  Client Session;
  for (int Each = 0; !IsOver; ++Each) {
    if (!Session.isOpen() &&
        !Session.open(Proxy, "scans", "clerk-" + std::to_string(Number))) {
      Notes.count("session not opened");
      std::this_thread::sleep_for(Ms(100));
      continue;
    }
    const std::string Id = "p" + std::to_string(ProxyNumber) + "w" +
                           std::to_string(Number) + "x" + std::to_string(Each);
    const Answer Got =
        Session.query(Id, "STORE bale-" + Id + " riga", Ms(1000));
    if (Got.IsWhole && Got.IsSuccess)
      Done.add(Id);
    Notes.count(Got.IsWhole ? (Got.IsSuccess ? "write acknowledged"
                                             : "write answered " + Got.Code)
                            : "write without an answer");
    std::this_thread::sleep_for(Ms(20));
  }
}

void readSteadily(const Address &Proxy, int ProxyNumber, int Number,
                  std::atomic<bool> &IsOver, Record &Notes) {
  Client Session;
  for (int Each = 0; !IsOver; ++Each) {
    if (!Session.isOpen() &&
        !Session.open(Proxy, "scans", "auditor-" + std::to_string(Number))) {
      std::this_thread::sleep_for(Ms(100));
      continue;
    }
    const std::string Id = "p" + std::to_string(ProxyNumber) + "r" +
                           std::to_string(Number) + "x" + std::to_string(Each);
    const Answer Got = Session.query(Id, "FETCH bale-1", Ms(1000));
    Notes.count(Got.IsSuccess ? "read served" : "read not served " + Got.Code);
    std::this_thread::sleep_for(Ms(20));
  }
}

void disrupt(Database &Service, Record &Notes) {
  const std::size_t Leader = Service.primary().value_or(0);
  Notes.line("server " + std::to_string(Leader) +
             ", the primary, is cut off from control and 3 of 5 proxies");
  Service.leaveOrderUnanswered(Ms(6000));
  Service.cutOff(Leader, {1, 2, 3});
  std::this_thread::sleep_for(Ms(1200));
  Service.cutOff(Leader, {});
  Notes.line("the cut ends");
  std::this_thread::sleep_for(Ms(1000));
  const auto Named = Service.serverOfLateOrder();
  if (!Named) {
    Notes.line("no order was left unanswered");
    return;
  }
  Notes.line("server " + std::to_string(*Named) + " receives nothing for 6 s");
  Service.setDeaf(*Named, true);
  std::this_thread::sleep_for(Ms(6000));
  Service.setDeaf(*Named, false);
  Notes.line("it receives again");
}

int judge(Database &Service, Acknowledged &Done, Record &Notes) {
  Notes.writeCounts();
  const std::set<std::string> Kept = Service.writesOfPrimary();
  std::size_t Lost = 0;
  for (const std::string &Each : Done.all())
    if (Kept.count(Each) == 0) {
      ++Lost;
      Notes.line("acknowledged, but not in the primary's log: " + Each);
    }
  Notes.say(std::to_string(Done.all().size()) + " writes acknowledged, " +
            std::to_string(Service.promotions()) + " promotions, " +
            std::to_string(Lost) +
            " acknowledged writes not in the log of the promoted server");
  if (Done.all().size() < 1000) {
    Notes.say("the case could not run: too few writes were acknowledged");
    return 2;
  }
  Notes.say(Lost > 0 ? "LOST is broken" : "LOST held");
  return Lost > 0 ? 1 : 0;
}

int runCase(const std::string &Program, const std::string &Folder,
            Record &Notes, bool HasTrouble) {
  DeploymentOptions Wanted;
  Wanted.Program = Program;
  Wanted.Folder = Folder;
  Wanted.Proxies = 5;
  Deployment System(Wanted);
  DatabaseOptions Shape;
  Shape.Servers = System.servers();
  Shape.Controls = System.controls();
  Shape.Provider = System.provider();
  Shape.SyncReplicas = 1;
  Shape.MaxConnections = 30;
  Database Service(Shape, Notes);
  Acknowledged Done;
  System.startAll();
  OneRoute Route;
  Route.SyncReplicas = 1;
  Route.MaxConnections = Shape.MaxConnections;
  if (!System.configure(Route.body(), Ms(15000)) ||
      !System.waitReady(Ms(15000))) {
    Notes.say("the case could not run: the deployment did not start");
    return 2;
  }
  std::this_thread::sleep_for(Ms(2000));
  Notes.line("traffic begins");
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;
  Threads.reserve(Writers + Readers);
  for (int Each = 0; Each < Writers; ++Each)
    Threads.emplace_back([&, Each] {
      const int Proxy = Each % Wanted.Proxies;
      writeSteadily(System.proxy(Proxy), Proxy + 1, Each, IsOver, Done, Notes);
    });
  for (int Each = 0; Each < Readers; ++Each)
    Threads.emplace_back([&, Each] {
      const int Proxy = Each % Wanted.Proxies;
      readSteadily(System.proxy(Proxy), Proxy + 1, Each, IsOver, Notes);
    });
  std::this_thread::sleep_for(Ms(4000));
  if (HasTrouble)
    disrupt(Service, Notes);
  std::this_thread::sleep_for(Ms(5000));
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  return judge(Service, Done, Notes);
}

} // namespace

int review::run(const review::Arguments &Given, review::Record &Log) {
  review2::Record Notes(Log);
  return runCase(Given.Program, Given.Folder, Notes, Given.HasTrouble);
}
