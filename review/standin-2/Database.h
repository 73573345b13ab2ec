/// \file
/// A database service: a primary and its replicas, their check-ins, and the
/// provider that promotes one of them.
///
/// The servers do what PROTOCOL.md says. Where it is silent: a replica that
/// starts with an empty log copies the log of its primary before it receives
/// new commits.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_DATABASE_H
#define CORIANDERDYKE_REVIEW_STANDIN2_DATABASE_H

#include "Record.h"
#include "Wire.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <vector>

namespace review2 {

struct DatabaseOptions {
  std::string Service = "ledger";
  std::vector<Address> Servers;
  std::vector<Address> Controls;
  Address Provider;
  int SyncReplicas = 0;
  int MaxConnections = 16;
  Ms Heartbeat{1200};
  Ms Work{3}; ///< Of a read, write or commit.
  /// Until a replica has received a commit: half of it to all of it.
  std::chrono::microseconds Receive{1000};
  Ms Promotion{600};
  Ms Copying{2000}; ///< Copying a whole log to an empty replica.
};

struct LogEntry {
  int Term = 0;
  std::vector<std::string> Writes; ///< Ids of the writes in the commit.
};

class Database {
public:
  Database(DatabaseOptions Given, Record &Notes)
      : Options(std::move(Given)), Notes(Notes) {
    for (std::size_t Each = 0; Each < Options.Servers.size(); ++Each) {
      auto Made = std::make_unique<Server>();
      Made->Name = "i-" + std::string(1, static_cast<char>('a' + Each));
      Made->At = Options.Servers[Each];
      Servers.push_back(std::move(Made));
    }
    for (std::size_t Each = 0; Each < Servers.size(); ++Each)
      start(Each, Each == 0);
    Threads.emplace_back([this] { serveProvider(); });
    for (std::size_t Each = 0; Each < Servers.size(); ++Each) {
      Threads.emplace_back([this, Each] { replicate(Each); });
      Threads.emplace_back([this, Each] { sendHeartbeats(Each); });
    }
  }

  ~Database() {
    IsEnding = true;
    for (std::size_t Each = 0; Each < Servers.size(); ++Each)
      crash(Each);
    for (std::thread &Each : Threads)
      Each.join();
    std::list<std::thread> Left;
    {
      const std::lock_guard<std::mutex> Held(Guard);
      Left.swap(Sessions);
    }
    for (std::thread &Each : Left)
      Each.join();
  }

  Database(const Database &) = delete;
  Database &operator=(const Database &) = delete;

  /// Ends a server's process: its connections are reset, its log is kept.
  void crash(std::size_t Which) {
    std::thread Accepting;
    {
      const std::lock_guard<std::mutex> Held(Guard);
      Server &Of = *Servers[Which];
      if (!Of.IsUp)
        return;
      Of.IsUp = false;
      ++Of.Boot;
      for (Session *Each : Of.Sessions)
        Each->Lines.socket().shutDown();
      Accepting = std::move(Of.Accepting);
    }
    Changed.notify_all();
    Accepting.join();
  }

  /// Starts a server with the log that it had.
  void start(std::size_t Which, bool Leads) {
    const std::lock_guard<std::mutex> Held(Guard);
    Server &Of = *Servers[Which];
    Of.IsUp = true;
    Of.IsPrimary = Leads;
    Of.IsPaused = false;
    Of.Sequence = 0;
    Of.Born = std::chrono::duration_cast<Ms>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    Of.Listener = listenOn(Of.At);
    Of.Accepting = std::thread(
        [this, Which, Boot = Of.Boot] { accept(*Servers[Which], Boot); });
    Of.IsBeatDue = true;
    Changed.notify_all();
  }

  /// Starts a server under the id that it had, with nothing of before.
  void startEmpty(std::size_t Which) {
    {
      const std::lock_guard<std::mutex> Held(Guard);
      Server &Of = *Servers[Which];
      Of.Log.clear();
      Of.Term = 0;
      Of.CopiedAt = SteadyClock::now() + Options.Copying;
    }
    start(Which, false);
  }

  /// The same under a new id: a new boot at the same address, with its log.
  void restartWithNewId(std::size_t Which) {
    {
      const std::lock_guard<std::mutex> Held(Guard);
      Servers[Which]->Name += std::to_string(++Renamed);
    }
    restart(Which);
  }

