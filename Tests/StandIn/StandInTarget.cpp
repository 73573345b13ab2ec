/// \file
/// Implements the simulated database target.

#include "StandInTarget.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace corianderdyke {

namespace {

constexpr int StatusConflict = 409;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr int StatusUnprocessable = 422;
constexpr Millis AnnounceInterval(200);
constexpr Millis PullAgainAfter(20);
constexpr Millis PullTimeout(1000);
constexpr Millis PullHold(200);

/// Log entry body of a key whose transaction can no longer commit.
const std::string GivenUp = "(given up)";

/// Returns the issue time in milliseconds, with which each key begins.
std::uint64_t issueTime(const std::string &Key) {
  return numberOr(Key.substr(0, Key.find('-')), 0);
}

std::vector<Fork> parseForks(const std::string &Text) {
  std::vector<Fork> Out;
  std::istringstream In(Text);
  std::string Item;
  while (std::getline(In, Item, ',')) {
    const std::size_t Colon = Item.find(':');
    if (Colon != std::string::npos)
      Out.push_back({numberOr(Item.substr(0, Colon), 0),
                     numberOr(Item.substr(Colon + 1), 0)});
  }
  return Out;
}

} // namespace

StandInTarget::StandInTarget(StandInOptions Options, Clock &Time,
                             Scheduler &Timers, HttpConnector &Connector)
    : Options(std::move(Options)), Time(Time), Timers(Timers),
      Connector(Connector) {}

void StandInTarget::start() {
  Sequence = static_cast<std::uint64_t>(Time.wallTime().count());
  LogId = Options.Name + "-" + std::to_string(Sequence);
  announce();
}

void StandInTarget::leave() {
  Leaving = true;
  ++Sequence;
}

HttpResponse StandInTarget::answer(int Status, std::string Body) const {
  HttpResponse Out{Status, {}, std::move(Body)};
  Out.Headers["Target-Term"] = std::to_string(Term);
  Out.Headers["Target-Log-Term"] =
      std::to_string(Log.empty() ? 0 : Log.back().Term);
  Out.Headers["Target-Position"] = std::to_string(Log.size());
  Out.Headers["Target-Role"] = Primary  ? "primary"
                               : Fenced ? "fenced"
                                        : "replica";
  return Out;
}

HttpResponse StandInTarget::refusal(const std::string &Reason) const {
  HttpResponse Out = answer(StatusConflict, Reason + "\n");
  Out.Headers["Target-Reason"] = Reason;
  return Out;
}

void StandInTarget::handle(const HttpRequest &Request,
                           std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Path == "/v1/connect")
    openConnection(Request, std::move(Exchange));
  else if (Request.Path == "/v1/statement" || Request.Path == "/v1/begin" ||
           Request.Path == "/v1/commit" || Request.Path == "/v1/rollback")
    statement(Request, std::move(Exchange));
  else if (Request.Path == "/v1/watch")
    watch(Request, std::move(Exchange));
  else if (Request.Path == "/v1/log")
    serveLog(Request, std::move(Exchange));
  else if (Request.Path == "/v1/fence" || Request.Path == "/v1/promote" ||
           Request.Path == "/v1/follow")
    applyOrder(Request, *Exchange);
  else
    Exchange->respond(answer(StatusNotFound, "no such path\n"));
}

void StandInTarget::handleDisconnect(const std::string &Peer) {
  Connected.erase(Peer);
  Transactions.erase(Peer);
}

void StandInTarget::openConnection(const HttpRequest &Request,
                                   std::shared_ptr<HttpExchange> Exchange) {
  if (Connected.size() >= Options.Connections) {
    Exchange->respond(answer(StatusUnavailable, "too many connections\n"));
    return;
  }
  Connected.insert(Request.Peer);
  Timers.after(Options.ConnectCost, [this, Exchange] {
    Exchange->respond(answer(200, "connected\n"));
  });
}

void StandInTarget::statement(const HttpRequest &Request,
                              std::shared_ptr<HttpExchange> Exchange) {
  if (Connected.count(Request.Peer) == 0) {
    Exchange->respond(refusal("not connected"));
    return;
  }
  Waiting.push_back([this, Request, Exchange] {
    Timers.after(Options.ServiceTime, [this, Request, Exchange] {
      execute(Request, *Exchange);
      --Running;
      startWaiting();
    });
  });
  startWaiting();
}

void StandInTarget::startWaiting() {
  while (Running < Options.Slots && !Waiting.empty()) {
    ++Running;
    const auto Next = std::move(Waiting.front());
    Waiting.pop_front();
    Next();
  }
}

