/// \file
/// A database service of three servers, and the provider's promotion service.

#include "Database.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr int CheckInTimeoutMs = 1000;
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
/// How long a commit waits for a replica before its outcome is given up.
constexpr std::int64_t SyncTimeoutMs = 3000;

std::string error(const std::string &Code) {
  return "ERROR " + Code + " -\r\n";
}

const char *const Complete = "COMPLETE -\r\n";

} // namespace

DatabaseOptions optionsFor(const Fleet &System) {
  constexpr std::size_t ServerCount = 3;
  DatabaseOptions Out;
  Out.Service = "bale-ledger";
  for (std::size_t Each = 0; Each < ServerCount; ++Each)
    Out.Servers.push_back(System.server(Each));
  for (std::size_t Each = 0; Each < Fleet::ControlHosts; ++Each)
    Out.Controls.push_back(System.control(Each));
  Out.Provider = System.provider();
  return Out;
}

Database::Database(DatabaseOptions Given, Record &Log)
    : Options(std::move(Given)), Log(Log), Servers(Options.Servers.size()) {
  for (std::size_t Each = 0; Each < Servers.size(); ++Each)
    Servers[Each].Id = "i-" + Options.Service + "-" + std::to_string(Each);
}

void Database::start() {
  Promotions = std::make_unique<Listener>(
      Options.Provider,
      [this](const std::shared_ptr<Stream> &From) { serveProvider(From); });
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Servers.front().Leads = true;
    for (std::size_t Each = 0; Each < Servers.size(); ++Each)
      listen(Each);
  }
  for (std::size_t Each = 0; Each < Servers.size(); ++Each)
    std::thread([this, Each] {
      while (true) {
        checkIn(Each);
        std::unique_lock<std::mutex> Guard(Lock);
        const bool DidLead = Servers[Each].Leads;
        const bool WasUp = Servers[Each].IsUp;
        // A change is reported immediately.
        Changed.wait_for(Guard, std::chrono::milliseconds(Options.HeartbeatMs),
                         [&] {
                           return Servers[Each].Leads != DidLead ||
                                  Servers[Each].IsUp != WasUp;
                         });
      }
    }).detach();
  std::thread([this] {
    while (true) {
      sleepMs(1);
      replicate();
    }
  }).detach();
}

void Database::listen(std::size_t Which) {
  Server &Of = Servers[Which];
  Of.IsUp = true;
  Of.IsDark = false;
  Of.IsPaused = false;
  ++Of.Boot;
  Of.Accepting = std::make_unique<Listener>(
      Options.Servers[Which],
      [this, Which](const std::shared_ptr<Stream> &From) {
        serve(Which, From);
      });
}

void Database::stop(std::size_t Which, bool IsDark) {
  Server &Of = Servers[Which];
  Of.IsUp = false;
  Of.IsDark = IsDark;
  if (!IsDark) {
    Of.Accepting.reset();
    for (const auto &Each : Of.Streams)
      Each->end(true);
    Of.Streams.clear();
    Of.Open = 0;
  }
  Changed.notify_all();
}

void Database::crash(std::size_t Which) {
  Log.write(idOf(Which), "CRASHES");
  const std::lock_guard<std::mutex> Guard(Lock);
  stop(Which, false);
}

void Database::goDark(std::size_t Which) {
  Log.write(idOf(Which), "GOES DARK");
  const std::lock_guard<std::mutex> Guard(Lock);
  stop(Which, true);
}

void Database::restart(std::size_t Which) {
  Log.write(idOf(Which), "IS BACK with its log");
  const std::lock_guard<std::mutex> Guard(Lock);
  stop(Which, false);
  // If another server was promoted meanwhile, this one comes back as a replica,
  // whose log is cut to that of the newest term.
  const Server *Newest = nullptr;
  for (const auto &Each : Servers)
    if (Each.Term == HighestTerm &&
        (Newest == nullptr || Each.Log.size() > Newest->Log.size()))
      Newest = &Each;
  if (Servers[Which].Term < HighestTerm && Newest != nullptr) {
    Servers[Which].Leads = false;
    Servers[Which].Log = Newest->Log;
    Servers[Which].Term = HighestTerm;
    Servers[Which].NewestTerm = HighestTerm;
  }
  listen(Which);
  Changed.notify_all();
}

