/// \file
/// Opens sessions, also before a plan with their key arrives, and ends those
/// whose key a plan removes.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// How long an opening waits for the first plan of this process, or for
/// confirmation that a plan without its key is the newest. Well below the time
/// for which callers wait for an opening: after an outage of all processes the
/// plan arrives earlier, and a caller that is refused before has used up a
/// retry.
constexpr Millis PlanWaitTimeout(1000);
/// How long a transaction may continue after its session's key was revoked.
constexpr Millis RevokedTransactionGrace(1000);

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
  if (refusesNewWork(Database))
    rejectSession(Session, stopRefusal());
  else if (plan().Version > 0)
    admit(Session);
  else
    waitForPlan(Session);
  return Session->IsClosed ? 0 : Session->Id;
}

void SessionPipeline::waitForPlan(const CallerSessionPtr &Session) {
  if (!Session->AdmissionDeadline)
    Session->AdmissionDeadline = Deps.Time.now() + PlanWaitTimeout;
  Ticker.requestWithin(WaitingInterval);
}

void SessionPipeline::admit(const CallerSessionPtr &Session) {
  const RoutePolicy *Route = Plan.route(Session->Database);
  // A newer plan may declare a database or a key that this one lacks.
  if (Route == nullptr && !isPlanCurrent())
    return waitForPlan(Session);
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
  Session->QuietSince = Deps.Time.now();
  Session->Link->accept();
  startNext(Session);
}

void SessionPipeline::rejectSession(const CallerSessionPtr &Session,
                                    const StatementRefusal &Refusal) {
  Session->IsClosed = true;
  Sessions.erase(Session->Id);
  Session->Link->reject(Refusal);
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
    if (Stop || Now >= *Each->AdmissionDeadline)
      rejectSession(Each,
                    {RefusalCode::Busy,
                     "no plan that is known to be the newest has this; come "
                     "back after " +
                         std::to_string(PlanWaitTimeout.count()) + " ms"});
    else if (plan().Version > 0 && isPlanCurrent())
      admit(Each);
    else
      Ticker.requestWithin(WaitingInterval);
  }
}

bool SessionPipeline::isRevoked(const CallerSession &Session) const {
  const RoutePolicy *Route = Plan.route(Session.Database);
  // The next statement of a session without a route is refused.
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
         Now - *Session.RevokedAt >= RevokedTransactionGrace;
}

} // namespace corianderdyke