void StandInTarget::execute(const HttpRequest &Request,
                            HttpExchange &Exchange) {
  // The sender may have disconnected while its statement waited for a slot.
  if (Connected.count(Request.Peer) == 0)
    return Exchange.respond(refusal("not connected"));
  if (Request.Path == "/v1/rollback")
    return rollback(Request, Exchange);
  if (Fenced || numberOr(Request.header("Statement-Term"), 0) != Term)
    return Exchange.respond(refusal("other term"));
  if (Request.Path == "/v1/commit")
    return commit(Request, Exchange);
  const bool Open = Transactions.count(Request.Peer) != 0;
  if (Open != (Request.header("Statement-Transaction") == "open"))
    return Exchange.respond(
        refusal(Open ? "transaction open" : "no transaction"));
  if (Request.Path == "/v1/begin")
    return begin(Request, Exchange);
  if (Request.header("Statement-Access") == "write")
    return executeWrite(Request, Exchange);
  executeRead(Request, Exchange);
}

void StandInTarget::executeRead(const HttpRequest &Request,
                                HttpExchange &Exchange) {
  if (numberOr(Request.header("Statement-Floor"), 0) > Log.size())
    return Exchange.respond(refusal("behind the session"));
  std::istringstream In(Request.Body);
  std::string Verb;
  std::string Name;
  In >> Verb >> Name;
  if (Verb != "get")
    return Exchange.respond(answer(StatusUnprocessable, "no such statement\n"));
  const auto Found = Data.find(Name);
  Exchange.respond(answer(200, Found == Data.end() ? "" : Found->second));
}

void StandInTarget::executeWrite(const HttpRequest &Request,
                                 HttpExchange &Exchange) {
  if (!Primary)
    return Exchange.respond(refusal("not primary"));
  if (Request.Body.rfind("put ", 0) != 0 && Request.Body.rfind("add ", 0) != 0)
    return Exchange.respond(answer(StatusUnprocessable, "no such statement\n"));
  if (const auto Open = Transactions.find(Request.Peer);
      Open != Transactions.end()) {
    Open->second += Request.Body + "\n";
    return Exchange.respond(answer(200, "ok"));
  }
  const std::string &Key = Request.header("Statement-Key");
  expireKeys();
  if (replay(Key, Request.Body, Exchange))
    return;
  append(Key, Request.Body);
  Exchange.respond(written(Log.size()));
  notifyWatchers();
}

void StandInTarget::begin(const HttpRequest &Request, HttpExchange &Exchange) {
  if (!Primary)
    return Exchange.respond(refusal("not primary"));
  Transactions[Request.Peer];
  Exchange.respond(answer(200, "begun"));
}

void StandInTarget::commit(const HttpRequest &Request, HttpExchange &Exchange) {
  if (!Primary)
    return Exchange.respond(refusal("not primary"));
  const std::string &Key = Request.header("Statement-Key");
  expireKeys();
  const auto Known = Keys.find(Key);
  if (Known != Keys.end() && Log[Known->second - 1].Body == GivenUp)
    return Exchange.respond(refusal("the key was given up"));
  const auto Open = Transactions.find(Request.Peer);
  const bool IsOpen = Open != Transactions.end();
  // A commit without an open transaction queries the outcome of an earlier
  // attempt. The key is recorded, so that the outcome is final: an earlier
  // attempt that is still in flight finds the key in use.
  const std::string Body = IsOpen ? Open->second : GivenUp;
  if (IsOpen)
    Transactions.erase(Open);
  if (IsOpen && replay(Key, Body, Exchange))
    return;
  if (Known != Keys.end())
    return Exchange.respond(written(Known->second));
  if (issueTime(Key) < KeyHorizon)
    return Exchange.respond(refusal("the key is too old"));
  append(Key, Body);
  Exchange.respond(IsOpen ? written(Log.size())
                          : refusal("the key was given up"));
  notifyWatchers();
}

void StandInTarget::rollback(const HttpRequest &Request,
                             HttpExchange &Exchange) {
  Transactions.erase(Request.Peer);
  Exchange.respond(answer(200, "rolled back"));
}

