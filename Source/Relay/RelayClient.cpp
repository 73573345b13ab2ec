/// \file
/// Sends statements through another proxy.

#include "Relay/RelayClient.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A gateway with outstanding answers that has sent nothing for this long gets
/// a ping. Most statements take less.
constexpr Millis PingAfter(60);
/// After this much silence despite a ping, links with outstanding answers are
/// notified, because reads may be waiting for these answers.
constexpr Millis NotifyAfter(120);
/// After this much silence despite a ping a gateway gets no new statements. It
/// may still run on a slow host, so its links are not closed yet.
constexpr Millis SuspectAfter(200);
/// The stream is closed after this much silence. Otherwise statements at a
/// frozen or partitioned gateway would be stuck until their callers time out.
/// It is a few times the longest ping response time of a gateway on a slow
/// host.
constexpr Millis CloseAfter(400);
/// Interval of the liveness check. Each of the limits above is exceeded by at
/// most half of the distance between two limits.
constexpr Millis CheckInterval(30);
/// After the stream ended, other gateways are used for this long: a restart
/// takes about as long, and each attempt costs the caller a few milliseconds.
constexpr Millis AvoidFor(300);
/// Interval of the liveness check if gateways are probed. The limit of silence
/// may be as low as 60 ms, and the ping is sent after half of it.
constexpr Millis ProbingCheckInterval(15);
/// Checks after a ping before its lack of an answer counts. If this process has
/// paused, an answer that has arrived is read between two checks.
constexpr std::size_t MinChecksSincePing = 2;

} // namespace

class RelayClient::Link final : public TargetLink {
public:
  Link(RelayClient &Owner, std::uint32_t Number, std::string Group,
       Events Handlers)
      : Owner(Owner), Number(Number), Group(std::move(Group)),
        Handlers(std::move(Handlers)) {
    Owner.Links[Number] = this;
  }

  ~Link() override {
    if (!IsClosed && Owner.Links.erase(Number) != 0)
      Owner.send(RelayClose{Number});
  }

  void send(const std::vector<TargetCommand> &Commands) override {
    if (IsClosed)
      return;
    SentAt.insert(SentAt.end(), Commands.size(), Owner.Time.now());
    Owner.send(RelayCommands{Number, Commands});
    Owner.startLivenessCheck();
  }
  bool isShared() const override { return true; }

  bool awaitsAnswers() const { return !SentAt.empty(); }

  /// Returns false if \p Body is not the answer to the oldest command.
  bool handleAnswer(const RelayAnswer &Body) {
    if (SentAt.empty() || Body.Index != NextAnswer++)
      return false;
    // The gateway answered after the command was sent and had asked the leader
    // the floor's age before, so this is no later than that request.
    if (Body.Floor)
      Owner.Floors.record(Group, Body.Floor->Shown,
                          SentAt.front() - Body.Floor->Age, Owner.Time.now());
    if (Body.Report && Owner.Replicas != nullptr)
      Owner.Replicas->recordReport(Group, *Body.Report, Owner.Time.now());
    SentAt.pop_front();
    const auto Handler = Handlers.OnAnswer;
    Handler(Body.Answer);
    return true;
  }

  void handleClose() {
    IsClosed = true;
    const auto Handler = Handlers.OnClose;
    Handler(std::nullopt);
  }

  void handleSilence() {
    const auto Handler = Handlers.OnKeepaliveTimeout;
    if (Handler)
      Handler();
  }

private:
  RelayClient &Owner;
  std::uint32_t Number;
  std::string Group;
  Events Handlers;
  std::deque<Millis> SentAt; ///< Of unanswered commands.
  std::uint64_t NextAnswer = 0;
  bool IsClosed = false;
};

RelayClient::RelayClient(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
                         RelayCodec &Frames, FloorTable &Floors, Endpoint At,
                         ReplicaTable *Replicas, PeerReachHandling Handling)
    : Time(Time), Timers(Timers), Streams(Streams), Floors(Floors),
      Frames(Frames), At(std::move(At)), Replicas(Replicas),
      Outbox(Timers, Frames), Handling(std::move(Handling)) {}

RelayClient::~RelayClient() {
  if (LivenessTimer != 0)
    Timers.cancel(LivenessTimer);
  if (ProbeTimer != 0)
    Timers.cancel(ProbeTimer);
}

std::unique_ptr<TargetLink> RelayClient::open(const TargetAddress &To,
                                              TargetLink::Events Events) {
  if (!Outbox.isOpen())
    connect();
  const std::uint32_t Number = NextLink++;
  auto Created =
      std::make_unique<Link>(*this, Number, To.Group, std::move(Events));
  send(RelayOpen{Number, To});
  return Created;
}

bool RelayClient::isAvailable() const {
  const bool IsSuspect =
      Handling.IsEnabled
          ? IsSilent
          : LivenessTimer != 0 && Time.now() - LastReceived >= SuspectAfter;
  return !IsLeaving && !IsSuspect && !Reach.isUnreachable() &&
         Time.now() >= AvoidUntil;
}

Millis RelayClient::silenceLimit() const {
  return Handling.IsEnabled ? RoundTrip.silenceLimit() : NotifyAfter;
}

void RelayClient::recordWanted() {
  Reach.recordWanted(Time.now());
  scheduleProbe();
}

void RelayClient::probe() {
  if (!Outbox.isOpen())
    connect();
}

void RelayClient::scheduleProbe() {
  if (ProbeTimer != 0 || Outbox.isOpen())
    return;
  const Millis Now = Time.now();
  const auto Next = Reach.nextProbeAt(Now);
  if (!Next)
    return;
  ProbeTimer = Timers.after(std::max(Millis(0), *Next - Now), [this] {
    ProbeTimer = 0;
    // Statements may have stopped asking for this gateway.
    if (Outbox.isOpen() || !Reach.nextProbeAt(Time.now()))
      return;
    Reach.recordProbe(Time.now());
    connect();
  });
}

