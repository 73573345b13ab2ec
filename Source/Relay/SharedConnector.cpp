/// \file
/// Decides through which gateway a statement goes.

#include "Relay/SharedConnector.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Fewer connections of its own to a target than this, in parts of ten, and
/// a proxy shares: some proxies would have none. From one on, the way by a
/// gateway costs callers more than waiting for the own one does (five halls
/// 1.4 ms apart, 1.4 connections a proxy: 0.03 to 0.08 of the service).
constexpr std::size_t ShareBelow = 10;
/// More than this, and it stops to share. Far above the former, so that a few
/// restarts don't move every connection of the system there and back.
constexpr std::size_t OwnAbove = 30;
constexpr std::size_t Parts = 10;
/// A proxy that has a plan and no list of proxies for this long opens
/// connections of its own: well above what a new leader takes to know them.
constexpr Millis ListPatience(2500);
/// A gateway that doesn't reach a target isn't asked again for this long.
constexpr Millis AvoidFor(400);

} // namespace

/// A link that is bound to a gateway only while something is open on it, and
/// takes its state along when it goes to another.
class SharedConnector::Link final : public TargetLink {
public:
  Link(SharedConnector &Owner, TargetAddress To, Events Given)
      : Owner(Owner), To(std::move(To)), Handlers(std::move(Given)) {
    Owner.Deps.Timers.after(Millis(0), [this, Still = Alive] {
      if (!*Still)
        return;
      const auto Handler = Handlers.OnOpen;
      Handler();
    });
  }

  ~Link() override { *Alive = false; }

  bool isShared() const override { return true; }

  void send(const std::vector<TargetCommand> &Commands) override {
    const bool BeginsUnit = Unanswered == 0 && Phase == SessionPhase::Idle;
    if (BeginsUnit && !rebind())
      return refuseAll(Commands);
    if (!Inner) {
      // What was open ended with its gateway; the user of the link is told.
      return;
    }
    Unanswered += Commands.size();
    for (const TargetCommand &Each : Commands)
      noteState(Each);
    Inner->send(Commands);
  }

private:
  /// Binds to a gateway that is believed to reach the target.
  bool rebind() {
    if (Inner && Owner.isUsable(Bound, To.Id))
      return true;
    Inner.reset();
    const auto Chosen = Owner.chooseGateway(To);
    if (!Chosen)
      return false;
    Bound = *Chosen;
    Inner = Bound.Connector->open(
        To, {[] {}, [this](const StatementAnswer &Answer) { answered(Answer); },
             [this](const std::optional<StatementRefusal> &) { closed(); },
             Handlers.OnKeepaliveTimeout});
    if (!State.empty()) {
      Replayed = State.size();
      Inner->send(State);
    }
    return true;
  }

  /// Remembers what the next gateway must know.
  void noteState(const TargetCommand &What) {
    if (What.Operation == TargetCommand::Kind::Reset)
      State.clear();
    if (!isSessionStateCommand(What.Operation))
      return;
    std::erase_if(State, [&What](const TargetCommand &Each) {
      return Each.Operation == What.Operation && Each.Name == What.Name;
    });
    State.push_back(What);
  }

  void answered(const StatementAnswer &Answer) {
    if (Replayed > 0) {
      --Replayed;
      return;
    }
    if (Unanswered == 0)
      return;
    --Unanswered;
    Phase = Answer.Phase;
    StatementAnswer Out = Answer;
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Unreachable) {
      Owner.avoid(Bound.Name, To.Id);
      // Another gateway may reach it.
      if (Owner.chooseGateway(To))
        Out.Refusal->Code = RefusalCode::Busy;
    }
    const auto Handler = Handlers.OnAnswer;
    Handler(Out);
  }

  void closed() {
    const bool IsIdle = Unanswered == 0 && Phase == SessionPhase::Idle;
    Owner.retire(std::move(Inner));
    Replayed = 0;
    if (IsIdle)
      return;
    const auto Handler = Handlers.OnClose;
    Handler(std::nullopt);
  }

  /// Nothing was sent, so nothing ran.
  void refuseAll(const std::vector<TargetCommand> &Commands) {
    for (const TargetCommand &Each : Commands)
      noteState(Each);
    Owner.Deps.Timers.after(Millis(0), [this, Still = Alive, Commands] {
      for (const TargetCommand &Each : Commands) {
        if (!*Still)
          return;
        StatementAnswer Out;
        if (!isSessionStateCommand(Each.Operation))
          Out.Refusal = StatementRefusal{RefusalCode::Unreachable,
                                         "no gateway reaches the target"};
        const auto Handler = Handlers.OnAnswer;
        Handler(Out);
      }
    });
  }

  SharedConnector &Owner;
  TargetAddress To;
  Events Handlers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::unique_ptr<TargetLink> Inner;
  Gateway Bound;
  std::vector<TargetCommand> State; ///< Since the last reset.
  std::size_t Replayed = 0;         ///< Answers due to what was replayed.
  std::size_t Unanswered = 0;
  SessionPhase Phase = SessionPhase::Idle;
};

SharedConnector::SharedConnector(Dependencies Deps, std::string Self)
    : Deps(Deps), Self(std::move(Self)), NextGateway(hashText(this->Self)) {}

SharedConnector::~SharedConnector() = default;

std::unique_ptr<TargetLink> SharedConnector::open(const TargetAddress &To,
                                                  TargetLink::Events Events) {
  if (!sharesConnections(To.Group))
    return Deps.Direct.open(To, std::move(Events));
  return std::make_unique<Link>(*this, To, std::move(Events));
}

bool SharedConnector::sharesConnections(const std::string &Group) const {
  return Gateways.count(Group) != 0;
}

