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

void SteeringNode::on(const Envelope &From, const FollowRequest &Body) {
  if (!Leading && (leader().empty() || leader() == Options.Name)) {
    Waiting[Body.Proxy] = {From, Ports.Time.now()};
    return;
  }
  if (!Leading) {
    Ports.Peers.send(From.ReplyTo, Delivery::Datagram,
                     FollowElsewhere{leader()});
    return;
  }
  // A restarted proxy counts once.
  std::erase_if(Followers, [&Body](const auto &Each) {
    return Each.first.Name == Body.Proxy.Name && Each.first != Body.Proxy;
  });
  Follower &Known = Followers[Body.Proxy];
  Known.Address = From.ReplyTo;
  Known.LastHeard = Ports.Time.now();
  Known.PlanVersion = Body.PlanVersion;
  Known.Directory = Body.Directory;
  Known.Proxies = Body.Proxies;
  Proxies.hear(Body.Self, Body.IsLeaving, Ports.Time.now());
  Coordinator.noteSightings(Body.Proxy, Body.Sightings);
  bringUpToDate(Known);
  takeSeatRequest(From, Body);
  if (!Body.NeedsProof)
    return answer(From.ReplyTo, Body, false);
  barrier([this, To = From.ReplyTo, Body](const Expected<void> &Done) {
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
    if (Ports.Time.now() - Each.Since < WaitingKept)
      receive(Each.Said);
}

void SteeringNode::answer(const Endpoint &To, const FollowRequest &Request,
                          bool Proven) {
  Ports.Peers.send(
      To, Delivery::Datagram,
      FollowReply{Request.Sequence, Proven, State.plan().Version, members(),
                  Proxies.isSettled(Ports.Time.now())
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

void SteeringNode::bringUpToDate(Follower &To) {
  const Millis Now = Ports.Time.now();
  // Ahead of the plan: with it a proxy begins to open connections, and must
  // know how many others do.
  if (Proxies.isSettled(Now) && To.Proxies != proxiesVersion() &&
      Now - To.ProxiesSentAt >= SendAgainAfter) {
    To.ProxiesSentAt = Now;
    Ports.Peers.send(To.Address, Delivery::Stream, proxyListUpdate(To.Proxies));
  }
  if (To.PlanVersion < State.plan().Version &&
      Now - To.PlanSentAt >= SendAgainAfter) {
    To.PlanSentAt = Now;
    Ports.Peers.send(To.Address, Delivery::Stream, planUpdate());
  }
  if (To.Directory != directoryVersion() &&
      Now - To.DirectorySentAt >= SendAgainAfter)
    sendDirectory(To, To.Directory);
}

const PreparedMessage &SteeringNode::planUpdate() {
  if (SharedPlanVersion != State.plan().Version) {
    SharedPlanVersion = State.plan().Version;
    SharedPlan = Ports.Peers.prepare(
        PlanUpdate{withoutKeys(State.plan(), Options.KeySecret)});
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
    return Ports.Peers.prepare(DirectoryUpdate{
        From, directoryVersion(),
        From == DirectoryVersion{} ? Directory.all()
                                   : Directory.changedSince(From.Revision)});
  });
}

const PreparedMessage &
SteeringNode::proxyListUpdate(const DirectoryVersion &Known) {
  const DirectoryVersion From = baseOf(Known);
  return SharedProxies.of(From, proxiesVersion(), [&] {
    NoteProxies Changed;
    if (From == DirectoryVersion{})
      Changed.Present = Proxies.all();
    else
      Changed = Proxies.changedSince(From.Revision);
    return Ports.Peers.prepare(ProxyListUpdate{From, proxiesVersion(),
                                               std::move(Changed.Present),
                                               std::move(Changed.Gone)});
  });
}

void SteeringNode::sendDirectory(Follower &To, const DirectoryVersion &Known) {
  To.DirectorySentAt = Ports.Time.now();
  To.DirectorySent = directoryVersion();
  Ports.Peers.send(To.Address, Delivery::Datagram, directoryUpdate(Known));
}

// Load pattern: hundreds of targets say that they are there within a second.
// All that changed within one interval goes out together.
void SteeringNode::publish() {
  const Millis Now = Ports.Time.now();
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
      Ports.Peers.send({Host, Options.PeerPort}, Delivery::Datagram, Update);
}

void SteeringNode::on(const Envelope &, const DirectoryUpdate &Body) {
  Directory.merge(Body.Targets, Ports.Time.now());
}

void SteeringNode::takeSeatRequest(const Envelope &From,
                                   const FollowRequest &Body) {
  if (Body.Seats.Sequence == 0)
    return;
  SeatRequests[Body.Proxy] = {From.ReplyTo, Body.Seats};
  answerSeats();
}

// One confirmation of this host's lead serves all requests that came before
// it: it costs a message to each control host and back.
void SteeringNode::answerSeats() {
  const Millis Now = Ports.Time.now();
  if (SeatRequests.empty() || IsConfirmingSeats ||
      Now - SeatsAnsweredAt < SeatsPause)
    return;
  SeatsAnsweredAt = Now;
  IsConfirmingSeats = true;
  barrier(
      [this, ReceivedAt = Now, Term = Agreement.term(),
       Requests = std::exchange(SeatRequests, {})](const Expected<void> &Done) {
        if (Term != Agreement.term())
          return;
        IsConfirmingSeats = false;
        if (!Done)
          return;
        for (const auto &[Proxy, Each] : Requests)
          if (auto Grant = Seats.answer(Proxy, Each.Request, ReceivedAt))
            Ports.Peers.send(Each.From, Delivery::Datagram, std::move(*Grant));
      });
}

void SteeringNode::noteSeats() {
  if (IsNotingSeats)
    return;
  NotedSeats News = Seats.takeNews();
  if (News.empty())
    return;
  IsNotingSeats = true;
  propose({Ports.Time.wallTime(), NoteSeats{News}},
          [this, News](std::optional<std::uint64_t> Index) {
            IsNotingSeats = false;
            if (Index)
              Seats.noted(News, Ports.Time.now());
          });
}

void SteeringNode::dropSilentFollowers() {
  for (auto Each = Followers.begin(); Each != Followers.end();)
    if (Ports.Time.now() - Each->second.LastHeard > FollowerKept)
      Each = Followers.erase(Each);
    else
      ++Each;
  Proxies.dropSilent(Ports.Time.now(), FollowerKept);
}

} // namespace corianderdyke
