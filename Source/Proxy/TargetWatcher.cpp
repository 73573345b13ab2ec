/// \file
/// Keeps the target table up to date by asking each target all the time.

#include "Proxy/TargetWatcher.h"

#include "Proxy/TargetProtocol.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A target without news answers after this long; it's also how often a
/// silent target would be missed.
constexpr Millis HoldFor(50);
constexpr Millis WatchTimeout(2000);
constexpr Millis AskAgainAfter(25);

/// How long a target held the question, by its own count. It's a span, so
/// that no two clocks are compared; the time that the answer took bounds it.
Millis heldBy(const HttpResponse &Answer, Millis Taken) {
  const std::uint64_t Said = numberOr(Answer.header(target_header::HeldMs), 0);
  const auto Most = static_cast<std::uint64_t>(Taken.count());
  return Millis(static_cast<std::int64_t>(std::min(Said, Most)));
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
  HttpRequest Question;
  Question.Path = "/v1/watch";
  Question.Query["after"] = std::to_string(To.Position);
  Question.Query["term"] = std::to_string(To.Term);
  Question.Query["wait_ms"] = std::to_string(HoldFor.count());
  To.Connection->request(
      std::move(Question), WatchTimeout,
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
    // An answer that failed at once means that nobody listens there any
    // more; one that took the whole time says only that it's silent.
    if (Time.now() - AskedAt < WatchTimeout / 2) {
      Table.markRefused(Name);
      Refused.emit(Name);
    }
    Timers.after(AskAgainAfter, [this, Name, Generation] {
      const auto Again = Watches.find(Name);
      if (Again != Watches.end() && Again->second.Generation == Generation)
        sendWatch(Name);
    });
    return;
  }
  const TargetObservation Seen = parseObservation(*Answer);
  const Millis StoodUntil = AskedAt + heldBy(*Answer, Time.now() - AskedAt);
  // A primary that held the question stood where the question said until the
  // end of the hold. That makes a replica at that position as fresh as the
  // end, not as the beginning. One that answered at once had moved before.
  if (Seen.IsPrimary && StoodUntil > AskedAt && Seen.Term == From.Term &&
      Seen.Position > From.Position) {
    TargetObservation Before = Seen;
    Before.Position = From.Position;
    Table.observe(Name, Before, StoodUntil, Time.now());
  }
  From.Position = Seen.Position;
  From.Term = Seen.Term;
  Table.observe(Name, Seen, StoodUntil, Time.now());
  sendWatch(Name);
  Changed.emit(Name);
}

} // namespace corianderdyke