bool StandInTarget::replay(const std::string &Key, const std::string &Body,
                           HttpExchange &Exchange) {
  const auto Known = Key.empty() ? Keys.end() : Keys.find(Key);
  if (Known == Keys.end()) {
    if (Key.empty() || issueTime(Key) >= KeyHorizon)
      return false;
    Exchange.respond(refusal("the key is too old"));
    return true;
  }
  if (Log[Known->second - 1].Body != Body) {
    HttpResponse Out = refusal("the key stands for another statement");
    Out.Status = StatusUnprocessable;
    Exchange.respond(std::move(Out));
    return true;
  }
  Exchange.respond(written(Known->second));
  return true;
}

HttpResponse StandInTarget::written(std::uint64_t Position) const {
  HttpResponse Out = answer(200, "ok");
  Out.Headers["Target-Write-Position"] = std::to_string(Position);
  return Out;
}

void StandInTarget::expireKeys() {
  const std::int64_t Horizon = (Time.wallTime() - Options.KeyRetention).count();
  KeyHorizon =
      std::max(KeyHorizon,
               static_cast<std::uint64_t>(std::max<std::int64_t>(Horizon, 0)));
  while (!Keys.empty() && issueTime(Keys.begin()->first) < KeyHorizon)
    Keys.erase(Keys.begin());
}

void StandInTarget::append(const std::string &Key, const std::string &Body) {
  Log.push_back({Term, Key, Body});
  applyToData(Log.back(), Log.size());
}

void StandInTarget::applyToData(const LogEntry &Entry, std::uint64_t Position) {
  std::istringstream In(Entry.Body);
  std::string Verb;
  std::string Name;
  std::string Value;
  while (Entry.Body != GivenUp && In >> Verb >> Name >> Value) {
    if (Verb == "add")
      Data[Name] = std::to_string(numberOr(Data[Name], 0) + numberOr(Value, 0));
    else
      Data[Name] = Value;
  }
  if (!Entry.Key.empty())
    Keys[Entry.Key] = Position;
}

void StandInTarget::watch(const HttpRequest &Request,
                          std::shared_ptr<HttpExchange> Exchange) {
  auto Each = std::make_shared<Watcher>();
  Each->After = numberOr(Request.parameter("after"), 0);
  Each->Term = numberOr(Request.parameter("term"), 0);
  Each->Exchange = std::move(Exchange);
  Each->Since = Time.now();
  if (Log.size() != Each->After || Term != Each->Term)
    return answerWatch(*Each);
  Watchers.push_back(Each);
  const Millis Hold(
      static_cast<std::int64_t>(numberOr(Request.parameter("wait_ms"), 0)));
  Timers.after(Hold, [this, Each] {
    if (Each->Done)
      return;
    answerWatch(*Each);
    Watchers.erase(std::find(Watchers.begin(), Watchers.end(), Each));
  });
}

void StandInTarget::answerWatch(Watcher &Each) {
  Each.Done = true;
  HttpResponse Out = answer(200, "");
  Out.Headers["Target-Held-Ms"] =
      std::to_string((Time.now() - Each.Since).count());
  Each.Exchange->respond(std::move(Out));
}

void StandInTarget::notifyWatchers() {
  const auto Woken = std::exchange(Watchers, {});
  for (const auto &Each : Woken)
    answerWatch(*Each);
}

void StandInTarget::serveLog(const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
  const std::uint64_t After = numberOr(Request.parameter("after"), 0);
  const auto Respond = [this, After, Exchange] {
    nlohmann::json Entries = nlohmann::json::array();
    for (std::size_t Index = After; Index < Log.size(); ++Index)
      Entries.push_back({Log[Index].Term, Log[Index].Key, Log[Index].Body});
    Exchange->respond(answer(200, Entries.dump()));
  };
  if (After < Log.size())
    return Respond();
  // The pull is registered as a watcher and answered at the next write.
  auto Each = std::make_shared<Watcher>();
  struct LogExchange final : HttpExchange {
    std::function<void()> Send;
    void respond(HttpResponse) override { Send(); }
    void onDisconnect(std::function<void()>) override {}
  };
  auto Adapter = std::make_shared<LogExchange>();
  Adapter->Send = Respond;
  Each->Exchange = Adapter;
  Watchers.push_back(Each);
  Timers.after(PullHold, [this, Each] {
    if (Each->Done)
      return;
    Each->Done = true;
    Each->Exchange->respond({});
    Watchers.erase(std::find(Watchers.begin(), Watchers.end(), Each));
  });
}

