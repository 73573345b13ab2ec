/// \file
/// Sends statements through one other proxy.

#include "Relay/RelayClient.h"

namespace corianderdyke {

namespace {

/// A gateway that owes answers and was silent for this long is sent a
/// keepalive: longer than most statements take.
constexpr Millis PingAfter(60);
/// Silent for this long although asked, those that wait for reads are told.
constexpr Millis DoubtAfter(120);
/// Silent for this long although asked, it gets nothing new. It may still be a
/// live one on a slow host, so what it holds isn't given up yet.
constexpr Millis SuspectAfter(200);
/// Silent for this long, it's given up: a frozen or cut off gateway would
/// else hold what it has until callers' times are over. It's a few times the
/// longest that a live one on a slow host takes to answer a ping.
constexpr Millis GiveUpAfter(400);
/// How often a silence is looked at, so that none of the bounds is overrun by
/// more than half of what lies between them.
constexpr Millis WatchInterval(30);
/// After it couldn't be reached others are asked for this long: restarts take
/// about that, and each try costs its caller a few milliseconds.
constexpr Millis AvoidFor(300);

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

  /// False where it can't be the answer to the oldest command.
  bool answered(const RelayAnswer &Body) {
    if (SentAt.empty() || Body.Index != NextAnswer++)
      return false;
    // The gateway answered after this was sent, and asked the leader by the
    // floor's age before that.
    if (Body.Floor)
      Owner.Floors.record(Group, Body.Floor->Shown,
                          SentAt.front() - Body.Floor->Age, Owner.Time.now());
    SentAt.pop_front();
    const auto Handler = Handlers.OnAnswer;
    Handler(Body.Answer);
    return true;
  }

  void closed() {
    IsClosed = true;
    const auto Handler = Handlers.OnClose;
    Handler(std::nullopt);
  }

  void silent() {
    const auto Handler = Handlers.OnKeepaliveTimeout;
    if (Handler)
      Handler();
  }

private:
  RelayClient &Owner;
  std::uint32_t Number;
  std::string Group;
  Events Handlers;
  std::deque<Millis> SentAt; ///< Of commands without an answer.
  std::uint64_t NextAnswer = 0;
  bool IsClosed = false;
};

RelayClient::RelayClient(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
                         RelayCodec &Frames, FloorTable &Floors, Endpoint At)
    : Time(Time), Timers(Timers), Streams(Streams), Floors(Floors),
      Frames(Frames), At(std::move(At)), Outbox(Timers, Frames) {}

RelayClient::~RelayClient() {
  if (LivenessTimer != 0)
    Timers.cancel(LivenessTimer);
}

std::unique_ptr<TargetLink> RelayClient::open(const TargetAddress &To,
                                              TargetLink::Events Events) {
  if (!Outbox.isOpen())
    connect();
  const std::uint32_t Number = NextLink++;
  auto Made =
      std::make_unique<Link>(*this, Number, To.Group, std::move(Events));
  send(RelayOpen{Number, To});
  return Made;
}

bool RelayClient::isAvailable() const {
  const bool IsSuspect =
      LivenessTimer != 0 && Time.now() - LastReceived >= SuspectAfter;
  return !IsLeaving && !IsSuspect && Time.now() >= AvoidUntil;
}

void RelayClient::connect() {
  IsLeaving = false;
  LastReceived = Time.now();
  IsPingPending = false;
  Outbox.reset(
      Streams.connect(At, {[this](const std::string &Frame) { receive(Frame); },
                           [this] { closeStream(); }}));
}

void RelayClient::send(RelayMessage Body) { Outbox.send(std::move(Body)); }

void RelayClient::receive(const std::string &Frame) {
  LastReceived = Time.now();
  IsPingPending = false;
  const auto Messages = Frames.read(Frame);
  // The order of answers can't be trusted behind one that can't be read.
  if (!Messages)
    return closeStream();
  for (const RelayMessage &Each : *Messages)
    std::visit([&](const auto &Body) { on(Body); }, Each);
}

void RelayClient::on(const RelayAnswer &Body) {
  const auto Found = Links.find(Body.Link);
  if (Found == Links.end() || Found->second->answered(Body))
    return;
  // Whatever else comes on this link can't be trusted either.
  send(RelayClose{Body.Link});
  on(RelayClose{Body.Link});
}

void RelayClient::on(const RelayClose &Body) {
  const auto Found = Links.find(Body.Link);
  if (Found == Links.end())
    return;
  Link *Closed = Found->second;
  Links.erase(Found);
  Closed->closed();
}

void RelayClient::on(const RelayLeaving &) { IsLeaving = true; }

void RelayClient::closeStream() {
  // The process that listens there next is another one.
  IsLeaving = false;
  AvoidUntil = Time.now() + AvoidFor;
  Outbox.reset(nullptr);
  // Handlers may destroy any of the links.
  while (!Links.empty()) {
    Link *Lost = Links.begin()->second;
    Links.erase(Links.begin());
    Lost->closed();
  }
}

// Handlers may close links, and open others elsewhere.
void RelayClient::notifySilent() {
  std::vector<std::uint32_t> Waiting;
  for (const auto &[Number, Each] : Links)
    if (Each->awaitsAnswers())
      Waiting.push_back(Number);
  for (const std::uint32_t Number : Waiting)
    if (const auto Found = Links.find(Number); Found != Links.end())
      Found->second->silent();
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
  LivenessTimer = Timers.after(WatchInterval, [this] {
    LivenessTimer = 0;
    checkLiveness();
  });
}

void RelayClient::checkLiveness() {
  // Callers give up sooner than the silence is long enough to tell.
  if (!Outbox.isOpen() || (!awaitsAnswers() && !IsPingPending))
    return;
  const Millis Silent = Time.now() - LastReceived;
  if (Silent >= GiveUpAfter)
    return closeStream();
  // Once: a gateway that is silent since it has too much to do would get
  // another question from hundreds of proxies at each look.
  if (Silent >= PingAfter && !std::exchange(IsPingPending, true))
    send(RelayPing{});
  if (Silent >= DoubtAfter)
    notifySilent();
  LivenessTimer = Timers.after(WatchInterval, [this] {
    LivenessTimer = 0;
    checkLiveness();
  });
}

} // namespace corianderdyke
