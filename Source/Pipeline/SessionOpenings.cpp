/// \file
/// Sessions that open before a plan knows them, and those whose key a plan
/// takes away.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// How long an opening waits for this process's first plan, or for word that
/// the plan which doesn't know its key is the newest. Well below the time for
/// which callers wait for an opening: after all processes were down the plan
/// comes sooner, and a caller that is refused meanwhile has used up a try.
constexpr Millis PlanPatience(1000);
/// How long a transaction goes on after its session's key was taken away.
constexpr Millis RevokedTransactionLasts(1000);

} // namespace

std::uint64_t SessionPipeline::open(const std::string &Database,
                                    const std::string &Key,
                                    std::shared_ptr<CallerLink> Link) {
  auto Session = std::make_shared<CallerSession>();
  Session->Id = NextSession++;
  Session->Database = Database;
  Session->KeyDigest = callerKeyDigest(Deps.KeySecret, Key);
  Session->Link = std::move(Link);
  Sessions[Session->Id] = Session;
  if (plan().Version > 0)
    admit(Session);
  else
    waitForPlan(Session);
  return Session->IsClosed ? 0 : Session->Id;
}

void SessionPipeline::waitForPlan(const CallerSessionPtr &Session) {
  if (!Session->AdmissionDeadline)
    Session->AdmissionDeadline = Deps.Time.now() + PlanPatience;
  Ticker.requestWithin(WaitingInterval);
}

void SessionPipeline::admit(const CallerSessionPtr &Session) {
  const RoutePolicy *Route = Plan.route(Session->Database);
  if (Route == nullptr)
    return rejectSession(Session,
                         {RefusalCode::NoDatabase,
                          "no route has the name '" + Session->Database + "'"});
  const auto Owner = Organisations.findOrganisation(*Route, Session->KeyDigest);
  if (!Owner && !isPlanCurrent())
    return waitForPlan(Session);
  if (!Owner)
    return rejectSession(Session,
                         {RefusalCode::Unauthorised, "the key isn't known"});
  Session->AdmissionDeadline.reset();
  Session->Organisation = *Owner;
  ++Counts.Sessions;
  Session->Link->accept();
  startNext(Session);
}

void SessionPipeline::rejectSession(const CallerSessionPtr &Session,
                                    const StatementRefusal &Why) {
  Session->IsClosed = true;
  Sessions.erase(Session->Id);
  Session->Link->reject(Why);
}

bool SessionPipeline::isPlanCurrent() const {
  return !Deps.IsPlanCurrent || Deps.IsPlanCurrent();
}

void SessionPipeline::admitPendingOpenings() {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All)
    if (Each->AdmissionDeadline && !Each->IsClosed)
      admit(Each);
}

void SessionPipeline::processPendingOpenings(Millis Now) {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (!Each->AdmissionDeadline || Each->IsClosed)
      continue;
    if (IsStopping || Now >= *Each->AdmissionDeadline)
      rejectSession(Each,
                    {RefusalCode::Busy,
                     "no plan that is known to be the newest has this; come "
                     "back after " +
                         std::to_string(PlanPatience.count()) + " ms"});
    else if (plan().Version > 0 && isPlanCurrent())
      admit(Each);
    else
      Ticker.requestWithin(WaitingInterval);
  }
}

bool SessionPipeline::isRevoked(const CallerSession &Session) const {
  const RoutePolicy *Route = Plan.route(Session.Database);
  // A session without a route learns so with its next statement.
  return Route != nullptr &&
         Organisations.findOrganisation(*Route, Session.KeyDigest) !=
             Session.Organisation;
}

void SessionPipeline::revokeSessions() {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (Each->AdmissionDeadline || Each->IsClosed)
      continue;
    if (!isRevoked(*Each)) {
      Each->RevokedAt.reset();
      continue;
    }
    if (!Each->RevokedAt)
      Each->RevokedAt = Deps.Time.now();
    endIfRevoked(Each);
  }
}

// A statement or transaction under way may finish.
void SessionPipeline::endIfRevoked(const CallerSessionPtr &Session) {
  if (!Session->RevokedAt || Session->IsClosed || Session->Current ||
      Session->Phase != SessionPhase::Idle)
    return;
  if (Session->PendingStatements.empty())
    return closeSession(Session);
  rejectSession(Session, {RefusalCode::Unauthorised, "the key was taken away"});
}

bool SessionPipeline::exceedsRevocationGrace(const CallerSession &Session,
                                             Millis Now) {
  return Session.RevokedAt &&
         Now - *Session.RevokedAt >= RevokedTransactionLasts;
}

} // namespace corianderdyke
