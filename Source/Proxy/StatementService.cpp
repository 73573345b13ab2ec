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

StatementService::StatementService(Dependencies Deps, const ProcessId &Self,
                                   const ClusterView &View,
                                   const LeaseHolder &Lease, TargetTable &Table,
                                   TargetWatcher &Watcher,
                                   const ConnectionRights &Rights,
                                   std::string SessionKey)
    : Deps(Deps), View(View), Lease(Lease), Table(Table),
      SessionKey(std::move(SessionKey)), Rights(Rights), Pools(Deps.Connector),
      Queues(Self.Incarnation), Plan(View, Pools, Queues), Gate(View, Table),
      Transactions(Deps.Timers, Self), RetryDelays(Self.Incarnation) {
  Watcher.signalChanged().connect(
      sigc::mem_fun(*this, &StatementService::handleTargetChange));
}

StatementService::~StatementService() {
  for (const auto &[Id, Each] : Jobs)
    for (const Scheduler::TimerId Timer :
         {Each->DeadlineTimer, Each->PrimaryWaitTimer})
      if (Timer != 0)
        Deps.Timers.cancel(Timer);
}

void StatementService::handle(StatementOperation What,
                              const HttpRequest &Request,
                              std::shared_ptr<HttpExchange> Exchange) {
  auto Each = std::make_shared<Job>();
  Each->Id = NextId++;
  Each->Exchange = std::move(Exchange);
  Jobs[Each->Id] = Each;
  // Without a lease this proxy may be cut off from a newer manifest or a
  // newer primary; whatever it served could be forbidden by now.
  if (!hasLease() || !View.CurrentManifest)
    return rejectWithRetry(Each, "this proxy holds no lease at the moment");
  auto Parsed =
      parseStatement(What, Request, *View.CurrentManifest, SessionKey);
  if (!Parsed)
    return reject(Each, reply_status::BadRequest, Parsed.error().Message);
  Each->Statement = std::move(*Parsed);
  if (Each->Statement.Key)
    if (const auto Good = Each->Statement.Key->check(
            Deps.Time.wallTime(),
            View.CurrentManifest->Limits.IdempotencyKeyRetention);
        !Good)
      return reject(Each, reply_status::Gone, Good.error().Message);
  if (!isAccepted(Each->Statement))
    return rejectWithRetry(Each, "this proxy is about to stop");
  Each->DeadlineAt = Deps.Time.now() + Each->Statement.Timeout;
  Each->DeadlineTimer = Deps.Timers.after(
      Each->Statement.Timeout, [this, Each] { handleDeadline(Each); });
  Each->Exchange->onDisconnect([this, Weak = std::weak_ptr<Job>(Each)] {
    if (const JobPtr Left = Weak.lock())
      handleCallerAbort(Left);
  });
  start(Each);
}

bool StatementService::isAccepted(const StatementRequest &Statement) const {
  if (Transactions.isOpen(Statement.Transaction))
    return true;
  return CurrentIntake == Intake::Open ||
         (CurrentIntake == Intake::NoNewTransactions &&
          Statement.Operation != StatementOperation::Begin);
}

void StatementService::start(const JobPtr &Each) {
  if (Each->Statement.Transaction.empty())
    return dispatch(Each);
  startInTransaction(Each);
}

std::set<std::string> StatementService::databasesInUse() const {
  std::set<std::string> Out = Transactions.databases();
  for (const auto &[Id, Each] : Jobs)
    if (Each->CurrentStage == Job::Stage::Sent && Each->ChosenRoute.IsPrimary)
      Out.insert(Each->Statement.Database);
  return Out;
}

void StatementService::dispatch(const JobPtr &Each) {
  if (Each->CurrentStage == Job::Stage::Finished)
    return;
  Each->CurrentStage = Job::Stage::Choosing;
  if (!hasLease())
    return rejectWithRetry(Each, "the lease of this proxy ran out");
  const auto Found = choose(*Each);
  if (!Found && Found.error().Code != ErrorCode::Unavailable)
    return reject(Each, reply_status::Conflict, Found.error().Message);
  if (!Found)
    return waitForPrimary(Each, Found.error().Message);
  if (!Each->IsAdmitted)
    return enqueue(Each);
  Each->ChosenRoute = *Found;
  acquire(Each);
}

