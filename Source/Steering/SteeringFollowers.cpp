/// \file
/// What a leading control host tells the proxies that follow it.

#include "Steering/SteeringNode.h"

#include "Organisations/OrganisationTable.h"

namespace corianderdyke {

namespace {

/// Least time between two directory updates, well below the time within which
/// proxies must stop using a target that leaves.
constexpr Millis PublishInterval(50);
/// Between two confirmations of this host's lead for requests for seats.
constexpr Millis SeatsPause(50);
/// What a follower didn't confirm is sent again after this long.
constexpr Millis SendAgainAfter(400);
/// A proxy that asked longer ago has asked again by now.
constexpr Millis WaitingKept(500);
/// A proxy that wasn't heard for this long doesn't count any more.
constexpr Millis FollowerKept(3000);

} // namespace

void SteeringNode::on(const Envelope &From, const SubscribeRequest &Body) {
  if (!Leading && (leader().empty() || leader() == Options.Name)) {
    Waiting[Body.Proxy] = {From, Deps.Time.now()};
    return;
  }
  if (!Leading) {
    Deps.Peers.send(From.ReplyTo, Delivery::Datagram,
                    SubscribeRedirect{leader()});
    return;
  }
  // A restarted proxy counts once.
  std::erase_if(Followers, [&Body](const auto &Each) {
    return Each.first.Name == Body.Proxy.Name && Each.first != Body.Proxy;
  });
  Subscriber &Known = Followers[Body.Proxy];
  Known.Address = From.ReplyTo;
  Known.LastContact = Deps.Time.now();
  Known.PlanVersion = Body.PlanVersion;
  Known.Directory = Body.DirectoryHeld;
  Known.Proxies = Body.ProxiesHeld;
  Proxies.update(Body.Self, Body.IsLeaving, Deps.Time.now());
  Coordinator.recordReports(Body.Proxy, Body.Reports);
  bringUpToDate(Known);
  queueSeatRequest(From, Body);
  if (!Body.NeedsConfirmation)
    return answer(From.ReplyTo, Body, false);
  awaitReadBarrier([this, To = From.ReplyTo, Body](const Expected<void> &Done) {
    if (Done)
      answer(To, Body, true);
  });
}

// Load pattern: all processes start together, and every proxy asks before
// there is a leader. Answered only when it asks again, a proxy
// would become ready later.
void SteeringNode::answerWaiting() {
  if (Waiting.empty() ||
      (!Leading && (leader().empty() || leader() == Options.Name)))
    return;
  for (const auto &[Proxy, Each] : std::exchange(Waiting, {}))
    if (Deps.Time.now() - Each.Since < WaitingKept)
      receive(Each.Message);
}

void SteeringNode::answer(const Endpoint &To, const SubscribeRequest &Request,
                          bool Proven) {
  Deps.Peers.send(
      To, Delivery::Datagram,
      SubscribeReply{Request.Sequence, Proven, State.plan().Version, members(),
                     Proxies.isReady(Deps.Time.now())
                         ? static_cast<std::uint32_t>(
                               std::max(Followers.size(), Proxies.size()))
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
  // Ahead of the plan: with it a proxy begins to open connections, and must
  // know how many others do.
  if (Proxies.isReady(Now) && To.Proxies != proxiesVersion() &&
      Now - To.ProxiesSentAt >= SendAgainAfter) {
    To.ProxiesSentAt = Now;
    Deps.Peers.send(To.Address, Delivery::Stream, proxyListUpdate(To.Proxies));
  }
  if (To.PlanVersion < State.plan().Version &&
      Now - To.PlanSentAt >= SendAgainAfter) {
    To.PlanSentAt = Now;
    Deps.Peers.send(To.Address, Delivery::Stream, planUpdate());
  }
  if (To.Directory != directoryVersion() &&
      Now - To.DirectorySentAt >= SendAgainAfter)
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

// What another leader counted says nothing here.
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

// Load pattern: hundreds of targets say that they are there within a second.
// All that changed within one interval goes out together.
void SteeringNode::publish() {
  const Millis Now = Deps.Time.now();
  if (!Leading || Published == directoryVersion() ||
      Now - PublishedAt < PublishInterval)
    return;
  const DirectoryVersion Before = std::exchange(Published, directoryVersion());
  PublishedAt = Now;
  for (auto &[Id, Each] : Followers)
    sendDirectory(Each, Each.DirectorySent);
  // A successor starts with what this leader knew.
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

// One confirmation of this host's lead serves all requests that came before
// it: it costs a message to each control host and back.
void SteeringNode::answerSeats() {
  const Millis Now = Deps.Time.now();
  if (SeatRequests.empty() || IsConfirmingSeats ||
      Now - SeatsAnsweredAt < SeatsPause)
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
  SeatAssignments News = Seats.takeProposedAssignments();
  if (News.empty())
    return;
  IsRecordingSeats = true;
  propose({Deps.Time.wallTime(), RecordQuotaSeats{News}},
          [this, News](std::optional<std::uint64_t> Index) {
            IsRecordingSeats = false;
            if (Index)
              Seats.applyCommitted(News, Deps.Time.now());
          });
}

void SteeringNode::removeExpiredSubscribers() {
  for (auto Each = Followers.begin(); Each != Followers.end();)
    if (Deps.Time.now() - Each->second.LastContact > FollowerKept)
      Each = Followers.erase(Each);
    else
      ++Each;
  Proxies.removeExpired(Deps.Time.now(), FollowerKept);
}

} // namespace corianderdyke