void StandInTarget::applyOrder(const HttpRequest &Request,
                               HttpExchange &Exchange) {
  const std::uint64_t Ordered = numberOr(Request.parameter("term"), 0);
  if (Ordered < Term)
    return Exchange.respond(refusal("later term known"));
  if (numberOr(Request.parameter("sequence"), Sequence) != Sequence)
    return Exchange.respond(refusal("for another life"));
  const bool SameRole =
      Ordered == Term && Primary && Request.Path == "/v1/promote";
  if (SameRole)
    return Exchange.respond(answer(200, ""));
  if (Ordered == Term && Primary)
    return Exchange.respond(refusal("primary of this term"));
  // A duplicate fence may arrive after the order to follow. Applying it again
  // would stop replication without any report.
  const bool IsFence = Request.Path == "/v1/fence";
  if (Ordered == Term && (IsFence || (!Fenced && isFollowing(Request))))
    return Exchange.respond(answer(200, ""));
  Term = Ordered;
  Primary = false;
  Fenced = IsFence;
  Transactions.clear();
  ++Generation;
  FollowLink.reset();
  if (!IsFence)
    truncateToForks(parseForks(Request.parameter("forks")));
  if (Request.Path == "/v1/promote")
    Primary = true;
  if (Request.Path == "/v1/follow") {
    Followed =
        Endpoint::parse(Request.parameter("primary")).value_or(Endpoint());
    pull(Generation);
  }
  Exchange.respond(answer(200, ""));
  notifyWatchers();
}

bool StandInTarget::isFollowing(const HttpRequest &Order) const {
  return Order.Path == "/v1/follow" && FollowLink != nullptr &&
         Order.parameter("primary") == Followed.text();
}

void StandInTarget::truncateToForks(const std::vector<Fork> &Forks) {
  const std::uint64_t LogTerm = Log.empty() ? 0 : Log.back().Term;
  std::uint64_t Kept = Log.size();
  for (const Fork &Each : Forks)
    if (Each.Term > LogTerm)
      Kept = std::min(Kept, Each.Position);
  if (Kept == Log.size())
    return;
  Log.resize(Kept);
  rebuild();
}

void StandInTarget::rebuild() {
  Data.clear();
  Keys.clear();
  for (std::size_t Index = 0; Index < Log.size(); ++Index)
    applyToData(Log[Index], Index + 1);
}

void StandInTarget::pull(std::uint64_t OfGeneration) {
  if (OfGeneration != Generation)
    return;
  if (!FollowLink)
    FollowLink = Connector.connect(Followed);
  HttpRequest Request;
  Request.Path = "/v1/log";
  Request.Query["after"] = std::to_string(Log.size());
  FollowLink->request(
      std::move(Request), PullTimeout,
      [this, OfGeneration](const Expected<HttpResponse> &Answer) {
        if (OfGeneration != Generation)
          return;
        if (!Answer)
          FollowLink.reset();
        const bool Good = Answer &&
                          Answer->header("Target-Role") == "primary" &&
                          numberOr(Answer->header("Target-Term"), 0) == Term;
        if (Good && Answer->Body != "[]")
          Timers.after(Options.Lag, [this, OfGeneration, Body = Answer->Body] {
            appendReplicated(Body, OfGeneration);
          });
        else
          Timers.after(Good ? Millis(0) : PullAgainAfter,
                       [this, OfGeneration] { pull(OfGeneration); });
      });
}

void StandInTarget::appendReplicated(const std::string &Body,
                                     std::uint64_t OfGeneration) {
  if (OfGeneration != Generation)
    return;
  for (const auto &Each : nlohmann::json::parse(Body)) {
    Log.push_back({Each[0], Each[1], Each[2]});
    applyToData(Log.back(), Log.size());
  }
  notifyWatchers();
  pull(OfGeneration);
}

void StandInTarget::announce() {
  if (Options.Proxies.empty())
    return;
  const Endpoint &To = Options.Proxies[NextProxy++ % Options.Proxies.size()];
  AnnounceLink = Connector.connect(To);
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/announce";
  Request.Headers = {{"Target-Key", Options.TargetKey},
                     {"Target-Name", Options.Name},
                     {"Target-Database", Options.Database},
                     {"Target-Region", Options.Where.Region},
                     {"Target-Failure-Domain", Options.Where.FailureDomain},
                     {"Target-Host", Options.Where.Host},
                     {"Target-Address", Options.Address.text()},
                     {"Target-Sequence", std::to_string(Sequence)},
                     {"Target-Log", LogId},
                     {"Target-Leaving", Leaving ? "true" : "false"}};
  AnnounceLink->request(std::move(Request), AnnounceInterval,
                        [](const Expected<HttpResponse> &) {});
  Timers.after(AnnounceInterval, [this] { announce(); });
}

} // namespace corianderdyke