Expected<Route> StatementService::choose(const Job &Each) const {
  const StatementRequest &Statement = Each.Statement;
  const auto Floor = Statement.Session.floor(Statement.Database);
  const RouteQuery Query{Statement.Database,
                         Statement.isWrite() ? Access::Write : Access::Read,
                         Statement.Kind.MaxStaleness,
                         Floor,
                         Statement.Session.isPartial() && !Floor,
                         Each.ExcludedTargets};
  return route(
      View, Table, Query,
      [this](const std::string &Target) { return Pools.load(Target); },
      Deps.Time.now());
}

void StatementService::enqueue(const JobPtr &Each) {
  Each->CurrentStage = Job::Stage::Queued;
  const StatementRequest &Of = Each->Statement;
  rejectRefused(Queues.admit({Each->Id, Of.Database,
                              Of.isWrite() ? Access::Write : Access::Read,
                              Of.Organisation, Of.Kind.Name, Each->DeadlineAt},
                             Deps.Time.now()));
  dispatchQueued(Of.Database);
}

void StatementService::dispatchQueued(const std::string &Database) {
  // What is sent may end at once and call back here; the outer call goes on.
  if (IsDispatching)
    return;
  IsDispatching = true;
  std::vector<Refusal> GivenUp;
  const auto Fits = [this](std::uint64_t Id) { return canRun(Id); };
  while (const auto Id =
             Queues.next(Database, Fits, Deps.Time.now(), GivenUp)) {
    const JobPtr Each = Jobs.at(*Id);
    Each->IsAdmitted = true;
    dispatch(Each);
  }
  IsDispatching = false;
  rejectRefused(GivenUp);
}

bool StatementService::canRun(std::uint64_t Id) const {
  const Job &Each = *Jobs.at(Id);
  const auto Found = choose(Each);
  // What can't be routed at all is told so, and doesn't wait for a turn.
  return !Found || Plan.hasCapacity(Found->Target, Each.Statement.Database,
                                    Each.Statement.Operation ==
                                        StatementOperation::Begin);
}

void StatementService::rejectRefused(const std::vector<Refusal> &All) {
  for (const Refusal &Each : All) {
    const auto Found = Jobs.find(Each.Request.Id);
    if (Found == Jobs.end())
      continue;
    const JobPtr Of = Found->second;
    Of->CurrentStage = Job::Stage::Choosing;
    rejectWithRetry(Of, refusalText(Each.Reason), Each.RetryAfter);
  }
}

void StatementService::tick() {
  rejectRefused(Queues.shedUnservable(Deps.Time.now()));
  for (const QueueStatus &Each : Queues.status())
    if (Each.Queued > 0)
      dispatchQueued(Each.Database);
}

TargetPools::LimitFunction StatementService::limits() const {
  return [this](const std::string &Target) {
    return Rights.limit(Target, Deps.Time.now());
  };
}

void StatementService::rightsChanged() {
  Pools.setLimits(limits());
  if (Deps.Time.now() >= Rights.end()) {
    // Another proxy may be given these connections from now on; one more than
    // the server takes would be refused there, and its caller's statement
    // with it. The lease of this proxy ended long before, so nobody here
    // could be answered with success any more.
    Transactions.abandonIdle();
    while (!Calls.empty())
      handleAnswer(
          Calls.begin()->first,
          fail(ErrorCode::Unavailable, "the right to connections ended"));
  }
  for (const QueueStatus &Each : Queues.status())
    dispatchQueued(Each.Database);
}

void StatementService::acquire(const JobPtr &Each) {
  const auto Pool = Pools.find(Each->ChosenRoute.Target);
  if (!Pool)
    return waitForPrimary(Each, "the target isn't known here yet");
  Each->Pool = Pool;
  Each->CurrentStage = Job::Stage::Acquiring;
  const ConnectionPool::Ticket Ticket =
      Pool->acquire([this, Each](Expected<PooledConnection> Connection) {
        Each->PoolTicket = 0;
        if (Connection)
          send(Each, std::move(*Connection));
        else
          handleAcquireFailure(Each, Connection.error());
      });
  if (Each->CurrentStage == Job::Stage::Acquiring)
    Each->PoolTicket = Ticket;
}