void Database::setDeaf(std::size_t Which, bool New) {
  Log.write(idOf(Which), New ? "RECEIVES NOTHING" : "receives again");
  const std::lock_guard<std::mutex> Guard(Lock);
  Servers[Which].IsDeaf = New;
}

void Database::delayNextPromotion(std::int64_t AfterMs) {
  const std::lock_guard<std::mutex> Guard(Lock);
  Delay = AfterMs;
}

std::string Database::idOf(std::size_t Which) {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Servers[Which].Id;
}

bool Database::leads(std::size_t Which) {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Servers[Which].IsUp && Servers[Which].Leads;
}

std::size_t Database::logSize(std::size_t Which) {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Servers[Which].Log.size();
}

bool Database::holds(std::size_t Which, const std::string &WriteId) {
  const std::lock_guard<std::mutex> Guard(Lock);
  for (const Commit &Each : Servers[Which].Log)
    for (const Write &Made : Each.Writes)
      if (Made.Id == WriteId)
        return true;
  return false;
}

bool Database::hasReceived(const std::string &StatementId) {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Received.count(StatementId) != 0;
}

std::int64_t Database::answeredAt(const std::string &StatementId) {
  const std::lock_guard<std::mutex> Guard(Lock);
  const auto Found = Answered.find(StatementId);
  return Found == Answered.end() ? -1 : Found->second;
}

// Connections.

void Database::serve(std::size_t Which, const std::shared_ptr<Stream> &From) {
  Session Own;
  if (!open(Which, From, Own))
    return;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Servers[Which].Streams.insert(From);
  }
  while (const auto Line = From->readLine(-1)) {
    std::istringstream In(*Line);
    std::string Word;
    std::string Id;
    In >> Word >> Id;
    if (Word != "QUERY")
      break;
    std::string Text;
    std::getline(In >> std::ws, Text);
    const Result Outcome = run(Own, Id, Text);
    if (!Outcome)
      break;
    std::unique_lock<std::mutex> Guard(Lock);
    if (isGone(Own))
      break;
    const std::string Answer = *Outcome + ready(Own);
    if (Id != "-")
      Answered[Id] = nowMs();
    Guard.unlock();
    if (Id != "-")
      Log.write(idOf(Which), "answers " + Id + ": " +
                                 Outcome->substr(0, Outcome->find('\r')));
    if (!From->write(Answer))
      break;
  }
  const std::lock_guard<std::mutex> Guard(Lock);
  // A dark server doesn't close its connections.
  if (Servers[Which].IsDark)
    return;
  Servers[Which].Streams.erase(From);
  if (Servers[Which].Boot == Own.Boot)
    --Servers[Which].Open;
}

bool Database::open(std::size_t Which, const std::shared_ptr<Stream> &From,
                    Session &Out) {
  const auto Line = From->readLine(-1);
  if (!Line)
    return false;
  std::istringstream In(*Line);
  std::string Word;
  std::string Service;
  std::string Who;
  std::string Id;
  In >> Word >> Service >> Who >> Id;
  std::unique_lock<std::mutex> Guard(Lock);
  Server &Of = Servers[Which];
  if (Of.IsDark)
    Of.Streams.insert(From);
  if (!Of.IsUp)
    return false;
  Out.Server = Which;
  Out.Boot = Of.Boot;
  std::string Refusal;
  if (Word != "STARTUP" || Service != Options.Service ||
      (!Id.empty() && Id != Of.Id))
    Refusal = "MISROUTED";
  else if (Of.Open >= Options.MaxConnections)
    Refusal = "CONNLIMIT";
  if (!Refusal.empty()) {
    From->write(error(Refusal));
    From->end();
    return false;
  }
  ++Of.Open;
  if (takeSlot(Out, Guard))
    work(Out, Guard, Options.HandshakeMs);
  if (isGone(Out))
    return false;
  From->write(ready(Out));
  return true;
}

