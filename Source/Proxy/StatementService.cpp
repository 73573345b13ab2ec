/// \file
/// Carries callers' statements to targets and the answers back.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr int StatusUnknown = 504;

/// A statement that found no fit target looks again after this long.
constexpr Millis LookAgainAfter(5);
/// What a refused caller is told to wait.
constexpr Millis RetryAfter(100);

std::string word(Outcome What) {
  switch (What) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

HttpRequest requestFor(const StatementRequest &Statement, const Route &Way) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Path = "/v1/statement";
  Out.Headers[statement_header::Access] =
      Statement.Kind.Mode == Access::Read ? "read" : "write";
  Out.Headers[statement_header::Term] = std::to_string(Way.Term);
  Out.Headers[statement_header::Floor] = std::to_string(Way.Floor);
  if (!Statement.Key.empty())
    Out.Headers[statement_header::Key] = Statement.Key;
  Out.Body = Statement.Body;
  return Out;
}

} // namespace

StatementService::StatementService(Ports Outside, const ClusterView &View,
                                   const LeaseHolder &Lease, TargetTable &Table,
                                   TargetWatcher &Watcher,
                                   std::string SessionKey)
    : Outside(Outside), View(View), Lease(Lease), Table(Table),
      SessionKey(std::move(SessionKey)) {
  Watcher.signalChanged().connect(
      sigc::hide(sigc::mem_fun(*this, &StatementService::checkHeld)));
}

void StatementService::handle(const HttpRequest &Request,
                              std::shared_ptr<HttpExchange> Exchange) {
  auto Each = std::make_shared<Job>();
  Each->Exchange = std::move(Exchange);
  ++InFlight;
  const Millis Now = Outside.Time.now();
  // Without a lease this proxy may be cut off from a newer manifest or a
  // newer primary; whatever it served could be forbidden by now.
  if (!Lease.isHeld(Now) || !View.Current) {
    refuse(Each, Outcome::NotRun, "this proxy holds no lease at the moment");
    return;
  }
  auto Parsed = parseStatement(Request, *View.Current, SessionKey);
  if (!Parsed) {
    finish(Each, Outcome::NotRun,
           {StatusBadRequest, {}, Parsed.error().Message + "\n"});
    return;
  }
  Each->Statement = std::move(*Parsed);
  Each->DeadlineAt = Now + Each->Statement.Deadline;
  Each->Timer = Outside.Timers.after(Each->Statement.Deadline,
                                     [this, Each] { expired(Each); });
  dispatch(Each);
}

void StatementService::dispatch(const JobPtr &Each) {
  if (Each->Finished)
    return;
  const RouteQuery Query{
      Each->Statement.Database, Each->Statement.Kind.Mode,
      Each->Statement.Kind.AcceptedAge,
      Each->Statement.Session.floor(Each->Statement.Database),
      Each->Statement.Session.isPartial() &&
          !Each->Statement.Session.floor(Each->Statement.Database)};
  const auto Found = route(
      View, Table, Query,
      [this](const std::string &Target) {
        const ConnectionPool &Of = pool(Target);
        return Of.inUse() + Of.waiting();
      },
      Outside.Time.now());
  if (!Found && Found.error().Code != ErrorCode::Unavailable) {
    finish(Each, Outcome::NotRun,
           {StatusConflict, {}, Found.error().Message + "\n"});
    return;
  }
  if (!Found || !Lease.isHeld(Outside.Time.now())) {
    tryAgain(Each, Found ? "the lease ran out" : Found.error().Message);
    return;
  }
  Each->Way = *Found;
  pool(Found->Target)
      .acquire([this, Each](Expected<ConnectionPool::Lent> Connection) {
        if (!Connection) {
          tryAgain(Each, Connection.error().Message);
          return;
        }
        send(Each, std::move(*Connection));
      });
}

void StatementService::tryAgain(const JobPtr &Each, const std::string &Why) {
  if (Each->Finished)
    return;
  if (Outside.Time.now() + LookAgainAfter >= Each->DeadlineAt) {
    refuse(Each, Outcome::NotRun, Why);
    return;
  }
  Outside.Timers.after(LookAgainAfter, [this, Each] { dispatch(Each); });
}

void StatementService::send(const JobPtr &Each,
                            ConnectionPool::Lent Connection) {
  const std::string Target = Each->Way.Target;
  const GroupRecord *Group = View.group(Each->Statement.Database);
  const bool Moved = Group == nullptr || Group->Term != Each->Way.Term;
  if (Each->Finished || Moved || !Lease.isHeld(Outside.Time.now())) {
    pool(Target).release(std::move(Connection), true);
    tryAgain(Each, "the primary changed while the statement waited");
    return;
  }
  Each->Sent = true;
  HttpConnection *Raw = Connection.Connection.get();
  auto Used = std::make_shared<ConnectionPool::Lent>(std::move(Connection));
  const Millis SentAt = Outside.Time.now();
  Raw->request(
      requestFor(Each->Statement, Each->Way),
      Each->DeadlineAt - SentAt + Millis(1),
      [this, Each, Used, Target, SentAt](const Expected<HttpResponse> &Answer) {
        // A target that restarted doesn't know the connection any more; kept,
        // it would refuse every statement that is given to it.
        const bool Usable =
            Answer && Answer->header(target_header::Reason) != "not connected";
        pool(Target).release(std::move(*Used), Usable);
        answered(Each, Answer, SentAt);
      });
}

