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
  Session->KeyDigest = callerKeyDigest(Outside.KeySecret, Key);
  Session->Link = std::move(Link);
  Sessions[Session->Id] = Session;
  if (plan().Version > 0)
    admit(Session);
  else
    waitForPlan(Session);
  return Session->IsGone ? 0 : Session->Id;
}

void SessionPipeline::waitForPlan(const CallerSessionPtr &Session) {
  if (!Session->OpensUntil)
    Session->OpensUntil = Outside.Time.now() + PlanPatience;
  Ticker.within(WaitingInterval);
}

void SessionPipeline::admit(const CallerSessionPtr &Session) {
  const RoutePolicy *Route = Plan.route(Session->Database);
  if (Route == nullptr)
    return turnAway(Session,
                    {RefusalCode::NoDatabase,
                     "no route has the name '" + Session->Database + "'"});
  const auto Owner = Organisations.ownerOf(*Route, Session->KeyDigest);
  if (!Owner && !isPlanCurrent())
    return waitForPlan(Session);
  if (!Owner)
    return turnAway(Session,
                    {RefusalCode::Unauthorised, "the key isn't known"});
  Session->OpensUntil.reset();
  Session->Organisation = *Owner;
  ++Counts.Sessions;
  Session->Link->accept();
  startNext(Session);
}

void SessionPipeline::turnAway(const CallerSessionPtr &Session,
                               const StatementRefusal &Why) {
  Session->IsGone = true;
  Sessions.erase(Session->Id);
  Session->Link->reject(Why);
}

bool SessionPipeline::isPlanCurrent() const {
  return !Outside.IsPlanCurrent || Outside.IsPlanCurrent();
}

void SessionPipeline::admitWaiting() {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All)
    if (Each->OpensUntil && !Each->IsGone)
      admit(Each);
}

void SessionPipeline::turnAwayWaiting(Millis Now) {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (!Each->OpensUntil || Each->IsGone)
      continue;
    if (IsStopping || Now >= *Each->OpensUntil)
      turnAway(Each, {RefusalCode::Busy,
                      "no plan that is known to be the newest has this; come "
                      "back after " +
                          std::to_string(PlanPatience.count()) + " ms"});
    else if (plan().Version > 0 && isPlanCurrent())
      admit(Each);
    else
      Ticker.within(WaitingInterval);
  }
}

bool SessionPipeline::isRevoked(const CallerSession &Session) const {
  const RoutePolicy *Route = Plan.route(Session.Database);
  // A session without a route learns so with its next statement.
  return Route != nullptr && Organisations.ownerOf(*Route, Session.KeyDigest) !=
                                 Session.Organisation;
}

void SessionPipeline::revokeSessions() {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (Each->OpensUntil || Each->IsGone)
      continue;
    if (!isRevoked(*Each)) {
      Each->RevokedAt.reset();
      continue;
    }
    if (!Each->RevokedAt)
      Each->RevokedAt = Outside.Time.now();
    endIfRevoked(Each);
  }
}

// A statement or transaction under way may finish.
void SessionPipeline::endIfRevoked(const CallerSessionPtr &Session) {
  if (!Session->RevokedAt || Session->IsGone || Session->Current ||
      Session->Phase != SessionPhase::Idle)
    return;
  if (Session->Unstarted.empty())
    return closeSession(Session);
  turnAway(Session, {RefusalCode::Unauthorised, "the key was taken away"});
}

bool SessionPipeline::outlastsRevocation(const CallerSession &Session,
                                         Millis Now) {
  return Session.RevokedAt &&
         Now - *Session.RevokedAt >= RevokedTransactionLasts;
}

} // namespace corianderdyke