bool Database::isGone(const Session &In) const {
  const Server &Of = Servers[In.Server];
  return !Of.IsUp || Of.Boot != In.Boot;
}

std::string Database::ready(const Session &In) const {
  const Server &Of = Servers[In.Server];
  return std::string("READY ") + In.State + " " + std::to_string(Of.Term) +
         "." + std::to_string(Of.Log.size()) + "\r\n";
}

std::string Database::status(const Server &Of) const {
  return std::string("ROW ") + (Of.Leads ? "primary" : "replica") + " " +
         std::to_string(Of.NewestTerm) + " " + std::to_string(Of.Term) + "." +
         std::to_string(Of.Log.size()) + " " + std::to_string(Of.Term) + " " +
         std::to_string(Of.Leads ? 0 : Options.LagMs) + " " +
         std::to_string(Of.Running) + " " + std::to_string(Of.Open) + "\r\n" +
         Complete;
}

bool Database::takeSlot(Session &In, std::unique_lock<std::mutex> &Guard) {
  Server &Of = Servers[In.Server];
  if (Of.Running >= Options.Slots && Of.Queued >= Options.Queue)
    return false;
  ++Of.Queued;
  Changed.wait(Guard, [&] { return isGone(In) || Of.Running < Options.Slots; });
  --Of.Queued;
  return true;
}

void Database::work(Session &In, std::unique_lock<std::mutex> &Guard,
                    std::int64_t Duration) {
  Server &Of = Servers[In.Server];
  ++Of.Running;
  Guard.unlock();
  sleepMs(Duration);
  Guard.lock();
  --Of.Running;
  Changed.notify_all();
}

// Statements.

Database::Result Database::run(Session &In, const std::string &Id,
                               std::string Text) {
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    const Server &Of = Servers[In.Server];
    if (isGone(In))
      return std::nullopt;
    if (Text.rfind("AFTER ", 0) == 0) {
      std::istringstream Prefix(Text.substr(6));
      std::uint64_t Term = 0;
      std::uint64_t Number = 0;
      char Dot = 0;
      Prefix >> Term >> Dot >> Number;
      std::getline(Prefix >> std::ws, Text);
      if (std::pair(Of.Term, std::uint64_t(Of.Log.size())) <
          std::pair(Term, Number))
        return error("LAGGING");
    }
  }
  if (Id == "-")
    return command(In, Text);
  Log.write(idOf(In.Server), "gets " + Id + ": " + Text);
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Received.insert(Id);
  }
  return runStatement(In, Id, Text);
}

Database::Result Database::command(Session &In, const std::string &Text) {
  const std::lock_guard<std::mutex> Guard(Lock);
  Server &Of = Servers[In.Server];
  std::istringstream Words(Text);
  std::string Word;
  std::string Name;
  Words >> Word >> Name;
  if (Word == "STATUS")
    return status(Of);
  if (Word == "PAUSE") {
    if (!Of.Leads && std::strtoull(Name.c_str(), nullptr, 10) > Of.NewestTerm)
      Of.IsPaused = true;
    return status(Of);
  }
  if (Word == "RESUME") {
    Of.IsPaused = false;
    return status(Of);
  }
  if (Word == "STEPDOWN") {
    if (std::strtoull(Name.c_str(), nullptr, 10) > Of.Term)
      Of.Leads = false;
    Changed.notify_all();
    return status(Of);
  }
  if (Word == "BEGIN") {
    if (Name.empty() && !Of.Leads)
      return error("READONLY");
    In.State = 'T';
    In.IsPlain = Name.empty();
    In.Written.clear();
    return Complete;
  }
  if (Word == "ROLLBACK") {
    In.State = 'I';
    In.Written.clear();
    return Complete;
  }
  if (Word == "RESET")
    In.Prepared.clear();
  if (Word == "PREPARE")
    std::getline(Words >> std::ws, In.Prepared[Name]);
  return Complete;
}

