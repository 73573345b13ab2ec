/// \file
/// Keeps the target table up to date with a pending watch at each target.

#include "Proxy/TargetWatcher.h"

#include "Proxy/TargetProtocol.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A target whose state does not change answers after this long, so this is
/// also the interval at which a silent target can be noticed.
constexpr Millis WatchHoldTime(50);
constexpr Millis WatchTimeout(2000);
constexpr Millis RetryInterval(25);

/// How long a target held the request, as it reports. This is a duration, so no
/// two clocks are compared; it is bounded by the time that the answer took.
Millis holdTime(const HttpResponse &Answer, Millis Elapsed) {
  const std::uint64_t Reported =
      numberOr(Answer.header(target_header::HeldMs), 0);
  const auto MaxHeld = static_cast<std::uint64_t>(Elapsed.count());
  return Millis(static_cast<std::int64_t>(std::min(Reported, MaxHeld)));
}

} // namespace

void TargetWatcher::update(const ClusterView &View) {
  Table.update(View, Time.now());
  for (auto Each = Watches.begin(); Each != Watches.end();)
    Each = View.Targets.count(Each->first) == 0 ? Watches.erase(Each)
                                                : std::next(Each);
  for (const auto &[Name, Target] : View.Targets) {
    Watch &Known = Watches[Name];
    if (Known.Generation != 0 && Known.Address == Target.Address)
      continue;
    Known = Watch{Target.Address, nullptr, 0, 0, NextGeneration++};
    sendWatch(Name);
  }
}

void TargetWatcher::sendWatch(const std::string &Name) {
  const auto Found = Watches.find(Name);
  if (Found == Watches.end())
    return;
  Watch &To = Found->second;
  if (!To.Connection)
    To.Connection = Connector.connect(To.Address);
  HttpRequest Request;
  Request.Path = "/v1/watch";
  Request.Query["after"] = std::to_string(To.Position);
  Request.Query["term"] = std::to_string(To.Term);
  Request.Query["wait_ms"] = std::to_string(WatchHoldTime.count());
  To.Connection->request(
      std::move(Request), WatchTimeout,
      [this, Name, Generation = To.Generation,
       AskedAt = Time.now()](const Expected<HttpResponse> &Answer) {
        handleAnswer(Name, Generation, AskedAt, Answer);
      });
}

void TargetWatcher::handleAnswer(const std::string &Name,
                                 std::uint64_t Generation, Millis AskedAt,
                                 const Expected<HttpResponse> &Answer) {
  const auto Found = Watches.find(Name);
  if (Found == Watches.end() || Found->second.Generation != Generation)
    return;
  Watch &From = Found->second;
  if (!Answer) {
    From.Connection.reset();
    // A request that fails at once means that no process listens there any
    // more; a timeout means only that the target is silent.
    if (Time.now() - AskedAt < WatchTimeout / 2) {
      Table.markRefused(Name);
      Refused.emit(Name);
    }
    Timers.after(RetryInterval, [this, Name, Generation] {
      const auto Again = Watches.find(Name);
      if (Again != Watches.end() && Again->second.Generation == Generation)
        sendWatch(Name);
    });
    return;
  }
  const TargetObservation Observed = parseObservation(*Answer);
  const Millis HeldUntil = AskedAt + holdTime(*Answer, Time.now() - AskedAt);
  // A primary that held the request was at the requested position until the end
  // of the hold, so a replica at that position is as fresh as the end of the
  // hold, not its beginning. A primary that answered at once had advanced
  // before.
  if (Observed.IsPrimary && HeldUntil > AskedAt && Observed.Term == From.Term &&
      Observed.Position > From.Position) {
    TargetObservation BeforeChange = Observed;
    BeforeChange.Position = From.Position;
    Table.observe(Name, BeforeChange, HeldUntil, Time.now());
  }
  From.Position = Observed.Position;
  From.Term = Observed.Term;
  Table.observe(Name, Observed, HeldUntil, Time.now());
  sendWatch(Name);
  Changed.emit(Name);
}

} // namespace corianderdyke
