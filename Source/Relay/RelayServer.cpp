/// \file
/// Takes statements of other proxies for the targets that this one is a
/// gateway of.

#include "Relay/RelayServer.h"

namespace corianderdyke {

namespace {

/// A floor that is younger than the last one told by less isn't worth its
/// bytes: callers accept ages of a second and more.
constexpr Millis FloorSpacing(150);

} // namespace

struct RelayServer::Peer : std::enable_shared_from_this<Peer> {
  Peer(Scheduler &Timers, RelayCodec &Frames) : Outbox(Timers, Frames) {}

  RelayOutbox Outbox; ///< Open until the peer is dropped.
  std::map<std::uint32_t, std::unique_ptr<TargetLink>> Links;
  std::map<std::uint32_t, std::uint64_t> Answered; ///< Answers by link.
  std::map<std::string, Millis> FloorTold; ///< By group: when it was proven.

  void send(RelayMessage Body) { Outbox.send(std::move(Body)); }
};

RelayServer::RelayServer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
                         RelayCodec &Frames, TargetConnector &Targets,
                         const FloorTable &Floors)
    : Time(Time), Timers(Timers), Frames(Frames), Targets(Targets),
      Floors(Floors) {
  Streams.setAcceptHandler([this](const std::shared_ptr<PeerStream> &Stream) {
    return accepted(Stream);
  });
}

RelayServer::~RelayServer() = default;

PeerStreamEvents
RelayServer::accepted(const std::shared_ptr<PeerStream> &Stream) {
  auto Made = std::make_shared<Peer>(Timers, Frames);
  Made->Outbox.reset(Stream);
  Peers.insert(Made);
  if (IsStopping)
    Made->send(RelayLeaving{});
  const std::weak_ptr<Peer> Weak = Made;
  return {[this, Weak](const std::string &Frame) {
            if (const auto Held = Weak.lock())
              receive(*Held, Frame);
          },
          [this, Weak] {
            if (const auto Held = Weak.lock())
              drop(*Held);
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
       [this, Weak, Number,
        Group = Body.To.Group](const StatementAnswer &Answer) {
         if (const auto Held = Weak.lock())
           Held->send(RelayAnswer{Number, Held->Answered[Number]++, Answer,
                                  floorUpdateFor(*Held, Group)});
       },
       [Weak, Number](const std::optional<StatementRefusal> &) {
         const auto Held = Weak.lock();
         if (!Held || Held->Links.erase(Number) == 0)
           return;
         Held->Answered.erase(Number);
         Held->send(RelayClose{Number});
       }});
}

// A proxy alone sees few answers of a group's leader, and without a young
// floor each of its reads would have to go there.
std::optional<RelayFloor>
RelayServer::floorUpdateFor(Peer &To, const std::string &Group) const {
  const auto Known = Floors.latest(Group);
  if (!Known)
    return std::nullopt;
  const auto Told = To.FloorTold.find(Group);
  if (Told != To.FloorTold.end() && Known->SentAt - Told->second < FloorSpacing)
    return std::nullopt;
  To.FloorTold[Group] = Known->SentAt;
  return RelayFloor{Known->Position, Time.now() - Known->SentAt};
}

void RelayServer::on(Peer &From, const RelayCommands &Body) {
  const auto Found = From.Links.find(Body.Link);
  // It ended here while the commands were on their way; the other side has
  // been told.
  if (Found == From.Links.end() || !Found->second)
    return;
  Found->second->send(Body.Commands);
}

void RelayServer::on(Peer &From, const RelayClose &Body) {
  From.Links.erase(Body.Link);
  From.Answered.erase(Body.Link);
}

void RelayServer::on(Peer &From, const RelayPing &) { From.send(RelayPong{}); }

void RelayServer::drop(Peer &Gone) {
  const auto Held = Gone.shared_from_this();
  Held->Outbox.reset(nullptr);
  Peers.erase(Held);
  // Outside the list, which their handlers look at.
  const auto Ended = std::exchange(Held->Links, {});
}

void RelayServer::announceStop() {
  IsStopping = true;
  for (const auto &Each : Peers)
    Each->send(RelayLeaving{});
}

} // namespace corianderdyke
