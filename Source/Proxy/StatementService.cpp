/// \file
/// Carries callers' statements to targets and the answers back.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"
#include "Proxy/TargetRequest.h"

#include <algorithm>
#include <set>

namespace corianderdyke {

namespace {

/// The least that a refused caller is told to wait.
constexpr Millis RetryAfter(100);
/// Targets that one statement is tried at before it's given up. A read that
/// every target loses would otherwise go round until its deadline and load
/// each of them.
constexpr unsigned MaxTries = 3;

} // namespace

StatementService::StatementService(Ports Outside, const ProcessId &Self,
                                   const ClusterView &View,
                                   const LeaseHolder &Lease, TargetTable &Table,
                                   TargetWatcher &Watcher,
                                   const ConnectionRights &Rights,
                                   std::string SessionKey)
    : Outside(Outside), View(View), Lease(Lease), Table(Table),
      SessionKey(std::move(SessionKey)), Rights(Rights),
      Pools(Outside.Connector), Queues(Self.Incarnation),
      Plan(View, Pools, Queues), Gate(View, Table),
      Transactions(Outside.Timers, Self), Retry(Self.Incarnation) {
  Watcher.signalChanged().connect(
      sigc::mem_fun(*this, &StatementService::wake));
}

StatementService::~StatementService() {
  for (const auto &[Id, Each] : Jobs)
    for (const Scheduler::TimerId Timer :
         {Each->DeadlineTimer, Each->PatienceTimer})
      if (Timer != 0)
        Outside.Timers.cancel(Timer);
}

void StatementService::handle(Verb What, const HttpRequest &Request,
                              std::shared_ptr<HttpExchange> Exchange) {
  auto Each = std::make_shared<Job>();
  Each->Id = NextId++;
  Each->Exchange = std::move(Exchange);
  Jobs[Each->Id] = Each;
  // Without a lease this proxy may be cut off from a newer manifest or a
  // newer primary; whatever it served could be forbidden by now.
  if (!hasLease() || !View.Current)
    return giveUp(Each, "this proxy holds no lease at the moment");
  auto Parsed = parseStatement(What, Request, *View.Current, SessionKey);
  if (!Parsed)
    return reject(Each, reply_status::BadRequest, Parsed.error().Message);
  Each->Statement = std::move(*Parsed);
  if (Each->Statement.Key)
    if (const auto Good = Each->Statement.Key->check(
            Outside.Time.wallTime(), View.Current->Limits.KeyRetention);
        !Good)
      return reject(Each, reply_status::Gone, Good.error().Message);
  if (!isTakenIn(Each->Statement))
    return giveUp(Each, "this proxy is about to stop");
  Each->DeadlineAt = Outside.Time.now() + Each->Statement.Deadline;
  Each->DeadlineTimer = Outside.Timers.after(Each->Statement.Deadline,
                                             [this, Each] { expired(Each); });
  Each->Exchange->onHangUp([this, Weak = std::weak_ptr<Job>(Each)] {
    if (const JobPtr Left = Weak.lock())
      hungUp(Left);
  });
  start(Each);
}

bool StatementService::isTakenIn(const StatementRequest &Statement) const {
  if (Transactions.isOpen(Statement.Transaction))
    return true;
  return Accepts == Intake::Open || (Accepts == Intake::NoNewTransactions &&
                                     Statement.What != Verb::Begin);
}

void StatementService::start(const JobPtr &Each) {
  if (Each->Statement.Transaction.empty())
    return dispatch(Each);
  startInTransaction(Each);
}

std::set<std::string> StatementService::running() const {
  std::set<std::string> Out = Transactions.databases();
  for (const auto &[Id, Each] : Jobs)
    if (Each->At == Job::Stage::Sent && Each->Way.IsPrimary)
      Out.insert(Each->Statement.Database);
  return Out;
}

void StatementService::dispatch(const JobPtr &Each) {
  if (Each->At == Job::Stage::Finished)
    return;
  Each->At = Job::Stage::Choosing;
  if (!hasLease())
    return giveUp(Each, "the lease of this proxy ran out");
  const auto Found = choose(*Each);
  if (!Found && Found.error().Code != ErrorCode::Unavailable)
    return reject(Each, reply_status::Conflict, Found.error().Message);
  if (!Found)
    return waitForChange(Each, Found.error().Message);
  if (!Each->IsAdmitted)
    return enqueue(Each);
  Each->Way = *Found;
  acquire(Each);
}

Expected<Route> StatementService::choose(const Job &Each) const {
  const StatementRequest &Statement = Each.Statement;
  const auto Floor = Statement.Session.floor(Statement.Database);
  const RouteQuery Query{Statement.Database,
                         Statement.isWrite() ? Access::Write : Access::Read,
                         Statement.Kind.AcceptedAge,
                         Floor,
                         Statement.Session.isPartial() && !Floor,
                         Each.Avoid};
  return route(
      View, Table, Query,
      [this](const std::string &Target) { return Pools.load(Target); },
      Outside.Time.now());
}

void StatementService::enqueue(const JobPtr &Each) {
  Each->At = Job::Stage::Queued;
  const StatementRequest &Of = Each->Statement;
  refuse(Queues.arrive({Each->Id, Of.Database,
                        Of.isWrite() ? Access::Write : Access::Read,
                        Of.Organisation, Of.Kind.Name, Each->DeadlineAt},
                       Outside.Time.now()));
  pump(Of.Database);
}

void StatementService::pump(const std::string &Database) {
  // What is sent may end at once and call back here; the outer call goes on.
  if (IsPumping)
    return;
  IsPumping = true;
  std::vector<Refusal> GivenUp;
  const auto Fits = [this](std::uint64_t Id) { return canRun(Id); };
  while (const auto Id =
             Queues.next(Database, Fits, Outside.Time.now(), GivenUp)) {
    const JobPtr Each = Jobs.at(*Id);
    Each->IsAdmitted = true;
    dispatch(Each);
  }
  IsPumping = false;
  refuse(GivenUp);
}

bool StatementService::canRun(std::uint64_t Id) const {
  const Job &Each = *Jobs.at(Id);
  const auto Found = choose(Each);
  // What can't be routed at all is told so, and doesn't wait for a turn.
  return !Found || Plan.hasRoom(Found->Target, Each.Statement.Database,
                                Each.Statement.What == Verb::Begin);
}

void StatementService::refuse(const std::vector<Refusal> &All) {
  for (const Refusal &Each : All) {
    const auto Found = Jobs.find(Each.Request.Id);
    if (Found == Jobs.end())
      continue;
    const JobPtr Of = Found->second;
    Of->At = Job::Stage::Choosing;
    giveUp(Of, text(Each.Reason), Each.RetryAfter);
  }
}

void StatementService::tick() {
  refuse(Queues.giveUp(Outside.Time.now()));
  for (const QueueStatus &Each : Queues.status())
    if (Each.Queued > 0)
      pump(Each.Database);
}

TargetPools::LimitOf StatementService::limits() const {
  return [this](const std::string &Target) {
    return Rights.limit(Target, Outside.Time.now());
  };
}

void StatementService::rightsChanged() {
  Pools.setLimits(limits());
  if (Outside.Time.now() >= Rights.end()) {
    // Another proxy may be given these connections from now on; one more than
    // the server takes would be refused there, and its caller's statement
    // with it. The lease of this proxy ended long before, so nobody here
    // could be answered with success any more.
    Transactions.abandonIdle();
    while (!Calls.empty())
      answered(Calls.begin()->first,
               fail(ErrorCode::Unavailable, "the right to connections ended"));
  }
  for (const QueueStatus &Each : Queues.status())
    pump(Each.Database);
}

void StatementService::acquire(const JobPtr &Each) {
  const auto Pool = Pools.find(Each->Way.Target);
  if (!Pool)
    return waitForChange(Each, "the target isn't known here yet");
  Each->Pool = Pool;
  Each->At = Job::Stage::Acquiring;
  const ConnectionPool::Ticket Ticket =
      Pool->acquire([this, Each](Expected<PooledConnection> Connection) {
        Each->PoolTicket = 0;
        if (Connection)
          send(Each, std::move(*Connection));
        else
          noConnection(Each, Connection.error());
      });
  if (Each->At == Job::Stage::Acquiring)
    Each->PoolTicket = Ticket;
}

void StatementService::noConnection(const JobPtr &Each, const Error &Why) {
  if (!Each->Way.IsPrimary)
    return tryElsewhere(Each, Why.Message);
  // A full server doesn't become free by a change of primary; one that
  // doesn't answer is about to be replaced.
  if (Why.Code == ErrorCode::Unavailable)
    return giveUp(Each, Why.Message);
  waitForChange(Each, Why.Message);
}

void StatementService::tryElsewhere(const JobPtr &Each,
                                    const std::string &Why) {
  Each->Avoid.insert(Each->Way.Target);
  if (++Each->Tries >= MaxTries)
    return giveUp(Each, Why);
  dispatch(Each);
}

void StatementService::waitForChange(const JobPtr &Each,
                                     const std::string &Why) {
  const Millis Now = Outside.Time.now();
  const Millis Until = Patience.until(View, Each->Statement.Database, Now);
  if (Until <= Now)
    return giveUp(Each, Why);
  Each->At = Job::Stage::Choosing;
  // Its turn is for another meanwhile.
  Each->IsAdmitted = false;
  Queues.leave(Each->Id, false, Now);
  Waiting[Each->Id] = Each;
  if (Each->PatienceTimer == 0)
    Each->PatienceTimer = Outside.Timers.after(Until - Now, [this, Each, Why] {
      Each->PatienceTimer = 0;
      if (Waiting.count(Each->Id) != 0)
        giveUp(Each, Why);
    });
}

void StatementService::wake(const std::string &Target) {
  Gate.check();
  const TargetAnnouncement *Known = View.target(Target);
  const auto Woken = Waiting;
  for (const auto &[Id, Each] : Woken) {
    if (Known != nullptr && Known->Database != Each->Statement.Database)
      continue;
    Waiting.erase(Id);
    dispatch(Each);
  }
}

void StatementService::viewChanged() {
  Pools.update(View, limits());
  if (View.Current)
    Queues.update(*View.Current);
  Patience.update(View, Outside.Time.now());
  Gate.check();
  const auto Known = Jobs;
  for (const auto &[Id, Each] : Known) {
    // One that waits for a connection to a former primary would wait until
    // the opening times out, though the new one could serve it.
    const GroupRecord *Group = View.group(Each->Statement.Database);
    const auto Pool = Pools.find(Each->Way.Target);
    const bool Moved = Each->At == Job::Stage::Acquiring &&
                       (Group == nullptr || Group->Term != Each->Way.Term ||
                        !Pool || Pool != Each->Pool.lock());
    if (Waiting.count(Id) == 0 && !Moved)
      continue;
    leaveQueues(Each);
    dispatch(Each);
  }
}

void StatementService::send(const JobPtr &Each, PooledConnection Connection) {
  const GroupRecord *Group = View.group(Each->Statement.Database);
  const bool Draining = Group != nullptr && Each->Way.IsPrimary &&
                        Group->Phase == GroupPhase::Draining;
  if (Group == nullptr || Group->Term != Each->Way.Term || Draining ||
      !hasLease()) {
    Connection.setReusable(true);
    Connection.close();
    return dispatch(Each);
  }
  Each->At = Job::Stage::Sent;
  Each->SentAt = Outside.Time.now();
  const std::uint64_t Id = NextId++;
  const auto Made = Calls.emplace(Id, Call{Each, std::move(Connection)}).first;
  Plan.noteSent(Each->Way.Target, Each->Statement.What == Verb::Begin);
  if (Each->Tries == 0)
    Budget.noteFirstTry();
  Made->second.Connection->request(
      requestFor(Each->Statement, Each->Way, false), timeLeft(Each),
      [this, Id](const Expected<HttpResponse> &Answer) {
        answered(Id, Answer);
      });
}

Millis StatementService::timeLeft(const JobPtr &Each) const {
  // The deadline's own timer answers the caller first.
  return std::max(Each->DeadlineAt - Outside.Time.now(), Millis()) + Millis(1);
}

void StatementService::observe(const JobPtr &Each, const HttpResponse &Answer) {
  Table.observe(Each->Way.Target, sightingOf(Answer), Each->SentAt,
                Outside.Time.now());
}

void StatementService::answered(std::uint64_t CallId,
                                const Expected<HttpResponse> &Answer) {
  auto Taken = Calls.extract(CallId);
  const JobPtr Each = Taken.mapped().Of;
  const std::string Database = Each->Statement.Database;
  Plan.noteAnswered(Each->Way.Target, Each->Statement.What == Verb::Begin);
  const Verdict What = judge(Answer);
  Each->IsAdmitted = false;
  Queues.leave(Each->Id, What != Verdict::Lost, Outside.Time.now());
  settle(Each, std::move(Taken.mapped().Connection), Answer, What);
  pump(Database);
}

void StatementService::settle(const JobPtr &Each, PooledConnection Connection,
                              const Expected<HttpResponse> &Answer,
                              Verdict What) {
  if (What != Verdict::Lost)
    observe(Each, *Answer);
  Connection.setReusable(What != Verdict::Lost && What != Verdict::Stale);
  // A transaction that began for a caller who has left must not stay open.
  if (Each->At == Job::Stage::Finished) {
    if (Each->Statement.What == Verb::Begin)
      Connection.setReusable(false);
    return;
  }
  if (What == Verdict::Ran && Each->Statement.What == Verb::Begin)
    return openTransaction(Each, std::move(Connection));
  Connection.close();
  switch (What) {
  case Verdict::Ran:
    return afterRun(Each, *Answer);
  case Verdict::Failed:
    return done(Each, {Answer->Status, {}, Answer->Body});
  case Verdict::Lost:
    return afterLoss(Each);
  default:
    return afterRefusal(Each, What, *Answer);
  }
}

void StatementService::afterRun(const JobPtr &Each,
                                const HttpResponse &Answer) {
  if (Each->Statement.isWrite())
    return holdWrite(Each, Answer);
  ++(Each->Way.IsPrimary ? Counts.ReadsByPrimary : Counts.ReadsByReplica);
  done(Each, {Answer.Status, {}, Answer.Body});
}

void StatementService::afterRefusal(const JobPtr &Each, Verdict What,
                                    const HttpResponse &Answer) {
  const std::string &Reason = Answer.header(target_header::Reason);
  Each->At = Job::Stage::Choosing;
  switch (What) {
  case Verdict::OtherTerm:
    if (Each->Way.IsPrimary)
      return waitForChange(Each, "the primary refused: " + Reason);
    [[fallthrough]];
  case Verdict::Behind:
    return tryElsewhere(Each, "the target refused: " + Reason);
  case Verdict::Stale:
    if (++Each->Tries >= MaxTries)
      return giveUp(Each, "the target refused: " + Reason);
    return dispatch(Each);
  default:
    return reject(Each, Answer.Status, Reason);
  }
}

void StatementService::afterLoss(const JobPtr &Each) {
  const std::string Why = "the connection to the target was lost before its "
                          "answer";
  Each->Lost = true;
  // What is sent again may have taken a target's time before; without a
  // budget a failing target's load would come twice to those that are left.
  if (Each->Statement.isWrite() || !Budget.take())
    return giveUp(Each, Why);
  tryElsewhere(Each, Why);
}

void StatementService::holdWrite(const JobPtr &Each,
                                 const HttpResponse &Answer) {
  const PendingWrite Write{
      Each->Statement.Database, numberOr(Answer.header(target_header::Term), 0),
      numberOr(Answer.header(target_header::WritePosition), 0)};
  const DurabilityGate::Ticket Ticket =
      Gate.hold(Write, [this, Each, Write, Body = Answer.Body](Durability Now) {
        settleWrite(Each, Write, Now, Body);
      });
  if (Each->At != Job::Stage::Finished)
    Each->GateTicket = Ticket;
}

void StatementService::settleWrite(const JobPtr &Each,
                                   const PendingWrite &Write, Durability Now,
                                   const std::string &Body) {
  if (Now == Durability::Superseded)
    return giveUp(Each, "the primary was replaced before the write was safe");
  HttpResponse Out{reply_status::Ok, {}, Body};
  Out.Headers[caller_header::Session] =
      sealToken(Each->Statement.Session.withWrite(Write.Database, Write.Term,
                                                  Write.Position),
                SessionKey);
  if (hasLease())
    ++Counts.Writes;
  done(Each, std::move(Out));
}

void StatementService::done(const JobPtr &Each, HttpResponse Response) {
  // Two safeguards meet here. The copies make a write survive any promotion,
  // so its answer stays true even if this process is stopped between this
  // check and the sending. The lease makes sure that no proxy goes on
  // acknowledging for a primary that others have replaced; a read is judged
  // like a write, since a newer manifest may forbid it by now.
  if (!hasLease())
    return giveUp(Each, "the lease ran out before the answer came");
  finish(Each, Outcome::Done, std::move(Response));
}

void StatementService::expired(const JobPtr &Each) {
  Each->DeadlineTimer = 0;
  if (Each->Within)
    Transactions.abandon(Each->Within);
  giveUp(Each, "no answer before the deadline");
}

void StatementService::hungUp(const JobPtr &Each) {
  if (Each->At == Job::Stage::Finished)
    return;
  ++Counts.HungUp;
  if (Each->Within)
    Transactions.abandon(Each->Within);
  close(Each);
}

void StatementService::disconnected(const std::string &Peer) {
  Transactions.disconnected(Peer);
}

void StatementService::giveUp(const JobPtr &Each, const std::string &Why) {
  giveUp(Each, Why, Retry.next(RetryAfter));
}

void StatementService::giveUp(const JobPtr &Each, const std::string &Why,
                              Millis ComeBackAfter) {
  const bool MayHaveRun = Each->mayHaveRun();
  finish(Each, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         refusalReply(MayHaveRun ? reply_status::Unknown
                                 : reply_status::Unavailable,
                      Why, ComeBackAfter));
}

void StatementService::reject(const JobPtr &Each, int Status,
                              const std::string &Why) {
  finish(Each, Each->mayHaveRun() ? Outcome::Unknown : Outcome::NotRun,
         plainReply(Status, Why));
}

void StatementService::finish(const JobPtr &Each, Outcome What,
                              HttpResponse Response) {
  if (Each->At == Job::Stage::Finished)
    return;
  close(Each);
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

void StatementService::leaveQueues(const JobPtr &Each) {
  Waiting.erase(Each->Id);
  const ConnectionPool::Ticket Asked = std::exchange(Each->PoolTicket, 0);
  if (const auto Pool = Each->Pool.lock())
    Pool->cancel(Asked);
}

void StatementService::close(const JobPtr &Each) {
  leaveQueues(Each);
  // One that was sent holds its connection until its answer comes.
  if (Each->At != Job::Stage::Sent)
    Queues.leave(Each->Id, false, Outside.Time.now());
  Gate.cancel(Each->GateTicket);
  for (Scheduler::TimerId *Timer : {&Each->DeadlineTimer, &Each->PatienceTimer})
    if (*Timer != 0)
      Outside.Timers.cancel(std::exchange(*Timer, 0));
  Each->At = Job::Stage::Finished;
  const std::string Database = Each->Statement.Database;
  Jobs.erase(Each->Id);
  pump(Database);
}

} // namespace corianderdyke