void RelayClient::sendPing() {
  IsPingPending = true;
  ChecksSincePing = 0;
  if (Handling.IsEnabled) {
    PingsSent.push_back(Time.now());
    ++Pings;
  }
  send(RelayPing{});
}

void RelayClient::connect() {
  IsLeaving = false;
  LastReceived = Time.now();
  IsPingPending = false;
  Outbox.reset(
      Streams.connect(At, {[this](const std::string &Frame) { receive(Frame); },
                           [this] { closeStream(); }}));
  if (!Handling.IsEnabled)
    return;
  HasReceived = false;
  IsSilent = false;
  PingsSent.clear();
  Reported.clear();
  // It shows whether the gateway answers at all, and the usual round trip.
  sendPing();
  startLivenessCheck();
}

void RelayClient::send(RelayMessage Body) { Outbox.send(std::move(Body)); }

void RelayClient::receive(const std::string &Frame) {
  LastReceived = Time.now();
  IsPingPending = false;
  const auto Messages = Frames.read(Frame);
  // After an undecodable frame the order of answers is unknown.
  if (!Messages)
    return closeStream();
  HasReceived = true;
  IsSilent = false;
  if (Reach.recordReceived(LastReceived) && Handling.OnChange)
    Handling.OnChange(true);
  for (const RelayMessage &Each : *Messages)
    std::visit([&](const auto &Body) { on(Body); }, Each);
}

void RelayClient::on(const RelayAnswer &Body) {
  const auto Found = Links.find(Body.Link);
  if (Found == Links.end() || Found->second->handleAnswer(Body))
    return;
  // Later answers on this link would be misassigned too.
  send(RelayClose{Body.Link});
  on(RelayClose{Body.Link});
}

void RelayClient::on(const RelayClose &Body) {
  const auto Found = Links.find(Body.Link);
  if (Found == Links.end())
    return;
  Link *Closed = Found->second;
  Links.erase(Found);
  Closed->handleClose();
}

void RelayClient::on(const RelayLeaving &) { IsLeaving = true; }

void RelayClient::on(const RelayPong &) {
  if (PingsSent.empty())
    return;
  RoundTrip.record(Time.now() - PingsSent.front());
  PingsSent.pop_front();
}

void RelayClient::on(const RelayReach &Body) {
  if (Handling.IsEnabled)
    Reported.record(Body.Unreachable, Time.now());
}

void RelayClient::closeStream() {
  // A process that accepts the next stream is a new one.
  IsLeaving = false;
  // A gateway that had answered and was not silent has ended the stream itself,
  // as a process that stops or restarts does.
  const bool IsLost = Handling.IsEnabled && (IsSilent || !HasReceived);
  if (!IsLost)
    AvoidUntil = Time.now() + AvoidFor;
  IsSilent = false;
  Outbox.reset(nullptr);
  if (IsLost) {
    if (Reach.recordLost(Time.now()) && Handling.OnChange)
      Handling.OnChange(false);
    scheduleProbe();
  }
  // Handlers may destroy any of the links, and open others, which belong to the
  // next stream.
  const std::uint32_t FirstOfNextStream = NextLink;
  while (!Links.empty() && Links.begin()->first < FirstOfNextStream) {
    Link *Closed = Links.begin()->second;
    Links.erase(Links.begin());
    Closed->handleClose();
  }
}

// Handlers may close links and open others elsewhere, so links are looked up
// again by number.
void RelayClient::notifySilent() {
  std::vector<std::uint32_t> Waiting;
  for (const auto &[Number, Each] : Links)
    if (Each->awaitsAnswers())
      Waiting.push_back(Number);
  for (const std::uint32_t Number : Waiting)
    if (const auto Found = Links.find(Number); Found != Links.end())
      Found->second->handleSilence();
}

bool RelayClient::awaitsAnswers() const {
  for (const auto &[Number, Each] : Links)
    if (Each->awaitsAnswers())
      return true;
  return false;
}

void RelayClient::startLivenessCheck() {
  if (LivenessTimer != 0)
    return;
  LastReceived = Time.now();
  LivenessTimer = Timers.after(
      Handling.IsEnabled ? ProbingCheckInterval : CheckInterval, [this] {
        LivenessTimer = 0;
        checkLiveness();
      });
}

void RelayClient::checkLiveness() {
  // Callers may time out before the silence is conclusive, so a pending ping
  // alone keeps the check running.
  if (!Outbox.isOpen() || (!awaitsAnswers() && !IsPingPending))
    return;
  const Millis Silence = Time.now() - LastReceived;
  const Millis Limit = silenceLimit();
  ++ChecksSincePing;
  if (Silence >= CloseAfter) {
    IsSilent = true;
    return closeStream();
  }
  // Sent once: an overloaded gateway would otherwise get another ping from
  // hundreds of proxies at each check.
  if (Silence >= (Handling.IsEnabled ? Limit / 2 : PingAfter) && !IsPingPending)
    sendPing();
  LivenessTimer = Timers.after(
      Handling.IsEnabled ? ProbingCheckInterval : CheckInterval, [this] {
        LivenessTimer = 0;
        checkLiveness();
      });
  // Last, because handlers may send on this stream again. Without a timer that
  // would start another check and discard the silence so far.
  if (Silence < Limit)
    return;
  if (Handling.IsEnabled) {
    if (ChecksSincePing < MinChecksSincePing)
      return;
    IsSilent = true;
  }
  notifySilent();
}

} // namespace corianderdyke
