/// \file
/// Messages of a leading control host to its subscribed proxies.

#include "Steering/SteeringNode.h"

#include "Organisations/OrganisationTable.h"

namespace corianderdyke {

namespace {

/// Least time between two directory updates, well below the time within which
/// proxies must stop using a leaving target.
constexpr Millis PublishInterval(50);
/// Pause between two confirmations of this host's leadership for seat requests.
constexpr Millis SeatAnswerInterval(50);
/// An update that a subscriber has not confirmed is resent after this long.
constexpr Millis ResendInterval(400);
/// Requests older than this are dropped, since the proxy has sent another.
constexpr Millis MaxRequestAge(500);
/// A proxy that has sent nothing for this long is removed.
constexpr Millis SubscriberTimeout(3000);

} // namespace

void SteeringNode::on(const Envelope &From, const SubscribeRequest &Body) {
  if (!Leading && (leader().empty() || leader() == Options.Name)) {
    WaitingRequests[Body.Proxy] = {From, Deps.Time.now()};
    return;
  }
  if (!Leading) {
    Deps.Peers.send(From.ReplyTo, Delivery::Datagram,
                    SubscribeRedirect{leader()});
    return;
  }
  // Remove earlier incarnations of a restarted proxy.
  std::erase_if(Subscribers, [&Body](const auto &Each) {
    return Each.first.Name == Body.Proxy.Name && Each.first != Body.Proxy;
  });
  Subscriber &Known = Subscribers[Body.Proxy];
  Known.Address = From.ReplyTo;
  Known.LastContact = Deps.Time.now();
  Known.PlanVersion = Body.PlanVersion;
  Known.Directory = Body.DirectoryHeld;
  Known.Proxies = Body.ProxiesHeld;
  Proxies.update(Body.Self, Body.IsLeaving, Deps.Time.now());
  Coordinator.recordReports(Body.Proxy, Body.Reports);
  Coordinator.recordPressure(Body.Proxy, Body.Sequence, Body.Pressure);
  bringUpToDate(Known);
  queueSeatRequest(From, Body);
  if (!Body.NeedsConfirmation)
    return answer(From.ReplyTo, Body, false);
  awaitReadBarrier([this, To = From.ReplyTo, Body](const Expected<void> &Done) {
    if (Done)
      answer(To, Body, true);
  });
}

// If all processes start together, every proxy sends a request before there is
// a leader. Without a deferred answer a proxy would become ready only after its
// next request.
void SteeringNode::answerWaiting() {
  if (WaitingRequests.empty() ||
      (!Leading && (leader().empty() || leader() == Options.Name)))
    return;
  for (const auto &[Proxy, Each] : std::exchange(WaitingRequests, {}))
    if (Deps.Time.now() - Each.Since < MaxRequestAge)
      receive(Each.Message);
}

void SteeringNode::answer(const Endpoint &To, const SubscribeRequest &Request,
                          bool IsConfirmed) {
  Deps.Peers.send(To, Delivery::Datagram,
                  SubscribeReply{Request.Sequence, IsConfirmed,
                                 State.plan().Version, members(),
                                 Proxies.isReady(Deps.Time.now())
                                     ? static_cast<std::uint32_t>(std::max(
                                           Subscribers.size(), Proxies.size()))
                                     : 0});
}

std::vector<std::string> SteeringNode::members() const {
  std::vector<std::string> Out;
  for (const Member &Each : Agreement.voters())
    Out.push_back(Each.Name);
  return Out;
}

void SteeringNode::bringUpToDate(Subscriber &To) {
  const Millis Now = Deps.Time.now();
  // Sent before the plan: with the plan a proxy begins to open connections and
  // must know how many other proxies do.
  if (Proxies.isReady(Now) && To.Proxies != proxiesVersion() &&
      Now - To.ProxiesSentAt >= ResendInterval) {
    To.ProxiesSentAt = Now;
    Deps.Peers.send(To.Address, Delivery::Stream, proxyListUpdate(To.Proxies));
  }
  if (To.PlanVersion < State.plan().Version &&
      Now - To.PlanSentAt >= ResendInterval) {
    To.PlanSentAt = Now;
    Deps.Peers.send(To.Address, Delivery::Stream, planUpdate());
  }
  if (To.Directory != directoryVersion() &&
      Now - To.DirectorySentAt >= ResendInterval)
    sendDirectory(To, To.Directory);
}

const PreparedMessage &SteeringNode::planUpdate() {
  if (SharedPlanVersion != State.plan().Version) {
    SharedPlanVersion = State.plan().Version;
    SharedPlan = Deps.Peers.prepare(
        PlanUpdate{replaceKeysByDigests(State.plan(), Options.KeySecret)});
  }
  return SharedPlan;
}

const PreparedMessage &
SteeringNode::SharedUpdates::of(const DirectoryVersion &From,
                                const DirectoryVersion &Version,
                                const std::function<PreparedMessage()> &Make) {
  if (To != Version) {
    To = Version;
    ByFrom.clear();
  }
  const auto Known = ByFrom.find(From);
  return Known != ByFrom.end() ? Known->second
                               : ByFrom.emplace(From, Make()).first->second;
}

// Revisions of another term are not comparable.
DirectoryVersion SteeringNode::baseOf(const DirectoryVersion &Known) const {
  return Known.Term == Agreement.term() ? Known : DirectoryVersion{};
}

const PreparedMessage &
SteeringNode::directoryUpdate(const DirectoryVersion &Known) {
  const DirectoryVersion From = baseOf(Known);
  return SharedDirectory.of(From, directoryVersion(), [&] {
    return Deps.Peers.prepare(DirectoryUpdate{
        From, directoryVersion(),
        From == DirectoryVersion{} ? Directory.all()
                                   : Directory.changedSince(From.Revision)});
  });
}

const PreparedMessage &
SteeringNode::proxyListUpdate(const DirectoryVersion &Known) {
  const DirectoryVersion From = baseOf(Known);
  return SharedProxies.of(From, proxiesVersion(), [&] {
    RecordProxies Changed;
    if (From == DirectoryVersion{})
      Changed.Present = Proxies.all();
    else
      Changed = Proxies.changedSince(From.Revision);
    return Deps.Peers.prepare(ProxyListUpdate{From, proxiesVersion(),
                                              std::move(Changed.Present),
                                              std::move(Changed.Removed)});
  });
}

void SteeringNode::sendDirectory(Subscriber &To,
                                 const DirectoryVersion &Known) {
  To.DirectorySentAt = Deps.Time.now();
  To.DirectorySent = directoryVersion();
  Deps.Peers.send(To.Address, Delivery::Datagram, directoryUpdate(Known));
}

// Hundreds of targets may register within a second, so all changes of one
// interval are sent in one update.
void SteeringNode::publish() {
  const Millis Now = Deps.Time.now();
  if (!Leading || Published == directoryVersion() ||
      Now - PublishedAt < PublishInterval)
    return;
  const DirectoryVersion Before = std::exchange(Published, directoryVersion());
  PublishedAt = Now;
  for (auto &[Id, Each] : Subscribers)
    sendDirectory(Each, Each.DirectorySent);
  // The other control hosts get the update too, so that the next leader starts
  // with this directory.
  const PreparedMessage &Update = directoryUpdate(Before);
  for (const std::string &Host : members())
    if (Host != Options.Name)
      Deps.Peers.send({Host, Options.PeerPort}, Delivery::Datagram, Update);
}

void SteeringNode::on(const Envelope &, const DirectoryUpdate &Body) {
  Directory.merge(Body.Targets, Deps.Time.now());
}

void SteeringNode::queueSeatRequest(const Envelope &From,
                                    const SubscribeRequest &Body) {
  if (Body.Seats.Sequence == 0)
    return;
  SeatRequests[Body.Proxy] = {From.ReplyTo, Body.Seats};
  answerSeats();
}

// One confirmation of this host's leadership serves all requests received
// before it, because it takes a round trip to each control host.
void SteeringNode::answerSeats() {
  const Millis Now = Deps.Time.now();
  if (SeatRequests.empty() || IsConfirmingSeats ||
      Now - SeatsAnsweredAt < SeatAnswerInterval)
    return;
  SeatsAnsweredAt = Now;
  IsConfirmingSeats = true;
  awaitReadBarrier(
      [this, ReceivedAt = Now, Term = Agreement.term(),
       Requests = std::exchange(SeatRequests, {})](const Expected<void> &Done) {
        if (Term != Agreement.term())
          return;
        IsConfirmingSeats = false;
        if (!Done)
          return;
        for (const auto &[Proxy, Each] : Requests)
          if (auto Grant = Seats.answer(Proxy, Each.Request, ReceivedAt))
            Deps.Peers.send(Each.From, Delivery::Datagram, std::move(*Grant));
      });
}

void SteeringNode::recordSeats() {
  if (IsRecordingSeats)
    return;
  SeatAssignments Assignments = Seats.takeProposedAssignments();
  if (Assignments.empty())
    return;
  IsRecordingSeats = true;
  propose({Deps.Time.wallTime(), RecordQuotaSeats{Assignments}},
          [this, Assignments](std::optional<std::uint64_t> Index) {
            IsRecordingSeats = false;
            if (Index)
              Seats.applyCommitted(Assignments, Deps.Time.now());
          });
}

// Only the leading host knows the subscribed proxies.
void SteeringNode::on(const Envelope &From,
                      const ForwardedPermitRequest &Body) {
  if (!Options.PermitForwarding)
    return;
  bool IsSenderSubscribed = false;
  std::optional<Endpoint> Holder;
  for (const auto &[Id, Each] : Subscribers) {
    IsSenderSubscribed = IsSenderSubscribed || Each.Address == From.ReplyTo;
    if (Each.Address.Address == Body.Holder)
      Holder = Each.Address;
  }
  const auto Passed = Forwarder.forward(From.ReplyTo, IsSenderSubscribed,
                                        Holder, Body.Request, Deps.Time.now());
  if (Passed)
    Deps.Peers.send(Passed->To, Delivery::Datagram, Passed->Request);
}

void SteeringNode::on(const Envelope &From, const PermitReply &Body) {
  if (const auto Returned = Forwarder.takeReply(From.ReplyTo, Body))
    Deps.Peers.send(Returned->To, Delivery::Datagram, Returned->Reply);
}

void SteeringNode::removeExpiredSubscribers() {
  for (auto Each = Subscribers.begin(); Each != Subscribers.end();)
    if (Deps.Time.now() - Each->second.LastContact > SubscriberTimeout)
      Each = Subscribers.erase(Each);
    else
      ++Each;
  Proxies.removeExpired(Deps.Time.now(), SubscriberTimeout);
}

} // namespace corianderdyke
