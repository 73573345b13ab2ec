/// \file
/// Gets permits to begin operations from the holders of quota seats.

#include "Quota/OperationPermits.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A holder that has not answered after this long is skipped: well above the
/// round trip of a slow link.
constexpr Millis ReplyTimeout(60);
/// The same for a request through a control host, which takes two round trips.
constexpr Millis ForwardedReplyTimeout = ReplyTimeout * 2;
/// Unanswered requests are dropped after this long.
constexpr Millis RequestRetention(2000);
/// A holder that did not answer is asked last for this long, or through control
/// instead.
constexpr Millis HolderBackoff(500);
/// Pause between two rounds while no holder is known to have a seat, and the
/// shortest pause.
constexpr Millis NoSeatPause(40);
constexpr Millis MinPause(5);
/// While an organisation is out of permits, an operation waits for this part of
/// its time: as much as statements wait in the queue of an overloaded target,
/// so that one that gets its permit last can still meet its objective.
constexpr std::int64_t ExhaustedDivisor = 4;

} // namespace

std::vector<ProxyRecord> seatHolders(const std::string &Organisation,
                                     const std::vector<ProxyRecord> &Proxies) {
  const std::uint64_t Seed = hashText(Organisation, 0);
  std::vector<std::pair<std::uint64_t, std::size_t>> Order;
  Order.reserve(Proxies.size());
  for (std::size_t Each = 0; Each < Proxies.size(); ++Each)
    Order.emplace_back(hashText(Proxies[Each].Name, Seed), Each);
  const std::size_t Count =
      std::min<std::size_t>(Order.size(), SeatsPerOrganisation);
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), std::greater<>());
  std::vector<ProxyRecord> Out;
  for (std::size_t Seat = 0; Count > 0 && Seat < SeatsPerOrganisation; ++Seat)
    Out.push_back(Proxies[Order[Seat % Count].second]);
  return Out;
}

OperationPermits::OperationPermits(Dependencies Deps, std::string Self,
                                   std::uint16_t PeerPort, QuotaSeats &Seats)
    : Deps(Deps), Self(std::move(Self)), PeerPort(PeerPort), Seats(Seats) {
  Deps.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &OperationPermits::receive));
}

OperationPermits::~OperationPermits() {
  for (auto &[Name, Each] : Queues)
    stopTimer(Each);
}

void OperationPermits::adopt(const RoutePlan &Plan) {
  Seats.adopt(Plan);
  recomputeHolders();
}

void OperationPermits::setProxies(std::vector<ProxyRecord> All) {
  Proxies = std::move(All);
  recomputeHolders();
}

void OperationPermits::recomputeHolders() {
  Holders.clear();
  std::map<std::string, std::uint32_t> Own;
  for (const std::string &Each : Seats.limitedOrganisations()) {
    std::vector<ProxyRecord> Known = seatHolders(Each, Proxies);
    for (const ProxyRecord &Holder : Known)
      if (Holder.Name == Self)
        ++Own[Each];
    // Each proxy begins with another holder, so that all holders get equal
    // load.
    if (!Known.empty())
      std::rotate(Known.begin(),
                  Known.begin() + static_cast<std::ptrdiff_t>(
                                      hashText(Self, 0) % Known.size()),
                  Known.end());
    Holders[Each] = std::move(Known);
  }
  Seats.setWanted(std::move(Own));
}

std::uint64_t OperationPermits::requestPermit(const std::string &Organisation,
                                              Millis Until, Handler OnAnswer) {
  const std::uint64_t Number = NextNumber++;
  Queue &Q = Queues[Organisation];
  const Millis Now = Deps.Time.now();
  Q.Waiters.push_back({Number, Until, Now + (Until - Now) / ExhaustedDivisor,
                       std::move(OnAnswer)});
  if (refuseByForecast(Q) || Q.RequestNumber != 0)
    return Number;
  if (Now >= Q.NextRoundAt)
    beginRound(Organisation);
  else
    refuseExpiringBefore(Organisation, Q.NextRoundAt);
  return Number;
}

void OperationPermits::cancel(std::uint64_t Number) {
  for (auto &[Name, Each] : Queues)
    Each.Waiters.remove_if(
        [Number](const Waiting &Waiter) { return Waiter.Number == Number; });
}

void OperationPermits::handleSeatsChanged() {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Queues)
    Names.push_back(Name);
  for (const std::string &Each : Names)
    if (!Queues[Each].Waiters.empty() && Queues[Each].RequestNumber == 0)
      beginRound(Each);
}

void OperationPermits::beginRound(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  stopTimer(Q);
  if (Q.Waiters.empty())
    return;
  // The plan may have removed the limit in the meantime.
  if (!isLimited(Organisation))
    return begin(dequeue(Q, static_cast<std::uint32_t>(Q.Waiters.size())));
  Q.Asked.clear();
  Q.AskedThroughControl.clear();
  Q.HasPermits = false;
  Q.MinRetryAfter.reset();
  askNext(Organisation);
}