void StatementService::handleAcquireFailure(const JobPtr &Each,
                                            const Error &Why) {
  if (!Each->ChosenRoute.IsPrimary)
    return retryAtAnotherTarget(Each, Why.Message);
  // A full server doesn't become free by a change of primary; one that
  // doesn't answer is about to be replaced.
  if (Why.Code == ErrorCode::Unavailable)
    return rejectWithRetry(Each, Why.Message);
  waitForPrimary(Each, Why.Message);
}

void StatementService::retryAtAnotherTarget(const JobPtr &Each,
                                            const std::string &Why) {
  Each->ExcludedTargets.insert(Each->ChosenRoute.Target);
  if (++Each->Attempts >= MaxTries)
    return rejectWithRetry(Each, Why);
  dispatch(Each);
}

void StatementService::waitForPrimary(const JobPtr &Each,
                                      const std::string &Why) {
  const Millis Now = Deps.Time.now();
  const Millis Until =
      PrimaryWait.waitDeadline(View, Each->Statement.Database, Now);
  if (Until <= Now)
    return rejectWithRetry(Each, Why);
  Each->CurrentStage = Job::Stage::Choosing;
  // Its turn is for another meanwhile.
  Each->IsAdmitted = false;
  Queues.remove(Each->Id, false, Now);
  WaitingForPrimary[Each->Id] = Each;
  if (Each->PrimaryWaitTimer == 0)
    Each->PrimaryWaitTimer = Deps.Timers.after(Until - Now, [this, Each, Why] {
      Each->PrimaryWaitTimer = 0;
      if (WaitingForPrimary.count(Each->Id) != 0)
        rejectWithRetry(Each, Why);
    });
}

void StatementService::handleTargetChange(const std::string &Target) {
  Gate.resolveHeldWrites();
  const TargetAnnouncement *Known = View.target(Target);
  const auto Woken = WaitingForPrimary;
  for (const auto &[Id, Each] : Woken) {
    if (Known != nullptr && Known->Database != Each->Statement.Database)
      continue;
    WaitingForPrimary.erase(Id);
    dispatch(Each);
  }
}

void StatementService::viewChanged() {
  Pools.update(View, limits());
  if (View.CurrentManifest)
    Queues.update(*View.CurrentManifest);
  PrimaryWait.update(View, Deps.Time.now());
  Gate.resolveHeldWrites();
  const auto Known = Jobs;
  for (const auto &[Id, Each] : Known) {
    // One that waits for a connection to a former primary would wait until
    // the opening times out, though the new one could serve it.
    const GroupRecord *Group = View.group(Each->Statement.Database);
    const auto Pool = Pools.find(Each->ChosenRoute.Target);
    const bool Moved =
        Each->CurrentStage == Job::Stage::Acquiring &&
        (Group == nullptr || Group->Term != Each->ChosenRoute.Term || !Pool ||
         Pool != Each->Pool.lock());
    if (WaitingForPrimary.count(Id) == 0 && !Moved)
      continue;
    removeFromQueues(Each);
    dispatch(Each);
  }
}

void StatementService::send(const JobPtr &Each, PooledConnection Connection) {
  const GroupRecord *Group = View.group(Each->Statement.Database);
  const bool Draining = Group != nullptr && Each->ChosenRoute.IsPrimary &&
                        Group->Phase == GroupPhase::Draining;
  if (Group == nullptr || Group->Term != Each->ChosenRoute.Term || Draining ||
      !hasLease()) {
    Connection.setReusable(true);
    Connection.close();
    return dispatch(Each);
  }
  Each->CurrentStage = Job::Stage::Sent;
  Each->SentAt = Deps.Time.now();
  const std::uint64_t Id = NextId++;
  const auto Made = Calls.emplace(Id, Call{Each, std::move(Connection)}).first;
  Plan.recordSent(Each->ChosenRoute.Target,
                  Each->Statement.Operation == StatementOperation::Begin);
  if (Each->Attempts == 0)
    Budget.recordFirstAttempt();
  Made->second.Connection->request(
      requestFor(Each->Statement, Each->ChosenRoute, false), timeLeft(Each),
      [this, Id](const Expected<HttpResponse> &Answer) {
        handleAnswer(Id, Answer);
      });
}

Millis StatementService::timeLeft(const JobPtr &Each) const {
  // The deadline's own timer answers the caller first.
  return std::max(Each->DeadlineAt - Deps.Time.now(), Millis()) + Millis(1);
}

