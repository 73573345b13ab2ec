/// \file
/// Forwards callers' statements to targets and returns their answers.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"
#include "Proxy/TargetRequest.h"

#include <algorithm>
#include <set>

namespace corianderdyke {

namespace {

/// The minimum retry delay of refused callers.
constexpr Millis MinRetryAfter(100);
/// The number of attempts before a statement is refused. A read that fails at
/// every target would otherwise be retried until its deadline and load each of
/// them.
constexpr unsigned MaxAttempts = 3;

} // namespace

StatementService::StatementService(Dependencies Deps, const ProcessId &Self,
                                   const ClusterView &View,
                                   const LeaseHolder &Lease, TargetTable &Table,
                                   TargetWatcher &Watcher,
                                   const ConnectionRights &Rights,
                                   std::string SessionKey)
    : Deps(Deps), View(View), Lease(Lease), Table(Table),
      SessionKey(std::move(SessionKey)), Rights(Rights), Pools(Deps.Connector),
      Queues(Self.Incarnation), Limiter(View, Pools, Queues), Gate(View, Table),
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

void StatementService::handle(StatementOperation Operation,
                              const HttpRequest &Request,
                              std::shared_ptr<HttpExchange> Exchange) {
  auto CurrentJob = std::make_shared<Job>();
  CurrentJob->Id = NextId++;
  CurrentJob->Exchange = std::move(Exchange);
  Jobs[CurrentJob->Id] = CurrentJob;
  // A proxy without a lease may have missed a newer manifest or a change of
  // primary, so it might serve a statement that is now forbidden.
  if (!hasLease() || !View.CurrentManifest)
    return rejectWithRetry(CurrentJob,
                           "this proxy holds no lease at the moment");
  auto Parsed =
      parseStatement(Operation, Request, *View.CurrentManifest, SessionKey);
  if (!Parsed)
    return reject(CurrentJob, reply_status::BadRequest, Parsed.error().Message);
  CurrentJob->Statement = std::move(*Parsed);
  if (CurrentJob->Statement.Key)
    if (const auto Valid = CurrentJob->Statement.Key->check(
            Deps.Time.wallTime(),
            View.CurrentManifest->Limits.IdempotencyKeyRetention);
        !Valid)
      return reject(CurrentJob, reply_status::Gone, Valid.error().Message);
  if (!isAccepted(CurrentJob->Statement))
    return rejectWithRetry(CurrentJob, "this proxy is about to stop");
  CurrentJob->DeadlineAt = Deps.Time.now() + CurrentJob->Statement.Timeout;
  CurrentJob->DeadlineTimer =
      Deps.Timers.after(CurrentJob->Statement.Timeout,
                        [this, CurrentJob] { handleDeadline(CurrentJob); });
  CurrentJob->Exchange->onDisconnect(
      [this, Weak = std::weak_ptr<Job>(CurrentJob)] {
        if (const JobPtr Aborted = Weak.lock())
          handleCallerAbort(Aborted);
      });
  start(CurrentJob);
}

bool StatementService::isAccepted(const StatementRequest &Statement) const {
  if (Transactions.isOpen(Statement.Transaction))
    return true;
  return CurrentIntake == Intake::Open ||
         (CurrentIntake == Intake::NoNewTransactions &&
          Statement.Operation != StatementOperation::Begin);
}

void StatementService::start(const JobPtr &CurrentJob) {
  if (CurrentJob->Statement.Transaction.empty())
    return dispatch(CurrentJob);
  startInTransaction(CurrentJob);
}

std::set<std::string> StatementService::databasesInUse() const {
  std::set<std::string> Out = Transactions.databases();
  for (const auto &[Id, Each] : Jobs)
    if (Each->CurrentStage == Job::Stage::Sent && Each->ChosenRoute.IsPrimary)
      Out.insert(Each->Statement.Database);
  return Out;
}

void StatementService::dispatch(const JobPtr &CurrentJob) {
  if (CurrentJob->CurrentStage == Job::Stage::Finished)
    return;
  CurrentJob->CurrentStage = Job::Stage::Choosing;
  if (!hasLease())
    return rejectWithRetry(CurrentJob, "the lease of this proxy ran out");
  const auto Found = choose(*CurrentJob);
  if (!Found && Found.error().Code != ErrorCode::Unavailable)
    return reject(CurrentJob, reply_status::Conflict, Found.error().Message);
  if (!Found)
    return waitForPrimary(CurrentJob, Found.error().Message);
  if (!CurrentJob->IsAdmitted)
    return enqueue(CurrentJob);
  CurrentJob->ChosenRoute = *Found;
  acquire(CurrentJob);
}

Expected<Route> StatementService::choose(const Job &CurrentJob) const {
  const StatementRequest &Statement = CurrentJob.Statement;
  const auto Floor = Statement.Session.floor(Statement.Database);
  const RouteQuery Query{Statement.Database,
                         Statement.isWrite() ? Access::Write : Access::Read,
                         Statement.Kind.MaxStaleness,
                         Floor,
                         Statement.Session.isPartial() && !Floor,
                         CurrentJob.ExcludedTargets};
  return route(
      View, Table, Query,
      [this](const std::string &Target) { return Pools.load(Target); },
      Deps.Time.now());
}

void StatementService::enqueue(const JobPtr &CurrentJob) {
  CurrentJob->CurrentStage = Job::Stage::Queued;
  const StatementRequest &Statement = CurrentJob->Statement;
  rejectRefused(Queues.admit(
      {CurrentJob->Id, Statement.Database,
       Statement.isWrite() ? Access::Write : Access::Read,
       Statement.Organisation, Statement.Kind.Name, CurrentJob->DeadlineAt},
      Deps.Time.now()));
  dispatchQueued(Statement.Database);
}

void StatementService::dispatchQueued(const std::string &Database) {
  // A statement may end while it is being sent and call this again; the outer
  // call continues.
  if (IsDispatching)
    return;
  IsDispatching = true;
  std::vector<Refusal> GivenUp;
  const auto CanRun = [this](std::uint64_t Id) { return canRun(Id); };
  while (const auto Id =
             Queues.next(Database, CanRun, Deps.Time.now(), GivenUp)) {
    const JobPtr CurrentJob = Jobs.at(*Id);
    CurrentJob->IsAdmitted = true;
    dispatch(CurrentJob);
  }
  IsDispatching = false;
  rejectRefused(GivenUp);
}

bool StatementService::canRun(std::uint64_t Id) const {
  const Job &CurrentJob = *Jobs.at(Id);
  const auto Found = choose(CurrentJob);
  // A statement without a route is refused at once instead of waiting in the
  // queue.
  return !Found ||
         Limiter.hasCapacity(Found->Target, CurrentJob.Statement.Database,
                             CurrentJob.Statement.Operation ==
                                 StatementOperation::Begin);
}

void StatementService::rejectRefused(const std::vector<Refusal> &All) {
  for (const Refusal &Each : All) {
    const auto Found = Jobs.find(Each.Request.Id);
    if (Found == Jobs.end())
      continue;
    const JobPtr Refused = Found->second;
    Refused->CurrentStage = Job::Stage::Choosing;
    rejectWithRetry(Refused, refusalText(Each.Reason), Each.RetryAfter);
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
    // These connections may be granted to another proxy from now on. Kept open,
    // they would make the server refuse the other proxy's connections and its
    // callers' statements. The lease of this proxy expired long before, so no
    // caller here could get a successful answer any more.
    Transactions.abandonIdle();
    while (!Calls.empty())
      handleAnswer(
          Calls.begin()->first,
          fail(ErrorCode::Unavailable, "the right to connections ended"));
  }
  for (const QueueStatus &Each : Queues.status())
    dispatchQueued(Each.Database);
}

void StatementService::acquire(const JobPtr &CurrentJob) {
  const auto Pool = Pools.find(CurrentJob->ChosenRoute.Target);
  if (!Pool)
    return waitForPrimary(CurrentJob, "the target isn't known here yet");
  CurrentJob->Pool = Pool;
  CurrentJob->CurrentStage = Job::Stage::Acquiring;
  const ConnectionPool::Ticket Ticket =
      Pool->acquire([this, CurrentJob](Expected<PooledConnection> Connection) {
        CurrentJob->PoolTicket = 0;
        if (Connection)
          send(CurrentJob, std::move(*Connection));
        else
          handleAcquireFailure(CurrentJob, Connection.error());
      });
  if (CurrentJob->CurrentStage == Job::Stage::Acquiring)
    CurrentJob->PoolTicket = Ticket;
}

void StatementService::handleAcquireFailure(const JobPtr &CurrentJob,
                                            const Error &Failure) {
  if (!CurrentJob->ChosenRoute.IsPrimary)
    return retryAtAnotherTarget(CurrentJob, Failure.Message);
  // A full server does not get free connections by a change of primary, but a
  // primary that does not answer is about to be replaced.
  if (Failure.Code == ErrorCode::Unavailable)
    return rejectWithRetry(CurrentJob, Failure.Message);
  waitForPrimary(CurrentJob, Failure.Message);
}

void StatementService::retryAtAnotherTarget(const JobPtr &CurrentJob,
                                            const std::string &Reason) {
  CurrentJob->ExcludedTargets.insert(CurrentJob->ChosenRoute.Target);
  if (++CurrentJob->Attempts >= MaxAttempts)
    return rejectWithRetry(CurrentJob, Reason);
  dispatch(CurrentJob);
}

void StatementService::waitForPrimary(const JobPtr &CurrentJob,
                                      const std::string &Reason) {
  const Millis Now = Deps.Time.now();
  const Millis Until =
      PrimaryWait.waitDeadline(View, CurrentJob->Statement.Database, Now);
  if (Until <= Now)
    return rejectWithRetry(CurrentJob, Reason);
  CurrentJob->CurrentStage = Job::Stage::Choosing;
  // Another statement may run meanwhile.
  CurrentJob->IsAdmitted = false;
  Queues.remove(CurrentJob->Id, false, Now);
  WaitingForPrimary[CurrentJob->Id] = CurrentJob;
  if (CurrentJob->PrimaryWaitTimer == 0)
    CurrentJob->PrimaryWaitTimer =
        Deps.Timers.after(Until - Now, [this, CurrentJob, Reason] {
          CurrentJob->PrimaryWaitTimer = 0;
          if (WaitingForPrimary.count(CurrentJob->Id) != 0)
            rejectWithRetry(CurrentJob, Reason);
        });
}

void StatementService::handleTargetChange(const std::string &Target) {
  Gate.resolveHeldWrites();
  const TargetAnnouncement *Known = View.target(Target);
  const auto Waiting = WaitingForPrimary;
  for (const auto &[Id, Each] : Waiting) {
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
    // A statement that waits for a connection to a former primary would wait
    // until the connection attempt times out, although the new primary could
    // serve it.
    const GroupRecord *Group = View.group(Each->Statement.Database);
    const auto Pool = Pools.find(Each->ChosenRoute.Target);
    const bool IsOutdated =
        Each->CurrentStage == Job::Stage::Acquiring &&
        (Group == nullptr || Group->Term != Each->ChosenRoute.Term || !Pool ||
         Pool != Each->Pool.lock());
    if (WaitingForPrimary.count(Id) == 0 && !IsOutdated)
      continue;
    removeFromQueues(Each);
    dispatch(Each);
  }
}

void StatementService::send(const JobPtr &CurrentJob,
                            PooledConnection Connection) {
  const GroupRecord *Group = View.group(CurrentJob->Statement.Database);
  const bool Draining = Group != nullptr && CurrentJob->ChosenRoute.IsPrimary &&
                        Group->Phase == GroupPhase::Draining;
  if (Group == nullptr || Group->Term != CurrentJob->ChosenRoute.Term ||
      Draining || !hasLease()) {
    Connection.setReusable(true);
    Connection.close();
    return dispatch(CurrentJob);
  }
  CurrentJob->CurrentStage = Job::Stage::Sent;
  CurrentJob->SentAt = Deps.Time.now();
  const std::uint64_t Id = NextId++;
  const auto Made =
      Calls.emplace(Id, Call{CurrentJob, std::move(Connection)}).first;
  Limiter.recordSent(CurrentJob->ChosenRoute.Target,
                     CurrentJob->Statement.Operation ==
                         StatementOperation::Begin);
  if (CurrentJob->Attempts == 0)
    Budget.recordFirstAttempt();
  Made->second.Connection->request(
      requestFor(CurrentJob->Statement, CurrentJob->ChosenRoute, false),
      timeLeft(CurrentJob), [this, Id](const Expected<HttpResponse> &Answer) {
        handleAnswer(Id, Answer);
      });
}

Millis StatementService::timeLeft(const JobPtr &CurrentJob) const {
  // One millisecond more, so that the deadline timer answers the caller first.
  return std::max(CurrentJob->DeadlineAt - Deps.Time.now(), Millis()) +
         Millis(1);
}

void StatementService::recordObservation(const JobPtr &CurrentJob,
                                         const HttpResponse &Answer) {
  Table.observe(CurrentJob->ChosenRoute.Target, parseObservation(Answer),
                CurrentJob->SentAt, Deps.Time.now());
}

void StatementService::handleAnswer(std::uint64_t CallId,
                                    const Expected<HttpResponse> &Answer) {
  auto Taken = Calls.extract(CallId);
  const JobPtr CurrentJob = Taken.mapped().Owner;
  const std::string Database = CurrentJob->Statement.Database;
  Limiter.recordAnswered(CurrentJob->ChosenRoute.Target,
                         CurrentJob->Statement.Operation ==
                             StatementOperation::Begin);
  const AnswerClass Class = classifyAnswer(Answer);
  CurrentJob->IsAdmitted = false;
  Queues.remove(CurrentJob->Id, Class != AnswerClass::NoAnswer,
                Deps.Time.now());
  processAnswer(CurrentJob, std::move(Taken.mapped().Connection), Answer,
                Class);
  dispatchQueued(Database);
}

void StatementService::processAnswer(const JobPtr &CurrentJob,
                                     PooledConnection Connection,
                                     const Expected<HttpResponse> &Answer,
                                     AnswerClass Class) {
  if (Class != AnswerClass::NoAnswer)
    recordObservation(CurrentJob, *Answer);
  Connection.setReusable(Class != AnswerClass::NoAnswer &&
                         Class != AnswerClass::NotConnected);
  // A transaction must not stay open if its caller has disconnected or its
  // deadline has passed.
  if (CurrentJob->CurrentStage == Job::Stage::Finished) {
    if (CurrentJob->Statement.Operation == StatementOperation::Begin)
      Connection.setReusable(false);
    return;
  }
  if (Class == AnswerClass::Ran &&
      CurrentJob->Statement.Operation == StatementOperation::Begin)
    return openTransaction(CurrentJob, std::move(Connection));
  Connection.close();
  switch (Class) {
  case AnswerClass::Ran:
    return afterRun(CurrentJob, *Answer);
  case AnswerClass::Failed:
    return finishDone(CurrentJob, {Answer->Status, {}, Answer->Body});
  case AnswerClass::NoAnswer:
    return afterLostAnswer(CurrentJob);
  default:
    return afterRefusal(CurrentJob, Class, *Answer);
  }
}

void StatementService::afterRun(const JobPtr &CurrentJob,
                                const HttpResponse &Answer) {
  if (CurrentJob->Statement.isWrite())
    return holdWrite(CurrentJob, Answer);
  ++(CurrentJob->ChosenRoute.IsPrimary ? Counts.ReadsByPrimary
                                       : Counts.ReadsByReplica);
  finishDone(CurrentJob, {Answer.Status, {}, Answer.Body});
}

void StatementService::afterRefusal(const JobPtr &CurrentJob, AnswerClass Class,
                                    const HttpResponse &Answer) {
  const std::string &Reason = Answer.header(target_header::Reason);
  CurrentJob->CurrentStage = Job::Stage::Choosing;
  switch (Class) {
  case AnswerClass::TermMismatch:
    if (CurrentJob->ChosenRoute.IsPrimary)
      return waitForPrimary(CurrentJob, "the primary refused: " + Reason);
    [[fallthrough]];
  case AnswerClass::BehindFloor:
    return retryAtAnotherTarget(CurrentJob, "the target refused: " + Reason);
  case AnswerClass::NotConnected:
    if (++CurrentJob->Attempts >= MaxAttempts)
      return rejectWithRetry(CurrentJob, "the target refused: " + Reason);
    return dispatch(CurrentJob);
  default:
    return reject(CurrentJob, Answer.Status, Reason);
  }
}

void StatementService::afterLostAnswer(const JobPtr &CurrentJob) {
  const std::string Reason = "the connection to the target was lost before its "
                             "answer";
  CurrentJob->AnswerLost = true;
  // The failed attempt may have used a target's time already. Without a budget,
  // retries could double the load on the remaining targets.
  if (CurrentJob->Statement.isWrite() || !Budget.tryTake())
    return rejectWithRetry(CurrentJob, Reason);
  retryAtAnotherTarget(CurrentJob, Reason);
}

void StatementService::holdWrite(const JobPtr &CurrentJob,
                                 const HttpResponse &Answer) {
  const PendingWrite Write{
      CurrentJob->Statement.Database,
      numberOr(Answer.header(target_header::Term), 0),
      numberOr(Answer.header(target_header::WritePosition), 0)};
  const DurabilityGate::Ticket Ticket = Gate.hold(
      Write, [this, CurrentJob, Write, Body = Answer.Body](Durability Now) {
        finishWrite(CurrentJob, Write, Now, Body);
      });
  if (CurrentJob->CurrentStage != Job::Stage::Finished)
    CurrentJob->GateTicket = Ticket;
}

void StatementService::finishWrite(const JobPtr &CurrentJob,
                                   const PendingWrite &Write, Durability Result,
                                   const std::string &Body) {
  if (Result == Durability::Superseded)
    return rejectWithRetry(
        CurrentJob, "the primary was replaced before the write was safe");
  HttpResponse Out{reply_status::Ok, {}, Body};
  Out.Headers[caller_header::Session] =
      signToken(CurrentJob->Statement.Session.withWrite(
                    Write.Database, Write.Term, Write.Position),
                SessionKey);
  if (hasLease())
    ++Counts.Writes;
  finishDone(CurrentJob, std::move(Out));
}

void StatementService::finishDone(const JobPtr &CurrentJob,
                                  HttpResponse Response) {
  // An acknowledgement depends on two conditions. The copies make a write
  // survive any promotion, so its answer stays true even if this process is
  // suspended between this check and the sending. The lease ensures that no
  // proxy keeps acknowledging for a primary that has been replaced; it applies
  // to reads too, since a newer manifest may forbid them.
  if (!hasLease())
    return rejectWithRetry(CurrentJob,
                           "the lease ran out before the answer came");
  finish(CurrentJob, Outcome::Done, std::move(Response));
}

void StatementService::handleDeadline(const JobPtr &CurrentJob) {
  CurrentJob->DeadlineTimer = 0;
  if (CurrentJob->OwnTransaction)
    Transactions.abandon(CurrentJob->OwnTransaction);
  rejectWithRetry(CurrentJob, "no answer before the deadline");
}

void StatementService::handleCallerAbort(const JobPtr &CurrentJob) {
  if (CurrentJob->CurrentStage == Job::Stage::Finished)
    return;
  ++Counts.CallerAborts;
  if (CurrentJob->OwnTransaction)
    Transactions.abandon(CurrentJob->OwnTransaction);
  close(CurrentJob);
}

void StatementService::handleDisconnect(const std::string &Peer) {
  Transactions.handleDisconnect(Peer);
}

void StatementService::rejectWithRetry(const JobPtr &CurrentJob,
                                       const std::string &Reason) {
  rejectWithRetry(CurrentJob, Reason, RetryDelays.next(MinRetryAfter));
}

void StatementService::rejectWithRetry(const JobPtr &CurrentJob,
                                       const std::string &Reason,
                                       Millis RetryAfter) {
  const bool MayHaveRun = CurrentJob->mayHaveRun();
  finish(CurrentJob, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         refusalReply(MayHaveRun ? reply_status::Unknown
                                 : reply_status::Unavailable,
                      Reason, RetryAfter));
}

void StatementService::reject(const JobPtr &CurrentJob, int Status,
                              const std::string &Reason) {
  finish(CurrentJob,
         CurrentJob->mayHaveRun() ? Outcome::Unknown : Outcome::NotRun,
         plainReply(Status, Reason));
}

void StatementService::finish(const JobPtr &CurrentJob, Outcome Result,
                              HttpResponse Response) {
  if (CurrentJob->CurrentStage == Job::Stage::Finished)
    return;
  close(CurrentJob);
  if (Result == Outcome::NotRun)
    ++Counts.NotRun;
  if (Result == Outcome::Unknown)
    ++Counts.Unknown;
  Response.Headers[caller_header::Outcome] = outcomeHeader(Result);
  if (!CurrentJob->ChosenRoute.Target.empty()) {
    Response.Headers[caller_header::Target] = CurrentJob->ChosenRoute.Target;
    Response.Headers[caller_header::ServedBy] =
        CurrentJob->ChosenRoute.IsPrimary ? "primary" : "replica";
  }
  CurrentJob->Exchange->respond(std::move(Response));
}

void StatementService::removeFromQueues(const JobPtr &CurrentJob) {
  WaitingForPrimary.erase(CurrentJob->Id);
  const ConnectionPool::Ticket Ticket =
      std::exchange(CurrentJob->PoolTicket, 0);
  if (const auto Pool = CurrentJob->Pool.lock())
    Pool->cancel(Ticket);
}

void StatementService::close(const JobPtr &CurrentJob) {
  removeFromQueues(CurrentJob);
  // A statement that was sent holds its connection until its answer arrives.
  if (CurrentJob->CurrentStage != Job::Stage::Sent)
    Queues.remove(CurrentJob->Id, false, Deps.Time.now());
  Gate.cancel(CurrentJob->GateTicket);
  for (Scheduler::TimerId *Timer :
       {&CurrentJob->DeadlineTimer, &CurrentJob->PrimaryWaitTimer})
    if (*Timer != 0)
      Deps.Timers.cancel(std::exchange(*Timer, 0));
  CurrentJob->CurrentStage = Job::Stage::Finished;
  const std::string Database = CurrentJob->Statement.Database;
  Jobs.erase(CurrentJob->Id);
  dispatchQueued(Database);
}

} // namespace corianderdyke