// Chosen anew each time, since holders change and fall silent within a round.
const ProxyRecord *OperationPermits::nextHolder(const std::string &Organisation,
                                                const Queue &Q,
                                                Millis Now) const {
  const auto Known = Holders.find(Organisation);
  if (Known == Holders.end())
    return nullptr;
  const ProxyRecord *Silent = nullptr;
  for (const ProxyRecord &Each : Known->second) {
    if (Q.Asked.count(Each.Name) != 0)
      continue;
    const auto Until = BackoffUntil.find(Each.Name);
    if (Until == BackoffUntil.end() || Now >= Until->second)
      return &Each;
    if (Silent == nullptr && !canForward(Each, Now))
      Silent = &Each;
  }
  return Silent;
}

void OperationPermits::askNext(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  const Millis Now = Deps.Time.now();
  const ProxyRecord *Chosen = nextHolder(Organisation, Q, Now);
  if (Q.Waiters.empty() || (Chosen == nullptr && !forwardNext(Organisation)))
    return endRound(Organisation);
  if (Chosen == nullptr)
    return;
  const ProxyRecord &Next = *Chosen;
  Q.Asked.insert(Next.Name);
  if (Next.Name == Self) {
    Q.RequestNumber = NextNumber++;
    Q.Holder = Self;
    return handleReply(
        Organisation,
        Seats.takePermits(Organisation,
                          static_cast<std::uint32_t>(Q.Waiters.size()), Now));
  }
  Deps.Peers.send({Next.RelayEndpoint.Address, PeerPort}, Delivery::Datagram,
                  startRequest(Organisation, Next, false));
  setTimer(Q, Organisation, ReplyTimeout, &OperationPermits::handleTimeout);
}

PermitRequest OperationPermits::startRequest(const std::string &Organisation,
                                             const ProxyRecord &Holder,
                                             bool IsForwarded) {
  Queue &Q = Queues[Organisation];
  const Millis Now = Deps.Time.now();
  Q.RequestNumber = NextNumber++;
  Q.Holder = Holder.Name;
  std::erase_if(Requests, [Now](const auto &Each) {
    return Now - Each.second.At >= RequestRetention;
  });
  Requests[Q.RequestNumber] = {Organisation, Now, IsForwarded};
  return {Q.RequestNumber, Organisation,
          static_cast<std::uint32_t>(Q.Waiters.size())};
}

bool OperationPermits::canForward(const ProxyRecord &Holder, Millis Now) const {
  if (!Deps.ForwardingHost || Holder.Name == Self ||
      Deps.ForwardingHost().Address.empty())
    return false;
  const auto Silent = BackoffUntil.find(Holder.Name);
  const auto Failed = ForwardBackoffUntil.find(Holder.Name);
  return Silent != BackoffUntil.end() && Now < Silent->second &&
         (Failed == ForwardBackoffUntil.end() || Now >= Failed->second);
}

bool OperationPermits::forwardNext(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  const auto Known = Holders.find(Organisation);
  if (Q.HasPermits || Known == Holders.end())
    return false;
  const Millis Now = Deps.Time.now();
  for (const ProxyRecord &Each : Known->second) {
    if (!canForward(Each, Now) ||
        !Q.AskedThroughControl.insert(Each.Name).second)
      continue;
    ++Forwards.Sent;
    Deps.Peers.send(
        Deps.ForwardingHost(), Delivery::Datagram,
        ForwardedPermitRequest{Each.RelayEndpoint.Address,
                               startRequest(Organisation, Each, true)});
    setTimer(Q, Organisation, ForwardedReplyTimeout,
             &OperationPermits::handleForwardTimeout);
    return true;
  }
  return false;
}

// The control host may have dropped the request beyond its rate, or may be
// gone: the pause reduces the load in the first case, and in the second the
// holder is asked directly again.
void OperationPermits::handleForwardTimeout(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  Q.RequestNumber = 0;
  ForwardBackoffUntil[Q.Holder] = Deps.Time.now() + HolderBackoff;
  askNext(Organisation);
}

void OperationPermits::handleTimeout(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  Q.RequestNumber = 0;
  BackoffUntil[Q.Holder] = Deps.Time.now() + HolderBackoff;
  askNext(Organisation);
}

void OperationPermits::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Body, Arrived); }, Arrived.Body);
}

void OperationPermits::on(const PermitRequest &Body, const Envelope &From) {
  PermitReply Out =
      Seats.takePermits(Body.Organisation, Body.Count, Deps.Time.now());
  Out.Number = Body.Number;
  Deps.Peers.send(From.ReplyTo, Delivery::Datagram, Out);
}

