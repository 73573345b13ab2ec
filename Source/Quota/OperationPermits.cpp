/// \file
/// Gets permits to begin operations from those who hold seats of a quota.

#include "Quota/OperationPermits.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A holder that hasn't answered after this long is passed over: well above
/// the way there and back on a slow link.
constexpr Millis ReplyPatience(60);
/// An answer isn't expected any more after this long.
constexpr Millis LatestReply(2000);
/// A holder that didn't answer is asked last for this long.
constexpr Millis AvoidFor(500);
/// Between two rounds while no holder is known to have a seat, and at least.
constexpr Millis PauseWithoutSeat(40);
constexpr Millis LeastPause(5);

} // namespace

std::vector<ProxyRecord> seatHolders(const std::string &Organisation,
                                     const std::vector<ProxyRecord> &Proxies) {
  const std::uint64_t Seed = textHash(Organisation, 0);
  std::vector<std::pair<std::uint64_t, std::size_t>> Order;
  Order.reserve(Proxies.size());
  for (std::size_t Each = 0; Each < Proxies.size(); ++Each)
    Order.emplace_back(textHash(Proxies[Each].Name, Seed), Each);
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

OperationPermits::OperationPermits(Ports Outside, std::string Self,
                                   std::uint16_t PeerPort, QuotaSeats &Seats)
    : Outside(Outside), Self(std::move(Self)), PeerPort(PeerPort),
      Seats(Seats) {
  Outside.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &OperationPermits::receive));
}

OperationPermits::~OperationPermits() {
  for (auto &[Name, Each] : Queues)
    stopTimer(Each);
}

void OperationPermits::adopt(const RoutePlan &Plan) {
  Seats.adopt(Plan);
  decide();
}

void OperationPermits::setProxies(std::vector<ProxyRecord> All) {
  Proxies = std::move(All);
  decide();
}

void OperationPermits::decide() {
  Holders.clear();
  std::map<std::string, std::uint32_t> Own;
  for (const std::string &Each : Seats.limited()) {
    std::vector<ProxyRecord> Known = seatHolders(Each, Proxies);
    for (const ProxyRecord &Holder : Known)
      if (Holder.Name == Self)
        ++Own[Each];
    // Each proxy begins elsewhere, so that all holders are asked alike.
    if (!Known.empty())
      std::rotate(Known.begin(),
                  Known.begin() + static_cast<std::ptrdiff_t>(
                                      textHash(Self, 0) % Known.size()),
                  Known.end());
    Holders[Each] = std::move(Known);
  }
  Seats.setWanted(std::move(Own));
}

std::uint64_t OperationPermits::ask(const std::string &Organisation,
                                    Millis Until, Handler OnAnswer) {
  const std::uint64_t Number = NextNumber++;
  Queue &Of = Queues[Organisation];
  Of.All.push_back({Number, Until, std::move(OnAnswer)});
  if (Of.Asked != 0)
    return Number;
  const Millis Now = Outside.Time.now();
  if (Now >= Of.NextRoundAt)
    beginRound(Organisation);
  else
    refuseBefore(Organisation, Of.NextRoundAt);
  return Number;
}

void OperationPermits::cancel(std::uint64_t Number) {
  for (auto &[Name, Each] : Queues)
    Each.All.remove_if(
        [Number](const Waiting &Of) { return Of.Number == Number; });
}

void OperationPermits::seatsChanged() {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Queues)
    Names.push_back(Name);
  for (const std::string &Each : Names)
    if (!Queues[Each].All.empty() && Queues[Each].Asked == 0)
      beginRound(Each);
}

void OperationPermits::beginRound(const std::string &Organisation) {
  Queue &Of = Queues[Organisation];
  stopTimer(Of);
  if (Of.All.empty())
    return;
  // The plan may have taken the limit away meanwhile.
  if (!isLimited(Organisation))
    return begin(takeOut(Of, static_cast<std::uint32_t>(Of.All.size())));
  Of.Rank = 0;
  Of.Soonest.reset();
  askNext(Organisation);
}