  /// A crashed primary leads again unless another was promoted.
  void restart(std::size_t Which) {
    bool Leads = false;
    {
      const std::lock_guard<std::mutex> Held(Guard);
      Leads = Servers[Which]->IsPrimary && Servers[Which]->Term == NewestTerm;
    }
    start(Which, Leads);
  }

  void setDeaf(std::size_t Which, bool IsDeaf) {
    const std::lock_guard<std::mutex> Held(Guard);
    Servers[Which]->IsDeaf = IsDeaf;
  }

  /// Cuts a server off from control and from the proxies with these numbers, or
  /// joins it again: nothing that they send arrives meanwhile. The number of a
  /// proxy is read from the ids of its clients' statements, like p2x17.
  void cutOff(std::size_t Which, std::set<int> Proxies) {
    const std::lock_guard<std::mutex> Held(Guard);
    Servers[Which]->CutProxies = std::move(Proxies);
    Changed.notify_all();
  }

  /// The provider leaves the next order unanswered and carries it out later.
  void leaveOrderUnanswered(Ms Until) {
    const std::lock_guard<std::mutex> Held(Guard);
    Lateness = Until;
  }

  /// The index of the server named in the unanswered order, once it came.
  std::optional<std::size_t> serverOfLateOrder() {
    const std::lock_guard<std::mutex> Held(Guard);
    for (std::size_t Each = 0; Each < Servers.size(); ++Each)
      if (Servers[Each]->Name == LateServer)
        return Each;
    return std::nullopt;
  }

  /// The ids of the writes in the log of the server that leads.
  std::set<std::string> writesOfPrimary() {
    const std::lock_guard<std::mutex> Held(Guard);
    std::set<std::string> Out;
    for (const auto &Each : Servers)
      if (Each->IsPrimary)
        for (const LogEntry &Commit : Each->Log)
          Out.insert(Commit.Writes.begin(), Commit.Writes.end());
    return Out;
  }

  /// Share of the answers of a server that are lost.
  void loseAnswers(std::size_t Which, double Share) {
    const std::lock_guard<std::mutex> Held(Guard);
    Servers[Which]->LostShare = Share;
  }

  std::size_t logSize(std::size_t Which) {
    const std::lock_guard<std::mutex> Held(Guard);
    return Servers[Which]->Log.size();
  }

  /// The index of the server that leads; nothing if none does.
  std::optional<std::size_t> primary() {
    const std::lock_guard<std::mutex> Held(Guard);
    for (std::size_t Each = 0; Each < Servers.size(); ++Each)
      if (Servers[Each]->IsUp && Servers[Each]->IsPrimary)
        return Each;
    return std::nullopt;
  }

  int promotions() const { return Promoted; }
  std::uint64_t lostAnswers() const { return LostAnswers; }

  /// Called with the promoted server and the ids of the writes in its log, when
  /// it begins to lead. No write is acknowledged meanwhile.
  std::function<void(std::size_t, const std::set<std::string> &)> OnPromoted;

private:
  struct Session {
    explicit Session(Socket Carrier) : Lines(std::move(Carrier)) {}
    LineConnection Lines;
    char State = 'I';
    bool IsPlain = false; ///< Its transaction may write.
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Prepared;
    int Peer = -1; ///< Number of its proxy or Control, once known.
  };

  struct Server {
    std::string Name;
    Address At;
    bool IsUp = false;
    bool IsPrimary = false;
    bool IsDeaf = false;
    bool IsPaused = false;
    double LostShare = 0;
    int Term = 1;
    std::vector<LogEntry> Log;
    Moment CopiedAt; ///< Receives nothing before.
    std::uint64_t Boot = 0;
    std::uint64_t Sequence = 0;
    std::int64_t Born = 0;
    bool IsBeatDue = false;
    Socket Listener;
    std::thread Accepting;
    std::set<Session *> Sessions;
    std::set<int> CutProxies; ///< Not empty: control is cut off, too.
  };

  static constexpr int Control = 0;

  std::string ready(const Server &Of, const Session &To) const {
    return std::string("READY ") + To.State + " " + positionOf(Of) + "\r\n";
  }

  static std::string positionOf(const Server &Of) {
    const int Term = Of.Log.empty() ? Of.Term : Of.Log.back().Term;
    return std::to_string(std::max(Term, Of.Term)) + "." +
           std::to_string(Of.Log.size());
  }