void StatementService::recordObservation(const JobPtr &Each,
                                         const HttpResponse &Answer) {
  Table.observe(Each->ChosenRoute.Target, parseObservation(Answer),
                Each->SentAt, Deps.Time.now());
}

void StatementService::handleAnswer(std::uint64_t CallId,
                                    const Expected<HttpResponse> &Answer) {
  auto Taken = Calls.extract(CallId);
  const JobPtr Each = Taken.mapped().Owner;
  const std::string Database = Each->Statement.Database;
  Plan.recordAnswered(Each->ChosenRoute.Target,
                      Each->Statement.Operation == StatementOperation::Begin);
  const AnswerClass What = classifyAnswer(Answer);
  Each->IsAdmitted = false;
  Queues.remove(Each->Id, What != AnswerClass::NoAnswer, Deps.Time.now());
  processAnswer(Each, std::move(Taken.mapped().Connection), Answer, What);
  dispatchQueued(Database);
}

void StatementService::processAnswer(const JobPtr &Each,
                                     PooledConnection Connection,
                                     const Expected<HttpResponse> &Answer,
                                     AnswerClass What) {
  if (What != AnswerClass::NoAnswer)
    recordObservation(Each, *Answer);
  Connection.setReusable(What != AnswerClass::NoAnswer &&
                         What != AnswerClass::NotConnected);
  // A transaction that began for a caller who has left must not stay open.
  if (Each->CurrentStage == Job::Stage::Finished) {
    if (Each->Statement.Operation == StatementOperation::Begin)
      Connection.setReusable(false);
    return;
  }
  if (What == AnswerClass::Ran &&
      Each->Statement.Operation == StatementOperation::Begin)
    return openTransaction(Each, std::move(Connection));
  Connection.close();
  switch (What) {
  case AnswerClass::Ran:
    return afterRun(Each, *Answer);
  case AnswerClass::Failed:
    return finishDone(Each, {Answer->Status, {}, Answer->Body});
  case AnswerClass::NoAnswer:
    return afterLoss(Each);
  default:
    return afterRefusal(Each, What, *Answer);
  }
}

void StatementService::afterRun(const JobPtr &Each,
                                const HttpResponse &Answer) {
  if (Each->Statement.isWrite())
    return holdWrite(Each, Answer);
  ++(Each->ChosenRoute.IsPrimary ? Counts.ReadsByPrimary
                                 : Counts.ReadsByReplica);
  finishDone(Each, {Answer.Status, {}, Answer.Body});
}

void StatementService::afterRefusal(const JobPtr &Each, AnswerClass What,
                                    const HttpResponse &Answer) {
  const std::string &Reason = Answer.header(target_header::Reason);
  Each->CurrentStage = Job::Stage::Choosing;
  switch (What) {
  case AnswerClass::TermMismatch:
    if (Each->ChosenRoute.IsPrimary)
      return waitForPrimary(Each, "the primary refused: " + Reason);
    [[fallthrough]];
  case AnswerClass::BehindFloor:
    return retryAtAnotherTarget(Each, "the target refused: " + Reason);
  case AnswerClass::NotConnected:
    if (++Each->Attempts >= MaxTries)
      return rejectWithRetry(Each, "the target refused: " + Reason);
    return dispatch(Each);
  default:
    return reject(Each, Answer.Status, Reason);
  }
}

void StatementService::afterLoss(const JobPtr &Each) {
  const std::string Why = "the connection to the target was lost before its "
                          "answer";
  Each->AnswerLost = true;
  // What is sent again may have taken a target's time before; without a
  // budget a failing target's load would come twice to those that are left.
  if (Each->Statement.isWrite() || !Budget.tryTake())
    return rejectWithRetry(Each, Why);
  retryAtAnotherTarget(Each, Why);
}

void StatementService::holdWrite(const JobPtr &Each,
                                 const HttpResponse &Answer) {
  const PendingWrite Write{
      Each->Statement.Database, numberOr(Answer.header(target_header::Term), 0),
      numberOr(Answer.header(target_header::WritePosition), 0)};
  const DurabilityGate::Ticket Ticket =
      Gate.hold(Write, [this, Each, Write, Body = Answer.Body](Durability Now) {
        finishWrite(Each, Write, Now, Body);
      });
  if (Each->CurrentStage != Job::Stage::Finished)
    Each->GateTicket = Ticket;
}