Database::Result Database::runStatement(Session &In, const std::string &Id,
                                        const std::string &Text) {
  std::istringstream Words(Text);
  std::string Word;
  std::string Item;
  std::string Data;
  Words >> Word >> Item >> Data;
  std::unique_lock<std::mutex> Guard(Lock);
  const Server &Of = Servers[In.Server];
  const auto Refuse = [&](const std::string &Code) -> Result {
    if (In.State == 'T' && Code != "BUSY")
      In.State = 'E';
    return error(Code);
  };
  if (In.State == 'E')
    return Refuse("MALFORMED");
  if (!takeSlot(In, Guard))
    return Refuse("BUSY");
  work(In, Guard, Options.WorkMs);
  if (isGone(In))
    return std::nullopt;
  const bool IsCommit = Word == "COMMIT";
  const bool IsWrite = Word == "STORE";
  const bool NeedsLead = IsWrite || (In.State == 'T' && In.IsPlain &&
                                     !(IsCommit && In.Written.empty()));
  if (NeedsLead && !Of.Leads)
    return Refuse("READONLY");
  std::string Rows;
  if (Word == "FETCH") {
    std::string Found = "-";
    for (const Commit &Each : Of.Log)
      for (const Write &Made : Each.Writes)
        if (Made.Item == Item)
          Found = Made.Data;
    Rows = "ROW " + Found + "\r\n";
  } else if (IsWrite) {
    In.Written.push_back({Id, Item, Data});
  } else if (!IsCommit) {
    return Refuse("FAILED");
  }
  if (IsCommit)
    In.State = 'I';
  if (In.State == 'I' && !In.Written.empty())
    if (Result Failure = commit(In, Guard); !Failure || !Failure->empty())
      return Failure;
  return Rows + "COMPLETE d" + std::to_string(NextDigest++) + "\r\n";
}

// Returns an empty text once the commit may be acknowledged.
Database::Result Database::commit(Session &In,
                                  std::unique_lock<std::mutex> &Guard) {
  Server &Of = Servers[In.Server];
  const std::uint64_t Term = Of.Term;
  Of.Log.push_back({std::move(In.Written), nowMs()});
  In.Written.clear();
  const std::size_t Number = Of.Log.size();
  if (Options.SyncReplicas == 0)
    return "";
  const auto IsReceived = [&] {
    return std::any_of(Servers.begin(), Servers.end(), [&](const Server &Each) {
      return &Each != &Of && Each.IsUp && Each.Term == Term &&
             Each.Log.size() >= Number;
    });
  };
  Changed.wait_for(Guard, std::chrono::milliseconds(SyncTimeoutMs), [&] {
    return isGone(In) || !Of.Leads || Of.Term != Term || IsReceived();
  });
  if (isGone(In))
    return std::nullopt;
  if (Of.Leads && Of.Term == Term && IsReceived())
    return "";
  return error("TIMEOUT");
}

// Replication and promotion.

void Database::replicate() {
  const std::lock_guard<std::mutex> Guard(Lock);
  for (const Server &From : Servers) {
    if (!From.IsUp || !From.Leads)
      continue;
    for (Server &To : Servers) {
      if (&To == &From || !To.IsUp || To.Leads || To.IsPaused || To.IsDeaf ||
          To.Term > From.Term)
        continue;
      To.Term = From.Term;
      To.NewestTerm = From.Term;
      bool HasReceived = false;
      while (To.Log.size() < From.Log.size() &&
             From.Log[To.Log.size()].At + Options.LagMs <= nowMs()) {
        To.Log.push_back(From.Log[To.Log.size()]);
        HasReceived = true;
      }
      if (HasReceived)
        Changed.notify_all();
    }
  }
}