void StatementService::answered(const JobPtr &Each,
                                const Expected<HttpResponse> &Answer,
                                Millis SentAt) {
  const bool IsWrite = Each->Statement.Kind.Mode == Access::Write;
  if (Answer) {
    const TargetSighting Seen = sightingOf(*Answer);
    Table.observe(Each->Way.Target, Seen, SentAt, Outside.Time.now());
  }
  if (Each->Finished)
    return;
  if (!Answer) {
    Each->Sent = IsWrite;
    if (IsWrite)
      refuse(Each, Outcome::Unknown,
             "the connection to the target was lost before its answer");
    else
      tryAgain(Each, "the connection to the target was lost");
    return;
  }
  if (Answer->Status == StatusConflict || Answer->Status == StatusUnavailable) {
    // The target says itself that it didn't run the statement.
    Each->Sent = false;
    tryAgain(Each,
             "the target refused: " + Answer->header(target_header::Reason));
    return;
  }
  if (IsWrite && Answer->Status == StatusOk) {
    holdWrite(Each, *Answer);
    return;
  }
  if (!IsWrite)
    ++(Each->Way.IsPrimary ? Counts.ReadsByPrimary : Counts.ReadsByReplica);
  // A read is judged like a write: after its lease ended, a newer manifest
  // may forbid it and a newer primary may have made it stale.
  if (!Lease.isHeld(Outside.Time.now())) {
    refuse(Each, IsWrite ? Outcome::Unknown : Outcome::NotRun,
           "the lease ran out before the answer came");
    return;
  }
  finish(Each, Outcome::Done, {Answer->Status, {}, Answer->Body});
}

void StatementService::holdWrite(const JobPtr &Each,
                                 const HttpResponse &Answer) {
  Each->Held = Answer;
  Each->HeldTerm = numberOr(Answer.header(target_header::Term), 0);
  Each->HeldPosition = numberOr(Answer.header(target_header::Position), 0);
  if (!settleHeld(Each))
    Held.push_back(Each);
}

bool StatementService::settleHeld(const JobPtr &Each) {
  if (Each->Finished)
    return true;
  const std::string &Database = Each->Statement.Database;
  const GroupRecord *Group = View.group(Database);
  const DatabasePolicy *Policy = View.Current->database(Database);
  if (Group == nullptr || Policy == nullptr || Group->Term != Each->HeldTerm ||
      !Group->isWritable()) {
    refuse(Each, Outcome::Unknown,
           "the primary was replaced before the write was safe");
    return true;
  }
  if (Table.copies(Database, Each->HeldTerm, Each->HeldPosition) <
      Policy->Copies)
    return false;
  // Two safeguards meet here. The copies make the write survive any
  // promotion, so the answer stays true even if this process is stopped
  // between this check and the sending. The lease makes sure that no proxy
  // goes on acknowledging for a primary that others have replaced.
  if (!Lease.isHeld(Outside.Time.now())) {
    refuse(Each, Outcome::Unknown,
           "the lease ran out before the write was "
           "known to be safe");
    return true;
  }
  ++Counts.Writes;
  HttpResponse Out{StatusOk, {}, Each->Held->Body};
  Out.Headers[caller_header::Session] =
      sealToken(Each->Statement.Session.withWrite(Database, Each->HeldTerm,
                                                  Each->HeldPosition),
                SessionKey);
  finish(Each, Outcome::Done, std::move(Out));
  return true;
}

void StatementService::checkHeld() {
  std::vector<JobPtr> Waiting = std::exchange(Held, {});
  for (const JobPtr &Each : Waiting)
    if (!settleHeld(Each))
      Held.push_back(Each);
}

void StatementService::viewChanged() {
  for (auto &[Name, Pool] : Pools)
    if (const TargetAnnouncement *Target = View.target(Name); Target != nullptr)
      Pool->setLimit(connectionShare(Target->Database));
  checkHeld();
}

void StatementService::expired(const JobPtr &Each) {
  Each->Timer = 0;
  const bool MayHaveRun =
      Each->Sent && Each->Statement.Kind.Mode == Access::Write;
  refuse(Each, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         "no answer before the deadline");
}

void StatementService::refuse(const JobPtr &Each, Outcome What,
                              const std::string &Why) {
  HttpResponse Out{What == Outcome::Unknown ? StatusUnknown : StatusUnavailable,
                   {},
                   Why + "\n"};
  Out.Headers[caller_header::RetryAfterMs] = std::to_string(RetryAfter.count());
  finish(Each, What, std::move(Out));
}

void StatementService::finish(const JobPtr &Each, Outcome What,
                              HttpResponse Response) {
  if (Each->Finished)
    return;
  Each->Finished = true;
  --InFlight;
  if (Each->Timer != 0)
    Outside.Timers.cancel(Each->Timer);
  if (What == Outcome::NotRun)
    ++Counts.NotRun;
  if (What == Outcome::Unknown)
    ++Counts.Unknown;
  Response.Headers[caller_header::Outcome] = word(What);
  if (!Each->Way.Target.empty()) {
    Response.Headers[caller_header::Target] = Each->Way.Target;
    Response.Headers[caller_header::ServedBy] =
        Each->Way.IsPrimary ? "primary" : "replica";
  }
  Each->Exchange->respond(std::move(Response));
}

std::size_t
StatementService::connectionShare(const std::string &Database) const {
  const DatabasePolicy *Policy = View.Current->database(Database);
  if (Policy == nullptr)
    return 1;
  const std::size_t Proxies = std::max<std::size_t>(View.Proxies.size(), 1);
  return std::max<std::size_t>(Policy->ConnectionsPerTarget / Proxies, 1);
}

ConnectionPool &StatementService::pool(const std::string &Target) {
  const TargetAnnouncement *Known = View.target(Target);
  std::unique_ptr<ConnectionPool> &Found = Pools[Target];
  if (!Found && Known != nullptr)
    Found = std::make_unique<ConnectionPool>(Outside.Connector, Known->Address,
                                             connectionShare(Known->Database));
  return *Found;
}

} // namespace corianderdyke