void StatementService::finishWrite(const JobPtr &Each,
                                   const PendingWrite &Write, Durability Result,
                                   const std::string &Body) {
  if (Result == Durability::Superseded)
    return rejectWithRetry(
        Each, "the primary was replaced before the write was safe");
  HttpResponse Out{reply_status::Ok, {}, Body};
  Out.Headers[caller_header::Session] =
      signToken(Each->Statement.Session.withWrite(Write.Database, Write.Term,
                                                  Write.Position),
                SessionKey);
  if (hasLease())
    ++Counts.Writes;
  finishDone(Each, std::move(Out));
}

void StatementService::finishDone(const JobPtr &Each, HttpResponse Response) {
  // Two safeguards meet here. The copies make a write survive any promotion,
  // so its answer stays true even if this process is stopped between this
  // check and the sending. The lease makes sure that no proxy goes on
  // acknowledging for a primary that others have replaced; a read is judged
  // like a write, since a newer manifest may forbid it by now.
  if (!hasLease())
    return rejectWithRetry(Each, "the lease ran out before the answer came");
  finish(Each, Outcome::Done, std::move(Response));
}

void StatementService::handleDeadline(const JobPtr &Each) {
  Each->DeadlineTimer = 0;
  if (Each->OwnTransaction)
    Transactions.abandon(Each->OwnTransaction);
  rejectWithRetry(Each, "no answer before the deadline");
}

void StatementService::handleCallerAbort(const JobPtr &Each) {
  if (Each->CurrentStage == Job::Stage::Finished)
    return;
  ++Counts.CallerAborts;
  if (Each->OwnTransaction)
    Transactions.abandon(Each->OwnTransaction);
  close(Each);
}

void StatementService::handleDisconnect(const std::string &Peer) {
  Transactions.handleDisconnect(Peer);
}

void StatementService::rejectWithRetry(const JobPtr &Each,
                                       const std::string &Why) {
  rejectWithRetry(Each, Why, RetryDelays.next(RetryAfter));
}

void StatementService::rejectWithRetry(const JobPtr &Each,
                                       const std::string &Why,
                                       Millis RetryAfter) {
  const bool MayHaveRun = Each->mayHaveRun();
  finish(Each, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         refusalReply(MayHaveRun ? reply_status::Unknown
                                 : reply_status::Unavailable,
                      Why, RetryAfter));
}

void StatementService::reject(const JobPtr &Each, int Status,
                              const std::string &Why) {
  finish(Each, Each->mayHaveRun() ? Outcome::Unknown : Outcome::NotRun,
         plainReply(Status, Why));
}

void StatementService::finish(const JobPtr &Each, Outcome What,
                              HttpResponse Response) {
  if (Each->CurrentStage == Job::Stage::Finished)
    return;
  close(Each);
  if (What == Outcome::NotRun)
    ++Counts.NotRun;
  if (What == Outcome::Unknown)
    ++Counts.Unknown;
  Response.Headers[caller_header::Outcome] = outcomeHeader(What);
  if (!Each->ChosenRoute.Target.empty()) {
    Response.Headers[caller_header::Target] = Each->ChosenRoute.Target;
    Response.Headers[caller_header::ServedBy] =
        Each->ChosenRoute.IsPrimary ? "primary" : "replica";
  }
  Each->Exchange->respond(std::move(Response));
}

void StatementService::removeFromQueues(const JobPtr &Each) {
  WaitingForPrimary.erase(Each->Id);
  const ConnectionPool::Ticket Asked = std::exchange(Each->PoolTicket, 0);
  if (const auto Pool = Each->Pool.lock())
    Pool->cancel(Asked);
}

void StatementService::close(const JobPtr &Each) {
  removeFromQueues(Each);
  // One that was sent holds its connection until its answer comes.
  if (Each->CurrentStage != Job::Stage::Sent)
    Queues.remove(Each->Id, false, Deps.Time.now());
  Gate.cancel(Each->GateTicket);
  for (Scheduler::TimerId *Timer :
       {&Each->DeadlineTimer, &Each->PrimaryWaitTimer})
    if (*Timer != 0)
      Deps.Timers.cancel(std::exchange(*Timer, 0));
  Each->CurrentStage = Job::Stage::Finished;
  const std::string Database = Each->Statement.Database;
  Jobs.erase(Each->Id);
  dispatchQueued(Database);
}

} // namespace corianderdyke