void Database::serveProvider(const std::shared_ptr<Stream> &From) {
  const auto Request = readRequest(*From);
  if (!Request || Request->Path != "/promotions")
    return;
  const auto Header = [&](const std::string &Name) {
    const auto Found = Request->Headers.find(Name);
    return Found == Request->Headers.end() ? "" : Found->second;
  };
  const std::string Id = jsonField(Request->Body, "id");
  const std::uint64_t Token =
      std::strtoull(Header("fencing-token").c_str(), nullptr, 10);
  std::size_t Which = 0;
  bool IsAccepted = false;
  bool IsPrimary = false;
  std::optional<std::int64_t> Late;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    while (Which < Servers.size() && Servers[Which].Id != Id)
      ++Which;
    Late = std::exchange(Delay, std::nullopt);
    IsAccepted =
        Which < Servers.size() && Servers[Which].IsUp && Token >= HighestToken;
    IsPrimary = IsAccepted && Servers[Which].Leads;
    // The fence of a late call is checked when it is carried out.
    if (IsAccepted && !Late)
      HighestToken = Token;
  }
  Log.write("provider", "promotion of " + Id + ", fence " +
                            std::to_string(Token) + ", holder " +
                            Header("lease-holder") +
                            (Late         ? ": carried out late, no answer"
                             : IsAccepted ? ": 200"
                                          : ": 409"));
  if (!Late)
    writeResponse(*From, IsAccepted ? StatusOk : StatusConflict, "{}");
  if (!IsAccepted || IsPrimary)
    return;
  if (OnOrder)
    OnOrder(Which);
  if (Late)
    sleepMs(*Late);
  sleepMs(Options.PromoteMs);
  promote(Which, Token);
}

void Database::promote(std::size_t Which, std::uint64_t Token) {
  std::set<std::string> Lost;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Server &New = Servers[Which];
    if (!New.IsUp || Token < HighestToken || New.Leads)
      return;
    HighestToken = Token;
    for (Server &Each : Servers)
      for (std::size_t Number = New.Log.size(); Number < Each.Log.size();
           ++Number)
        for (const Write &Made : Each.Log[Number].Writes)
          Lost.insert(Made.Id);
    New.Term = ++HighestTerm;
    New.NewestTerm = New.Term;
    New.Leads = true;
    New.IsPaused = false;
    for (Server &Each : Servers) {
      if (&Each == &New || !Each.IsUp)
        continue;
      Each.Leads = false;
      Each.IsPaused = false;
      Each.Log = New.Log;
      Each.Term = New.Term;
      Each.NewestTerm = New.Term;
    }
    Changed.notify_all();
  }
  Log.write("provider", idOf(Which) + " LEADS with the fence " +
                            std::to_string(Token) + " and " +
                            std::to_string(logSize(Which)) + " commits");
  if (OnPromoted)
    OnPromoted(Which, Lost);
}

void Database::checkIn(std::size_t Which) {
  HttpMessage Request;
  Request.Method = "POST";
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Server &Of = Servers[Which];
    if (!Of.IsUp)
      return;
    Request.Path = "/-/Instances.Heartbeat/" + Of.Id;
    Request.Body = R"({"service":")" + Options.Service + R"(","address":")" +
                   Options.Servers[Which].text() +
                   R"(","zone":"kundzinsala","version":"v1","capacity":)" +
                   std::to_string(Options.Slots) +
                   R"(,"state":"ready","cold_remaining_ms":0,"db_role":")" +
                   (Of.Leads ? "primary" : "replica") + R"(","sequence":)" +
                   std::to_string(++Of.Sequence) + "}";
  }
  for (const Endpoint &Each : Options.Controls)
    if (callHttp(Each, Request, CheckInTimeoutMs).Status == StatusOk)
      return;
}

} // namespace review