  void accept(Server &Of, std::uint64_t Boot) {
    while (true) {
      Socket Carrier = acceptFrom(Of.Listener, Ms(20));
      const std::lock_guard<std::mutex> Held(Guard);
      if (Of.Boot != Boot) {
        Of.Listener.close();
        return;
      }
      if (Carrier.isOpen()) {
        auto Opened = std::make_shared<Session>(std::move(Carrier));
        Of.Sessions.insert(Opened.get());
        Sessions.emplace_back([this, &Of, Boot, Opened] {
          serve(Of, Boot, *Opened);
          const std::lock_guard<std::mutex> Ended(Guard);
          Of.Sessions.erase(Opened.get());
          Opened->Lines.close();
        });
      }
    }
  }

  void serve(Server &Of, std::uint64_t Boot, Session &To) {
    std::string Line;
    bool IsOpen = false;
    while (To.Lines.next(Line, SteadyClock::now() + Ms(600000)) ==
           Socket::Outcome::Data) {
      std::string Rest = Line;
      const std::string Kind = takeWord(Rest);
      std::string Answer;
      bool MayBeLost = false;
      if (Kind == "STARTUP" && !IsOpen) {
        Answer = open(Of, To, Rest);
        IsOpen = Answer.rfind("READY", 0) == 0;
      } else if (Kind == "QUERY" && IsOpen) {
        Answer = query(Of, Boot, To, Rest);
        MayBeLost = true;
      }
      if (Answer.empty())
        return;
      {
        const std::lock_guard<std::mutex> Held(Guard);
        if (Of.Boot != Boot)
          return;
        if (MayBeLost && Of.LostShare > 0 && draw() < Of.LostShare) {
          ++LostAnswers;
          Notes.count("lost answer of " +
                      Line.substr(Line.find(' ', 6) + 1, 8));
          continue;
        }
      }
      if (!To.Lines.write(Answer) || !IsOpen)
        return;
    }
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  std::string open(Server &Of, Session &To, std::string Fields) {
    const std::string Service = takeWord(Fields);
    takeWord(Fields); // Who connects.
    const std::lock_guard<std::mutex> Held(Guard);
    if (Service != Options.Service || (!Fields.empty() && Fields != Of.Name))
      return "ERROR MISROUTED " + Of.Name + "\r\n";
    if (static_cast<int>(Of.Sessions.size()) > Options.MaxConnections)
      return "ERROR CONNLIMIT " + Of.Name + "\r\n";
    return ready(Of, To);
  }

  std::string refuse(const Server &Of, Session &To, const std::string &Code) {
    if (To.State == 'T')
      To.State = 'E';
    return "ERROR " + Code + " " + Of.Name + "\r\n" + ready(Of, To);
  }

  std::string done(const Server &Of, const Session &To) const {
    return "COMPLETE -\r\n" + ready(Of, To);
  }

  std::string query(Server &Of, std::uint64_t Boot, Session &To,
                    std::string Text) {
    const std::string Id = takeWord(Text);
    const std::string Keyword = Text.substr(0, Text.find(' '));
    if (Id.size() > 1 && Id[0] == 'p')
      To.Peer = std::atoi(Id.c_str() + 1);
    if (isOrder(Keyword))
      To.Peer = Control;
    waitWhileCut(Of, Boot, To);
    if (Keyword == "FETCH" || Keyword == "STORE" || Keyword == "EXECUTE" ||
        Keyword == "COMMIT" || Keyword == "AFTER")
      std::this_thread::sleep_for(Options.Work);
    std::unique_lock<std::mutex> Held(Guard);
    if (Of.Boot != Boot)
      return "";
    std::string Rest = Text;
    takeWord(Rest);
    if (Keyword == "AFTER") {
      std::string Floor = takeWord(Rest);
      const int Term = std::atoi(Floor.c_str());
      const auto Number = static_cast<std::size_t>(
          std::atol(Floor.c_str() + Floor.find('.') + 1));
      if (Of.Term < Term || (Of.Term == Term && Of.Log.size() < Number))
        return refuse(Of, To, "LAGGING");
      Text = Rest;
    }
    return run(Of, Boot, To, Id, Text, Held);
  }

  static bool isOrder(const std::string &Keyword) {
    return Keyword == "STATUS" || Keyword == "PAUSE" || Keyword == "RESUME" ||
           Keyword == "STEPDOWN";
  }

  void waitWhileCut(const Server &Of, std::uint64_t Boot, const Session &To) {
    std::unique_lock<std::mutex> Held(Guard);
    while (Of.Boot == Boot && !Of.CutProxies.empty() &&
           (To.Peer == Control || Of.CutProxies.count(To.Peer) != 0))
      Changed.wait_for(Held, Ms(20));
  }

  std::string run(Server &Of, std::uint64_t Boot, Session &To,
                  const std::string &Id, const std::string &Text,
                  std::unique_lock<std::mutex> &Held) {
    std::string Rest = Text;
    const std::string Keyword = takeWord(Rest);
    if (To.State == 'E' && Keyword != "ROLLBACK" && Keyword != "COMMIT")
      return refuse(Of, To, "MALFORMED");
    if (isOrder(Keyword))
      return order(Of, To, Keyword, std::atoi(Rest.c_str()));
    if (Keyword == "RESET" || Keyword == "SET" || Keyword == "DEALLOC") {
      if (Keyword == "RESET")
        To.Prepared.clear();
      return done(Of, To);
    }
    if (Keyword == "PREPARE") {
      const std::string Name = takeWord(Rest);
      To.Prepared[Name] = Rest;
      return done(Of, To);
    }
    if (Keyword == "ROLLBACK") {
      To.State = 'I';
      To.Writes.clear();
      return done(Of, To);
    }
    if (Keyword == "BEGIN") {
      const bool IsPlain = Rest.empty();
      if (IsPlain && !Of.IsPrimary)
        return refuse(Of, To, "READONLY");
      To.State = 'T';
      To.IsPlain = IsPlain;
      return done(Of, To);
    }
    return execute(Of, Boot, To, Id, Text, Held);
  }

  std::string execute(Server &Of, std::uint64_t Boot, Session &To,
                      const std::string &Id, const std::string &Text,
                      std::unique_lock<std::mutex> &Held) {
    std::string Rest = Text;
    const std::string Keyword = takeWord(Rest);
    bool Writes = Keyword == "STORE";
    if (Keyword == "EXECUTE") {
      const auto Known = To.Prepared.find(takeWord(Rest));
      if (Known == To.Prepared.end())
        return refuse(Of, To, "NOSTMT");
      Writes = Known->second.rfind("STORE", 0) == 0;
    }
    const bool Commits = Keyword == "COMMIT";
    if (Commits && To.State == 'E') {
      To.State = 'I';
      To.Writes.clear();
      return refuse(Of, To, "ABORTED");
    }
    const bool NeedsLead = Writes || (To.State == 'T' && To.IsPlain &&
                                      !(Commits && To.Writes.empty()));
    if (NeedsLead && !Of.IsPrimary)
      return refuse(Of, To, "READONLY");
    if (Writes)
      To.Writes.push_back(Id);
    if (Commits)
      To.State = 'I';
    if (To.State == 'I' && !To.Writes.empty() && !commit(Of, Boot, To, Held))
      return ""; // Its connection ends without an answer.
    const std::string Row = Writes || Commits ? "" : "ROW data\r\n";
    return Row + "COMPLETE " + std::to_string(++LastDigest) + "." + Id +
           "\r\n" + ready(Of, To);
  }

  /// Waits until enough replicas have received the commit; false if the server
  /// ends or loses the lead before.
  bool commit(Server &Of, std::uint64_t Boot, Session &To,
              std::unique_lock<std::mutex> &Held) {
    Of.Log.push_back({Of.Term, std::exchange(To.Writes, {})});
    const std::size_t Number = Of.Log.size();
    const int Term = Of.Term;
    Changed.notify_all();
    while (true) {
      if (Of.Boot != Boot || !Of.IsPrimary || Of.Term != Term || IsEnding)
        return false;
      const auto Copies =
          std::count_if(Servers.begin(), Servers.end(), [&](const auto &Each) {
            return Each.get() != &Of && Each->IsUp && Each->Term == Term &&
                   Each->Log.size() >= Number;
          });
      if (Copies >= Options.SyncReplicas)
        return true;
      if (To.Lines.isClosedByPeer())
        return false;
      Changed.wait_for(Held, Ms(20));
    }
  }

  std::string order(Server &Of, Session &To, const std::string &Keyword,
                    int Term) {
    if (Keyword == "PAUSE" && Term > Of.Term && !Of.IsPrimary)
      Of.IsPaused = true;
    if (Keyword == "RESUME")
      Of.IsPaused = false;
    if (Keyword == "STEPDOWN" && Of.IsPrimary && Term > Of.Term) {
      Of.IsPrimary = false;
      Of.IsBeatDue = true;
    }
    if (Keyword != "STATUS")
      Notes.line(Of.Name + " gets " + Keyword + " " + std::to_string(Term) +
                 " at " + positionOf(Of));
    return "ROW " + std::string(Of.IsPrimary ? "primary " : "replica ") +
           std::to_string(Of.Term) + " " + positionOf(Of) + " 0 0 0 " +
           std::to_string(Of.Sessions.size()) + "\r\n" + done(Of, To);
  }

  /// Passes commits on to one replica.
  void replicate(std::size_t Which) {
    Server &To = *Servers[Which];
    std::mt19937 Delays(static_cast<unsigned>(Which));
    std::unique_lock<std::mutex> Held(Guard);
    while (!IsEnding) {
      const auto Leader =
          std::find_if(Servers.begin(), Servers.end(), [](const auto &Each) {
            return Each->IsUp && Each->IsPrimary;
          });
      const bool IsReceiving =
          Leader != Servers.end() && Leader->get() != &To && To.IsUp &&
          !To.IsDeaf && !To.IsPaused && SteadyClock::now() >= To.CopiedAt &&
          To.Term <= (*Leader)->Term;
      if (IsReceiving) {
        const bool IsChange = To.Log.size() < (*Leader)->Log.size();
        To.Term = (*Leader)->Term;
        To.Log.resize(std::min(To.Log.size(), (*Leader)->Log.size()));
        To.Log.insert(To.Log.end(),
                      (*Leader)->Log.begin() +
                          static_cast<std::ptrdiff_t>(To.Log.size()),
                      (*Leader)->Log.end());
        if (IsChange)
          Changed.notify_all();
      }
      Held.unlock();
      std::this_thread::sleep_for(Options.Receive / 2 +
                                  Options.Receive * (Delays() % 50) / 100);
      Held.lock();
    }
  }

  void promote(const std::string &Id) {
    const std::lock_guard<std::mutex> Held(Guard);
    const auto Found =
        std::find_if(Servers.begin(), Servers.end(), [&](const auto &Each) {
          return Each->Name == Id && Each->IsUp;
        });
    if (Found == Servers.end() || (*Found)->IsPrimary)
      return;
    Server &New = **Found;
    std::set<std::string> Writes;
    for (const LogEntry &Each : New.Log)
      Writes.insert(Each.Writes.begin(), Each.Writes.end());
    Notes.line(New.Name + " is promoted at " + positionOf(New));
    if (OnPromoted)
      OnPromoted(static_cast<std::size_t>(Found - Servers.begin()), Writes);
    New.Term = ++NewestTerm;
    New.IsPrimary = true;
    New.IsPaused = false;
    for (const auto &Each : Servers) {
      if (Each.get() != &New)
        Each->IsPrimary = false;
      if (Each.get() != &New && Each->Log.size() > New.Log.size())
        Each->Log.resize(New.Log.size());
      Each->IsPaused = false;
      Each->IsBeatDue = true;
    }
    ++Promoted;
    Changed.notify_all();
  }

  void serveProvider() {
    const Socket Listener = listenOn(Options.Provider);
    std::vector<std::thread> Orders;
    while (!IsEnding) {
      auto Carrier = std::make_shared<Socket>(acceptFrom(Listener, Ms(20)));
      std::string Head;
      std::string Body;
      if (!Carrier->isOpen() ||
          !readHttp(*Carrier, Head, Body, SteadyClock::now() + Ms(1000)))
        continue;
      const auto Token = static_cast<std::uint64_t>(
          std::atoll(headerOf(Head, "Fencing-Token").c_str()));
      const std::string Id = textField(Body, "id");
      const std::string What = "promotion of " + Id + " with fence " +
                               std::to_string(Token) + " by " +
                               headerOf(Head, "Lease-Holder");
      if (const auto Delay = takeLateness(Id)) {
        Notes.line(What + ": left unanswered");
        Orders.emplace_back([this, Id, Token, What, Carrier, Delay] {
          carryOutLate(Id, Token, What, *Delay);
        });
        continue;
      }
      const bool IsAccepted = accept(Id, Token);
      Notes.line(What + (IsAccepted ? ": 200" : ": 409"));
      Carrier->write(std::string(IsAccepted ? "HTTP/1.1 200 OK\r\n"
                                            : "HTTP/1.1 409 Conflict\r\n") +
                     "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
      if (IsAccepted)
        Orders.emplace_back([this, Id] {
          std::this_thread::sleep_for(Options.Promotion);
          promote(Id);
        });
    }
    for (std::thread &Each : Orders)
      Each.join();
  }

  std::optional<Ms> takeLateness(const std::string &Id) {
    const std::lock_guard<std::mutex> Held(Guard);
    if (Lateness)
      LateServer = Id;
    return std::exchange(Lateness, std::nullopt);
  }

  void carryOutLate(const std::string &Id, std::uint64_t Token,
                    const std::string &What, Ms Delay) {
    const Moment At = SteadyClock::now() + Delay;
    while (SteadyClock::now() < At && !IsEnding)
      std::this_thread::sleep_for(Ms(5));
    const bool IsAccepted = !IsEnding && accept(Id, Token);
    Notes.line(What + " is carried out after " + std::to_string(Delay.count()) +
               " ms" + (IsAccepted ? "" : ": refused"));
    if (IsAccepted) {
      std::this_thread::sleep_for(Options.Promotion);
      promote(Id);
    }
  }

  /// Checks the fence of an order, and that its server runs.
  bool accept(const std::string &Id, std::uint64_t Token) {
    const std::lock_guard<std::mutex> Held(Guard);
    const bool IsUp =
        std::any_of(Servers.begin(), Servers.end(), [&](const auto &Each) {
          return Each->Name == Id && Each->IsUp;
        });
    if (Token < SeenToken || !IsUp)
      return false;
    SeenToken = Token;
    return true;
  }

  /// The text of a field of a flat JSON object.
  static std::string textField(const std::string &Json,
                               const std::string &Name) {
    const std::size_t At = Json.find("\"" + Name + "\"");
    if (At == std::string::npos)
      return "";
    const std::size_t Start = Json.find('"', Json.find(':', At)) + 1;
    return Json.substr(Start, Json.find('"', Start) - Start);
  }

  std::string heartbeatOf(Server &Of) const {
    return "{\"service\":\"" + Options.Service + "\",\"address\":\"" +
           Of.At.text() + "\",\"zone\":\"" + zoneOf(Of) +
           "\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\"," +
           "\"cold_remaining_ms\":0,\"db_role\":\"" +
           (Of.IsPrimary ? "primary" : "replica") +
           "\",\"born\":" + std::to_string(Of.Born) +
           ",\"sequence\":" + std::to_string(++Of.Sequence) + "}";
  }

  static std::string zoneOf(const Server &Of) { return "zone-" + Of.Name; }

  void sendHeartbeats(std::size_t Which) {
    Server &Of = *Servers[Which];
    std::size_t Next = Which;
    std::optional<Address> Known;
    std::unique_lock<std::mutex> Held(Guard);
    Moment Due = SteadyClock::now();
    while (!IsEnding) {
      const bool IsDue = Of.IsUp && Of.CutProxies.empty() &&
                         (Of.IsBeatDue || SteadyClock::now() >= Due);
      if (!IsDue) {
        Changed.wait_for(Held, Ms(10));
        continue;
      }
      Of.IsBeatDue = false;
      const HttpCall Beat{"POST", "/-/Instances.Heartbeat/" + Of.Name,
                          heartbeatOf(Of)};
      Held.unlock();
      const Address To =
          Known.value_or(Options.Controls[Next % Options.Controls.size()]);
      const HttpReply Reply = callControl(To, Beat, Ms(1000));
      if (Reply.Status / 100 == 2) {
        Known = addressOfUrl(textField(Reply.Body, "heartbeat_url"));
        Due = SteadyClock::now() + Options.Heartbeat;
      } else {
        Known.reset();
        ++Next;
        Due = SteadyClock::now() + Ms(50);
      }
      Held.lock();
    }
  }

  DatabaseOptions Options;
  Record &Notes;
  std::mutex Guard;
  std::condition_variable Changed;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::thread> Threads;
  std::list<std::thread> Sessions;
  std::atomic<bool> IsEnding{false};
  std::atomic<int> Promoted{0};
  std::atomic<std::uint64_t> LostAnswers{0};
  std::optional<Ms> Lateness; ///< Of the next order.
  std::string LateServer;
  std::uint64_t SeenToken = 0;
  int Renamed = 0;
  std::uint64_t LastDigest = 0;
  int NewestTerm = 1;
  std::mt19937 Random{std::random_device{}()};
};

} // namespace review2

#endif
