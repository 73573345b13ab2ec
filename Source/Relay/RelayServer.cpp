/// \file
/// Accepts statements of other proxies for the targets for which this proxy is
/// a gateway.

#include "Relay/RelayServer.h"

#include <algorithm>
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

  struct OpenLink {
    std::unique_ptr<TargetLink> Link;
    std::uint64_t Answered = 0;
    /// When unanswered commands were received.
    std::deque<Millis> Asked;
    SessionPhase Phase = SessionPhase::Idle; ///< Of the last answer.
  };

  RelayOutbox Outbox; ///< Open until the peer is dropped.
  std::map<std::uint32_t, OpenLink> Links;
  std::map<std::string, Millis> LastFloors; ///< SentAt of the last, by group.
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
  if (RefusesFrom)
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
  From.Links[Number].Link = Targets.open(
      Body.To,
      {[] {},
       [this, Weak, Number, To = Body.To](const StatementAnswer &Answer) {
         if (const auto Strong = Weak.lock())
           forwardAnswer(*Strong, To, Number, Answer);
       },
       [Weak, Number](const std::optional<StatementRefusal> &) {
         const auto Strong = Weak.lock();
         if (!Strong || Strong->Links.erase(Number) == 0)
           return;
         Strong->send(RelayClose{Number});
       }});
}

void RelayServer::forwardAnswer(Peer &To, const TargetAddress &From,
                                std::uint32_t Number,
                                const StatementAnswer &Answer) {
  const auto Found = To.Links.find(Number);
  if (Found == To.Links.end())
    return;
  Peer::OpenLink &Link = Found->second;
  if (Link.Asked.empty()) {
    // The peer may have sent a command meanwhile, for whose answer it would
    // take this one. The link's destruction may raise events.
    const auto Ended = To.Links.extract(Found);
    return To.send(RelayClose{Number});
  }
  const Millis AskedAt = Link.Asked.front();
  Link.Asked.pop_front();
  Link.Phase = Answer.Phase;
  To.send(RelayAnswer{Number, Link.Answered++, Answer,
                      floorUpdateFor(To, From.Group),
                      reportFor(To, From, AskedAt, Answer)});
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
RelayServer::reportFor(Peer &To, const TargetAddress &Asked, Millis AskedAt,
                       const StatementAnswer &Answer) {
  if (Replicas == nullptr)
    return std::nullopt;
  const Millis Now = Time.now();
  if (Answer.Position)
    Replicas->recordAnswer(Asked.Group, Asked.Id, *Answer.Position, AskedAt,
                           Now);
  // The answer itself states the position of its target.
  return Replicas->nextReport(Asked.Group, Asked.Id, To.LastReports, Now);
}

void RelayServer::on(Peer &From, const RelayCommands &Body) {
  const auto Found = From.Links.find(Body.Link);
  // The link closed here while the commands were in transit; a RelayClose has
  // been sent.
  if (Found == From.Links.end() || !Found->second.Link)
    return;
  Peer::OpenLink &Link = Found->second;
  const Millis Now = Time.now();
  // Commands behind unanswered ones belong to a statement under way.
  if (RefusesFrom && Now >= *RefusesFrom && Link.Asked.empty() &&
      startsStatement(Body.Commands))
    return refuse(From, Body);
  Link.Asked.insert(Link.Asked.end(), Body.Commands.size(), Now);
  Link.Link->send(Body.Commands);
}

// A rollback releases the target's connection; it is not refused.
bool RelayServer::startsStatement(const std::vector<TargetCommand> &Commands) {
  return std::any_of(Commands.begin(), Commands.end(),
                     [](const TargetCommand &Each) {
                       return Each.Operation != TargetCommand::Kind::Rollback &&
                              !isSessionStateCommand(Each.Operation);
                     });
}

void RelayServer::refuse(Peer &From, const RelayCommands &Body) {
  // Its transaction is rolled back with the link. A link without one may have
  // missed changes of its session state, too. It is taken out of the map first,
  // because sending may end the stream with its links.
  auto Ended = From.Links.extract(Body.Link);
  Peer::OpenLink &Link = Ended.mapped();
  const bool IsInTransaction = Link.Phase != SessionPhase::Idle;
  for (const TargetCommand &Each : Body.Commands) {
    StatementAnswer Out;
    if (!isSessionStateCommand(Each.Operation))
      Out.Refusal = StatementRefusal{IsInTransaction ? RefusalCode::Aborted
                                                     : RefusalCode::Busy,
                                     "the gateway stops"};
    Out.Phase = IsInTransaction ? SessionPhase::Failed : SessionPhase::Idle;
    From.send(RelayAnswer{Body.Link, Link.Answered++, std::move(Out),
                          std::nullopt, std::nullopt});
  }
  From.send(RelayClose{Body.Link});
}

void RelayServer::on(Peer &From, const RelayClose &Body) {
  From.Links.erase(Body.Link);
}

void RelayServer::on(Peer &From, const RelayPing &) { From.send(RelayPong{}); }

void RelayServer::drop(Peer &Closed) {
  const auto Strong = Closed.shared_from_this();
  Strong->Outbox.reset(nullptr);
  Peers.erase(Strong);
  // Moved out of the map, because the links' handlers access it.
  const auto Ended = std::exchange(Strong->Links, {});
}

void RelayServer::announceStop(Millis RefuseFrom) {
  RefusesFrom = RefuseFrom;
  for (const auto &Each : Peers)
    Each->send(RelayLeaving{});
}

} // namespace corianderdyke
