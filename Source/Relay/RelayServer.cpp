/// \file
/// Accepts statements of other proxies for the targets for which this proxy is
/// a gateway.

#include "Relay/RelayServer.h"

#include <deque>

namespace corianderdyke {

namespace {

/// A floor is sent to a peer only if it is newer than the last one for its
/// group by at least this. A smaller update is not worth its bytes, because
/// callers accept ages of a second and more.
constexpr Millis FloorInterval(150);
/// Interval in which the broker is asked whether targets that it could not
/// reach still fail. It is a tenth of the time that they must not fail.
constexpr Millis ReachCheckInterval(100);

} // namespace

struct RelayServer::Peer : std::enable_shared_from_this<Peer> {
  Peer(Scheduler &Timers, RelayCodec &Frames) : Outbox(Timers, Frames) {}

  RelayOutbox Outbox; ///< Open until the peer is dropped.
  std::map<std::uint32_t, std::unique_ptr<TargetLink>> Links;
  std::map<std::uint32_t, std::uint64_t> Answered; ///< Answers by link.
  std::map<std::string, Millis> LastFloors; ///< SentAt of the last, by group.
  /// When unanswered commands were received, by link; empty without a table of
  /// replicas.
  std::map<std::uint32_t, std::deque<Millis>> Asked;
  ReplicaTable::SentReports LastReports;

  void send(RelayMessage Body) { Outbox.send(std::move(Body)); }
};

RelayServer::RelayServer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
                         RelayCodec &Frames, TargetConnector &Targets,
                         const FloorTable &Floors, ReplicaTable *Replicas)
    : Time(Time), Timers(Timers), Frames(Frames), Targets(Targets),
      Floors(Floors), Replicas(Replicas) {
  Streams.setAcceptHandler([this](const std::shared_ptr<PeerStream> &Stream) {
    return accepted(Stream);
  });
}

RelayServer::~RelayServer() {
  if (ReachTimer != 0)
    Timers.cancel(ReachTimer);
}

void RelayServer::reportReach(TargetBroker &Broker) {
  Reported = &Broker;
  // The broker emits the signal while it goes through its targets and links,
  // and sending may end a stream with its links.
  Broker.signalTargetFailure().connect(sigc::hide(sigc::bind(
      sigc::mem_fun(*this, &RelayServer::updateReachAfter), Millis(0))));
}

void RelayServer::updateReachAfter(Millis Delay) {
  if (ReachTimer != 0)
    Timers.cancel(ReachTimer);
  ReachTimer = Timers.after(Delay, [this] {
    ReachTimer = 0;
    updateReach();
  });
}

void RelayServer::updateReach() {
  const Millis Now = Time.now();
  const bool HasChanged = Unreachable.update(Reported->failingTargets(), Now);
  if (HasChanged || (!Unreachable.isEmpty() &&
                     Now - ReachSentAt >= ReportedTargets::RepeatInterval))
    sendReach();
  if (!Unreachable.isEmpty())
    updateReachAfter(ReachCheckInterval);
}

void RelayServer::sendReach() {
  ReachSentAt = Time.now();
  const RelayReach Body{Unreachable.names(), Reported->load()};
  // A copy, because sending may end a stream, which drops its peer.
  const auto Current = Peers;
  for (const auto &Each : Current)
    Each->send(Body);
}

PeerStreamEvents
RelayServer::accepted(const std::shared_ptr<PeerStream> &Stream) {
  auto Created = std::make_shared<Peer>(Timers, Frames);
  Created->Outbox.reset(Stream);
  Peers.insert(Created);
  if (IsStopping)
    Created->send(RelayLeaving{});
  if (!Unreachable.isEmpty())
    Created->send(RelayReach{Unreachable.names(), Reported->load()});
  const std::weak_ptr<Peer> Weak = Created;
  return {[this, Weak](const std::string &Frame) {
            if (const auto Strong = Weak.lock())
              receive(*Strong, Frame);
          },
          [this, Weak] {
            if (const auto Strong = Weak.lock())
              drop(*Strong);
          }};
}