void OperationPermits::askNext(const std::string &Organisation) {
  Queue &Of = Queues[Organisation];
  std::vector<ProxyRecord> Known = Holders[Organisation];
  const Millis Now = Outside.Time.now();
  std::stable_partition(
      Known.begin(), Known.end(), [&](const ProxyRecord &Each) {
        const auto Until = AvoidUntil.find(Each.Name);
        return Until == AvoidUntil.end() || Now >= Until->second;
      });
  if (Of.All.empty() || Of.Rank >= Known.size())
    return endRound(Organisation);
  const ProxyRecord &Next = Known[Of.Rank];
  const auto Count = static_cast<std::uint32_t>(Of.All.size());
  Of.Asked = NextNumber++;
  Of.Holder = Next.Name;
  if (Next.Name == Self)
    return answered(Organisation, Seats.take(Organisation, Count, Now));
  std::erase_if(Requests, [Now](const auto &Each) {
    return Now - Each.second.At >= LatestReply;
  });
  Requests[Of.Asked] = {Organisation, Now};
  Outside.Peers.send({Next.Relay.Address, PeerPort}, Delivery::Datagram,
                     PermitRequest{Of.Asked, Organisation, Count});
  setTimer(Of, Organisation, ReplyPatience, &OperationPermits::timedOut);
}

void OperationPermits::timedOut(const std::string &Organisation) {
  Queue &Of = Queues[Organisation];
  Of.Asked = 0;
  AvoidUntil[Of.Holder] = Outside.Time.now() + AvoidFor;
  ++Of.Rank;
  askNext(Organisation);
}

void OperationPermits::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Body, Arrived); }, Arrived.Body);
}

void OperationPermits::on(const PermitRequest &Body, const Envelope &From) {
  PermitReply Out =
      Seats.take(Body.Organisation, Body.Count, Outside.Time.now());
  Out.Number = Body.Number;
  Outside.Peers.send(From.ReplyTo, Delivery::Datagram, Out);
}

void OperationPermits::on(const PermitReply &Body, const Envelope &) {
  const auto Found = Requests.find(Body.Number);
  if (Found == Requests.end())
    return;
  const std::string Organisation = Found->second.Organisation;
  Requests.erase(Found);
  Queue &Of = Queues[Organisation];
  if (Of.Asked != Body.Number)
    return begin(takeOut(Of, Body.Granted));
  stopTimer(Of);
  answered(Organisation, Body);
}

std::vector<PermitSource::Handler>
OperationPermits::takeOut(Queue &Of, std::uint32_t Permits) {
  std::vector<Handler> Out;
  while (Out.size() < Permits && !Of.All.empty()) {
    Out.push_back(std::move(Of.All.front().OnAnswer));
    Of.All.pop_front();
  }
  return Out;
}

void OperationPermits::begin(const std::vector<Handler> &Permitted) {
  for (const Handler &Each : Permitted)
    Each(std::nullopt);
}

void OperationPermits::answered(const std::string &Organisation,
                                const PermitReply &Answer) {
  Queue &Of = Queues[Organisation];
  Of.Asked = 0;
  if (Answer.HasSeat)
    Of.Soonest = Of.Soonest ? std::min(*Of.Soonest, Answer.ComeBackAfter)
                            : Answer.ComeBackAfter;
  ++Of.Rank;
  Of.NextRoundAt = Outside.Time.now();
  const std::vector<Handler> Permitted = takeOut(Of, Answer.Granted);
  // Those behind them don't wait for what the handlers do.
  if (!Of.All.empty())
    askNext(Organisation);
  begin(Permitted);
}

void OperationPermits::endRound(const std::string &Organisation) {
  Queue &Of = Queues[Organisation];
  if (Of.All.empty())
    return;
  const Millis Pause =
      std::max(LeastPause, Of.Soonest.value_or(PauseWithoutSeat));
  Of.NextRoundAt = Outside.Time.now() + Pause;
  setTimer(Of, Organisation, Pause, &OperationPermits::beginRound);
  refuseBefore(Organisation, Of.NextRoundAt);
}

void OperationPermits::refuseBefore(const std::string &Organisation,
                                    Millis When) {
  Queue &Of = Queues[Organisation];
  const Millis Back = When - Outside.Time.now();
  std::vector<Handler> Refused;
  for (auto Each = Of.All.begin(); Each != Of.All.end();) {
    if (Each->Until >= When) {
      ++Each;
      continue;
    }
    Refused.push_back(std::move(Each->OnAnswer));
    Each = Of.All.erase(Each);
  }
  for (const Handler &Each : Refused)
    Each(Back);
}

void OperationPermits::setTimer(
    Queue &Of, const std::string &Organisation, Millis Span,
    void (OperationPermits::*Then)(const std::string &)) {
  stopTimer(Of);
  Of.Timer = Outside.Timers.after(Span, [this, Organisation, Then] {
    Queues[Organisation].Timer = 0;
    (this->*Then)(Organisation);
  });
}

void OperationPermits::stopTimer(Queue &Of) {
  if (Of.Timer != 0)
    Outside.Timers.cancel(std::exchange(Of.Timer, 0));
}

} // namespace corianderdyke