void OperationPermits::on(const PermitReply &Body, const Envelope &) {
  const auto Found = Requests.find(Body.Number);
  if (Found == Requests.end())
    return;
  const std::string Organisation = Found->second.Organisation;
  Forwards.Answered += Found->second.IsForwarded ? 1 : 0;
  Requests.erase(Found);
  Queue &Q = Queues[Organisation];
  if (Q.RequestNumber != Body.Number)
    return begin(dequeue(Q, Body.Granted));
  stopTimer(Q);
  handleReply(Organisation, Body);
}

std::vector<PermitSource::Handler>
OperationPermits::dequeue(Queue &Q, std::uint32_t Permits) const {
  std::vector<Handler> Out;
  while (Out.size() < Permits && !Q.Waiters.empty()) {
    Out.push_back(std::move(Q.Waiters.front().OnAnswer));
    Q.Waiters.pop_front();
    Q.Forecast.recordDeparture(Q.Waiters.size(), Deps.Time.now());
  }
  return Out;
}

Millis OperationPermits::deadline(const Queue &Q, const Waiting &Waiter) const {
  return Deps.RefusesByForecast && Q.IsExhausted ? Waiter.UntilIfExhausted
                                                 : Waiter.Until;
}

bool OperationPermits::refuseByForecast(Queue &Q) {
  const Millis Now = Deps.Time.now();
  const Millis Wait = Q.Forecast.expectedWait(Q.Waiters.size() - 1, Now);
  if (!Deps.RefusesByForecast || !Q.IsExhausted ||
      Now + Wait <= deadline(Q, Q.Waiters.back()))
    return false;
  const Handler Refused = std::move(Q.Waiters.back().OnAnswer);
  Q.Waiters.pop_back();
  Refused(Wait);
  return true;
}

void OperationPermits::begin(const std::vector<Handler> &Permitted) {
  for (const Handler &Each : Permitted)
    Each(std::nullopt);
}

void OperationPermits::handleReply(const std::string &Organisation,
                                   const PermitReply &Answer) {
  Queue &Q = Queues[Organisation];
  Q.RequestNumber = 0;
  if (Answer.HasSeat)
    Q.MinRetryAfter = Q.MinRetryAfter
                          ? std::min(*Q.MinRetryAfter, Answer.RetryAfter)
                          : Answer.RetryAfter;
  Q.HasPermits = Q.HasPermits || Answer.Granted > 0;
  Q.NextRoundAt = Deps.Time.now();
  const std::vector<Handler> Permitted = dequeue(Q, Answer.Granted);
  Q.IsExhausted = Q.IsExhausted && !Q.Waiters.empty();
  // The next request is sent before the handlers run, so that operations
  // further back do not wait for them.
  if (!Q.Waiters.empty())
    askNext(Organisation);
  begin(Permitted);
}

void OperationPermits::endRound(const std::string &Organisation) {
  Queue &Q = Queues[Organisation];
  if (Q.Waiters.empty())
    return;
  const Millis Pause =
      std::max(MinPause, Q.MinRetryAfter.value_or(NoSeatPause));
  Q.IsExhausted = Q.MinRetryAfter.has_value();
  Q.NextRoundAt = Deps.Time.now() + Pause;
  setTimer(Q, Organisation, Pause, &OperationPermits::beginRound);
  refuseExpiringBefore(Organisation, Q.NextRoundAt);
}

void OperationPermits::refuseExpiringBefore(const std::string &Organisation,
                                            Millis When) {
  Queue &Q = Queues[Organisation];
  const Millis Now = Deps.Time.now();
  Millis RetryAfter = When - Now;
  if (Deps.RefusesByForecast)
    RetryAfter =
        std::max(RetryAfter, Q.Forecast.expectedWait(Q.Waiters.size(), Now));
  std::vector<Handler> Refused;
  for (auto Each = Q.Waiters.begin(); Each != Q.Waiters.end();) {
    if (deadline(Q, *Each) >= When) {
      ++Each;
      continue;
    }
    Refused.push_back(std::move(Each->OnAnswer));
    Each = Q.Waiters.erase(Each);
  }
  for (const Handler &Each : Refused)
    Each(RetryAfter);
}

void OperationPermits::setTimer(
    Queue &Q, const std::string &Organisation, Millis Span,
    void (OperationPermits::*Then)(const std::string &)) {
  stopTimer(Q);
  Q.Timer = Deps.Timers.after(Span, [this, Organisation, Then] {
    Queues[Organisation].Timer = 0;
    (this->*Then)(Organisation);
  });
}

void OperationPermits::stopTimer(Queue &Q) {
  if (Q.Timer != 0)
    Deps.Timers.cancel(std::exchange(Q.Timer, 0));
}

} // namespace corianderdyke