// Load pattern: everything starts at the same moment. Proxies that
// opened connections of their own before they know of each other would exceed
// the targets' limits, and each opening takes a slot.
bool SharedConnector::knowsShares() const {
  return !Proxies.empty() ||
         (FirstPlanAt && Deps.Time.now() - *FirstPlanAt >= ListPatience);
}

void SharedConnector::setPlan(const RoutePlan &New) {
  Plan = New;
  if (!FirstPlanAt)
    FirstPlanAt = Deps.Time.now();
  Deps.Broker.setPerOrganisation(!Plan.Organisations.empty());
  decideSharing();
}

void SharedConnector::setProxies(std::vector<ProxyRecord> All) {
  Proxies = std::move(All);
  decideSharing();
}

void SharedConnector::updateTargets(const TargetDirectory &Known) {
  std::vector<TargetRecord> New = Known.all();
  const bool IsAlike = hasSamePlacement(New, Targets);
  Targets = std::move(New);
  if (!IsAlike)
    rebuildTable();
  Deps.Broker.update(Known);
}

bool SharedConnector::hasSamePlacement(const std::vector<TargetRecord> &Left,
                                       const std::vector<TargetRecord> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const TargetRecord &One, const TargetRecord &Other) {
                      return One.Id == Other.Id && One.Group == Other.Group &&
                             One.FailureDomain == Other.FailureDomain &&
                             One.IsGone == Other.IsGone;
                    });
}

void SharedConnector::decideSharing() {
  for (const GroupPolicy &Each : Plan.Groups) {
    const std::size_t Usable = Each.usableConnections();
    const std::size_t Bound =
        sharesConnections(Each.Name) ? OwnAbove : ShareBelow;
    if (Usable * Parts >= Bound * Proxies.size()) {
      Gateways.erase(Each.Name);
      continue;
    }
    const std::size_t Count = gatewayCount(Usable);
    Gateways[Each.Name] = Count;
    Deps.Broker.setShare(Each.Name, std::max<std::size_t>(1, Usable / Count),
                         Count);
  }
  rebuildTable();
}

void SharedConnector::rebuildTable() {
  const Millis Now = Deps.Time.now();
  std::erase_if(AvoidUntil,
                [Now](const auto &Each) { return Each.second <= Now; });
  Table = GatewayTable(Proxies, Targets, Gateways);
  std::set<std::string> Own;
  for (const TargetRecord &Each : Targets) {
    const auto Count = Gateways.find(Each.Group);
    if (Count == Gateways.end() || Each.IsGone)
      continue;
    const std::vector<ProxyRecord> &Known = Table.gatewaysOf(Each.Id);
    for (std::size_t Rank = 0; Rank < std::min(Known.size(), Count->second);
         ++Rank)
      if (Known[Rank].Name == Self)
        Own.insert(Each.Id);
  }
  Deps.Broker.setGatewayTargets(std::move(Own));
}

SharedConnector::Gateway SharedConnector::gatewayOf(const ProxyRecord &Which) {
  if (Which.Name == Self)
    return {&Deps.Broker, nullptr, Self};
  std::unique_ptr<RelayClient> &Peer = Peers[Which.RelayEndpoint];
  if (!Peer)
    Peer = std::make_unique<RelayClient>(Deps.Time, Deps.Timers, Deps.Streams,
                                         Deps.Frames, Deps.Floors,
                                         Which.RelayEndpoint);
  return {Peer.get(), Peer.get(), Which.Name};
}

bool SharedConnector::isUsable(const Gateway &Which,
                               const std::string &Target) const {
  if (Which.Peer != nullptr && !Which.Peer->isAvailable())
    return false;
  const auto Until = AvoidUntil.find({Which.Name, Target});
  if (Until != AvoidUntil.end() && Deps.Time.now() < Until->second)
    return false;
  // Connections move with the gateways.
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(Target);
  return std::any_of(Known.begin(), Known.end(), [&](const ProxyRecord &Each) {
    return Each.Name == Which.Name;
  });
}

// Load pattern: many organisations, few connections. At the same gateway of a
// target from all proxies, an organisation needs one connection where it would
// need one at each gateway, and finds it open more often. Who belongs to no
// organisation begins at another one each time, so that all carry the same.
std::size_t SharedConnector::firstGatewayIndex(const TargetAddress &To) {
  if (To.Organisation.empty())
    return NextGateway++;
  return hashText(To.Organisation, hashText(To.Id));
}

std::optional<SharedConnector::Gateway>
SharedConnector::chooseGateway(const TargetAddress &To) {
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(To.Id);
  const auto Count = Gateways.find(To.Group);
  const std::size_t First =
      std::min(Known.size(), Count == Gateways.end() ? 0 : Count->second);
  const std::size_t Turn = firstGatewayIndex(To);
  for (std::size_t Each = 0; Each < First; ++Each) {
    const Gateway Next = gatewayOf(Known[(Turn + Each) % First]);
    if (isUsable(Next, To.Id))
      return Next;
  }
  for (std::size_t Each = First; Each < Known.size(); ++Each) {
    const Gateway Next = gatewayOf(Known[Each]);
    if (isUsable(Next, To.Id))
      return Next;
  }
  return std::nullopt;
}

void SharedConnector::retire(std::unique_ptr<TargetLink> Ended) {
  Retired.push_back(std::move(Ended));
  if (Retired.size() == 1)
    Deps.Timers.after(Millis(0), [this] {
      // Outside the list, so that one which ends with them can be added.
      const auto Ended = std::exchange(Retired, {});
    });
}

void SharedConnector::avoid(const std::string &Gateway,
                            const std::string &Target) {
  AvoidUntil[{Gateway, Target}] = Deps.Time.now() + AvoidFor;
}

} // namespace corianderdyke