void RelayServer::receive(Peer &From, const std::string &Frame) {
  const auto Messages = Frames.read(Frame);
  if (!Messages)
    return drop(From);
  for (const RelayMessage &Each : *Messages)
    std::visit([&](const auto &Body) { on(From, Body); }, Each);
}

void RelayServer::on(Peer &From, const RelayOpen &Body) {
  const std::uint32_t Number = Body.Link;
  const std::weak_ptr<Peer> Weak = From.shared_from_this();
  From.Links[Number] = Targets.open(
      Body.To,
      {[] {},
       [this, Weak, Number, To = Body.To](const StatementAnswer &Answer) {
         if (const auto Strong = Weak.lock())
           Strong->send(RelayAnswer{Number, Strong->Answered[Number]++, Answer,
                                    floorUpdateFor(*Strong, To.Group),
                                    reportFor(*Strong, To, Number, Answer)});
       },
       [Weak, Number](const std::optional<StatementRefusal> &) {
         const auto Strong = Weak.lock();
         if (!Strong || Strong->Links.erase(Number) == 0)
           return;
         Strong->Answered.erase(Number);
         Strong->Asked.erase(Number);
         Strong->send(RelayClose{Number});
       }});
}

// A single proxy receives few answers from a group's leader, and without a
// recent floor it would have to send each read to the leader.
std::optional<RelayFloor>
RelayServer::floorUpdateFor(Peer &To, const std::string &Group) const {
  const auto Latest = Floors.latest(Group);
  if (!Latest)
    return std::nullopt;
  const auto LastFloor = To.LastFloors.find(Group);
  if (LastFloor != To.LastFloors.end() &&
      Latest->SentAt - LastFloor->second < FloorInterval)
    return std::nullopt;
  To.LastFloors[Group] = Latest->SentAt;
  return RelayFloor{Latest->Position, Time.now() - Latest->SentAt};
}

std::optional<ReplicaReport>
RelayServer::reportFor(Peer &To, const TargetAddress &Asked, std::uint32_t Link,
                       const StatementAnswer &Answer) {
  if (Replicas == nullptr)
    return std::nullopt;
  const Millis Now = Time.now();
  std::deque<Millis> &SentAt = To.Asked[Link];
  if (!SentAt.empty()) {
    if (Answer.Position)
      Replicas->recordAnswer(Asked.Group, Asked.Id, *Answer.Position,
                             SentAt.front(), Now);
    SentAt.pop_front();
  }
  // The answer itself states the position of its target.
  return Replicas->nextReport(Asked.Group, Asked.Id, To.LastReports, Now);
}

void RelayServer::on(Peer &From, const RelayCommands &Body) {
  const auto Found = From.Links.find(Body.Link);
  // The link closed here while the commands were in transit; a RelayClose has
  // been sent.
  if (Found == From.Links.end() || !Found->second)
    return;
  if (Replicas != nullptr) {
    std::deque<Millis> &SentAt = From.Asked[Body.Link];
    SentAt.insert(SentAt.end(), Body.Commands.size(), Time.now());
  }
  Found->second->send(Body.Commands);
}

void RelayServer::on(Peer &From, const RelayClose &Body) {
  From.Links.erase(Body.Link);
  From.Answered.erase(Body.Link);
  From.Asked.erase(Body.Link);
}

void RelayServer::on(Peer &From, const RelayPing &) { From.send(RelayPong{}); }

void RelayServer::drop(Peer &Closed) {
  const auto Strong = Closed.shared_from_this();
  Strong->Outbox.reset(nullptr);
  Peers.erase(Strong);
  // Moved out of the map, because the links' handlers access it.
  const auto Ended = std::exchange(Strong->Links, {});
}

void RelayServer::announceStop() {
  IsStopping = true;
  for (const auto &Each : Peers)
    Each->send(RelayLeaving{});
}

} // namespace corianderdyke
