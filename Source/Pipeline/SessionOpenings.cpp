/// \file
/// How sessions open, and what those wait for that come ahead of the plan.
///
/// Load pattern: all processes were down and callers come back at once, to
/// proxies that don't know a plan yet.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// How long an opening waits for this process's first plan. After all
/// processes were down the plan comes within 50 to 300 ms, and a caller that
/// was refused meanwhile had used up a try: 157 of 930 callers lost all three
/// of theirs within two seconds. Well below the two seconds for which callers
/// wait for an opening.
constexpr Millis PlanPatience(1000);

} // namespace

std::uint64_t SessionPipeline::open(const std::string &Database,
                                    std::shared_ptr<CallerLink> Link) {
  auto Session = std::make_shared<CallerSession>();
  Session->Id = NextSession++;
  Session->Database = Database;
  Session->Link = std::move(Link);
  Sessions[Session->Id] = Session;
  if (Plan.Version > 0) {
    admit(Session);
  } else {
    Session->OpensUntil = Outside.Time.now() + PlanPatience;
    Ticker.within(WaitingInterval);
  }
  return Session->IsGone ? 0 : Session->Id;
}

void SessionPipeline::admit(const CallerSessionPtr &Session) {
  Session->OpensUntil.reset();
  if (Plan.route(Session->Database) == nullptr)
    return turnAway(Session,
                    {RefusalCode::NoDatabase,
                     "no route has the name '" + Session->Database + "'"});
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

void SessionPipeline::admitWaiting() {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All)
    if (Each->OpensUntil && !Each->IsGone)
      admit(Each);
}

void SessionPipeline::turnAwayWaiting(Millis Now) {
  if (Plan.Version > 0)
    return;
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (IsStopping || Now >= *Each->OpensUntil)
      turnAway(Each, {RefusalCode::Busy,
                      "no plan is known here yet; come back after " +
                          std::to_string(PlanPatience.count()) + " ms"});
    else
      Ticker.within(WaitingInterval);
  }
}

} // namespace corianderdyke
