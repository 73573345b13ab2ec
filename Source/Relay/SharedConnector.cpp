/// \file
/// Selects the gateway through which a statement is sent.

#include "Relay/SharedConnector.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A group is shared if each proxy would have fewer connections to a target
/// than configured, because some proxies would have none. Sharing ends at this
/// many times as many, so that a few restarts do not move every connection of
/// the system back and forth.
constexpr double ShareHysteresis = 3;
/// A proxy that has had a plan but no list of proxies for this long opens its
/// own connections. It is well above the time that a new leader needs to
/// collect the list.
constexpr Millis ProxyListTimeout(2500);
/// A gateway that cannot reach a target is not used for it for this long.
constexpr Millis AvoidFor(400);
/// A proxy has answered lately if something was received from it within this
/// time. It is no longer than the silences that a statement with two dead paths
/// has observed, so the answer is younger than what cut these paths.
constexpr Millis AnsweredLatelyFor = RoundTripEstimate::MaxSilence;
/// Dead paths of a statement are forgotten after this long: no caller's
/// deadline is longer.
constexpr Millis DeadPathsKeptFor(5000);

} // namespace

/// A link that keeps its gateway while a transaction or statement is open, and
/// replays its session state when it moves to another gateway.
class SharedConnector::Link final : public TargetLink {
public:
  Link(SharedConnector &Owner, TargetAddress To, Events Given)
      : Owner(Owner), To(std::move(To)), Handlers(std::move(Given)) {
    Owner.Deps.Timers.after(Millis(0), [this, AliveFlag = Alive] {
      if (!*AliveFlag)
        return;
      const auto Handler = Handlers.OnOpen;
      Handler();
    });
  }

  ~Link() override { *Alive = false; }

  bool isShared() const override { return true; }

  void send(const std::vector<TargetCommand> &Commands) override {
    const bool IsIdle = Unanswered == 0 && Phase == SessionPhase::Idle;
    for (const TargetCommand &Each : Commands)
      if (!Each.Id.empty())
        StatementId = Each.Id;
    if (IsIdle && !rebind())
      return refuseAll(Commands);
    if (!GatewayLink) {
      // The transaction ended with its gateway; OnClose has been called.
      return;
    }
    IsPathDead = false;
    Unanswered += Commands.size();
    for (const TargetCommand &Each : Commands)
      recordState(Each);
    GatewayLink->send(Commands);
  }

private:
  /// Binds to a gateway that is considered able to reach the target.
  bool rebind() {
    if (GatewayLink && Owner.isUsable(Bound, To))
      return true;
    const auto Chosen =
        Owner.chooseGateway(To, StatementId, GatewayLink ? Bound.Name : "");
    // A link leaves a spare only when a gateway has become usable.
    if (GatewayLink && Owner.Deps.Load.ReachReports && Chosen &&
        Chosen->Name == Bound.Name)
      return true;
    GatewayLink.reset();
    if (!Chosen)
      return false;
    Bound = *Chosen;
    GatewayLink = Bound.Connector->open(
        To,
        {[] {}, [this](const StatementAnswer &Answer) { handleAnswer(Answer); },
         [this](const std::optional<StatementRefusal> &) { handleClose(); },
         [this] { handleSilence(); }});
    if (!State.empty()) {
      Replayed = State.size();
      GatewayLink->send(State);
    }
    // Sending may have shown that the gateway is lost.
    return GatewayLink != nullptr;
  }

  /// Records session state for replay at the next gateway.
  void recordState(const TargetCommand &Command) {
    if (Command.Operation == TargetCommand::Kind::Reset)
      State.clear();
    if (!isSessionStateCommand(Command.Operation))
      return;
    std::erase_if(State, [&Command](const TargetCommand &Each) {
      return Each.Operation == Command.Operation && Each.Name == Command.Name;
    });
    State.push_back(Command);
  }

  void handleAnswer(const StatementAnswer &Answer) {
    if (Replayed > 0) {
      --Replayed;
      return;
    }
    // Later answers would be given to the wrong commands.
    if (Unanswered == 0)
      return handleClose();
    --Unanswered;
    Phase = Answer.Phase;
    StatementAnswer Out = Answer;
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Unreachable) {
      Owner.avoid(Bound.Name, To.Id);
      // Another gateway may reach the target, so the refusal is temporary.
      if (Owner.chooseGateway(To, StatementId, ""))
        Out.Refusal->Code = RefusalCode::Busy;
    }
    const auto Handler = Handlers.OnAnswer;
    Handler(Out);
  }

  /// Counts the path through the bound gateway as dead, once for each
  /// statement.
  void recordDeadPath() {
    if (Unanswered > 0 && !std::exchange(IsPathDead, true))
      Owner.recordDeadPath(StatementId);
  }

  void handleSilence() {
    recordDeadPath();
    const auto Handler = Handlers.OnKeepaliveTimeout;
    if (Handler)
      Handler();
  }

  void handleClose() {
    if (Bound.Peer != nullptr && Bound.Peer->isUnreachable())
      recordDeadPath();
    const bool IsIdle = Unanswered == 0 && Phase == SessionPhase::Idle;
    Owner.retire(std::move(GatewayLink));
    Replayed = 0;
    if (IsIdle)
      return;
    const auto Handler = Handlers.OnClose;
    Handler(std::nullopt);
  }

  /// Refuses commands of which none was sent, so none has run.
  void refuseAll(const std::vector<TargetCommand> &Commands) {
    for (const TargetCommand &Each : Commands)
      recordState(Each);
    Owner.Deps.Timers.after(Millis(0), [this, AliveFlag = Alive, Commands] {
      for (const TargetCommand &Each : Commands) {
        if (!*AliveFlag)
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
  std::unique_ptr<TargetLink> GatewayLink;
  Gateway Bound;
  std::vector<TargetCommand> State; ///< Since the last reset.
  std::size_t Replayed = 0;         ///< Outstanding answers to replayed state.
  std::size_t Unanswered = 0;
  std::string StatementId; ///< Of the last statement; may be empty.
  bool IsPathDead = false; ///< For the last statement.
  SessionPhase Phase = SessionPhase::Idle;
};

SharedConnector::SharedConnector(Dependencies Deps, std::string Self)
    : Deps(Deps), Self(std::move(Self)), NextGateway(hashText(this->Self)) {
  Deps.Broker.setServesAsSpare(Deps.Load.ReachReports);
}

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

// All processes may start at the same time. Proxies that opened their own
// connections before they receive the list of proxies would exceed the targets'
// limits, and each opening takes a slot.
bool SharedConnector::isShareKnown() const {
  return !Proxies.empty() ||
         (FirstPlanAt && Deps.Time.now() - *FirstPlanAt >= ProxyListTimeout);
}

// While replicas lag, the reads of all proxies go through the gateways of the
// leader, whose answers tell all proxies what the probes have shown.
std::optional<ProbeTurn>
SharedConnector::probeTurn(const std::string &Group,
                           const std::string &Leader) const {
  const auto Count = Gateways.find(Group);
  if (Count == Gateways.end())
    return Deps.Direct.probeTurn(Group, Leader);
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(Leader);
  const std::size_t Size = std::min(Known.size(), Count->second);
  for (std::size_t Rank = 0; Rank < Size; ++Rank)
    if (Known[Rank].Name == Self)
      return ProbeTurn{Rank, Size};
  return std::nullopt;
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

void SharedConnector::updateTargets(const TargetDirectory &Directory) {
  std::vector<TargetRecord> New = Directory.all();
  const bool IsSamePlacement = hasSamePlacement(New, Targets);
  Targets = std::move(New);
  if (!IsSamePlacement)
    rebuildTable();
  Deps.Broker.update(Directory);
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
    const double Bound = Deps.Load.ShareBelow *
                         (sharesConnections(Each.Name) ? ShareHysteresis : 1);
    if (static_cast<double>(Usable) >=
        Bound * static_cast<double>(Proxies.size())) {
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

SharedConnector::Gateway
SharedConnector::gatewayOf(const ProxyRecord &Candidate) {
  if (Candidate.Name == Self)
    return {&Deps.Broker, nullptr, Self};
  std::unique_ptr<RelayClient> &Peer = Peers[Candidate.RelayEndpoint];
  if (!Peer)
    Peer = std::make_unique<RelayClient>(
        Deps.Time, Deps.Timers, Deps.Streams, Deps.Frames, Deps.Floors,
        Candidate.RelayEndpoint, Deps.Replicas,
        PeerReachHandling{Deps.Load.ReachReports,
                          [this, Name = Candidate.Name](bool IsReachable) {
                            PeerReachChanged.emit(Name, IsReachable);
                          }});
  return {Peer.get(), Peer.get(), Candidate.Name};
}

bool SharedConnector::isUsable(const Gateway &Candidate,
                               const TargetAddress &To) {
  if (Deps.Load.ReachReports) {
    // A link at a spare asks again for each statement, so that the gateways
    // take up their duty when they can.
    if (!isGateway(Candidate.Name, To))
      return false;
    const std::vector<ProxyRecord> &Known = Table.gatewaysOf(To.Id);
    const auto Record = std::find_if(Known.begin(), Known.end(),
                                     [&Candidate](const ProxyRecord &Each) {
                                       return Each.Name == Candidate.Name;
                                     });
    const GatewayStanding Standing =
        standingOf(*Record, To.Id, Deps.Time.now());
    return Standing != GatewayStanding::Silent &&
           Standing != GatewayStanding::MissesTarget;
  }
  const std::string &Target = To.Id;
  if (Candidate.Peer != nullptr && !Candidate.Peer->isAvailable())
    return false;
  const auto Until = AvoidUntil.find({Candidate.Name, Target});
  if (Until != AvoidUntil.end() && Deps.Time.now() < Until->second)
    return false;
  // The gateways may have changed since the link was bound.
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(Target);
  return std::any_of(Known.begin(), Known.end(), [&](const ProxyRecord &Each) {
    return Each.Name == Candidate.Name;
  });
}

// There may be many organisations and few connections. If all proxies use the
// same gateway of a target for an organisation, it needs one connection instead
// of one at each gateway, and that connection is open more often. Links without
// an organisation rotate through the gateways to balance the load.
std::size_t SharedConnector::firstGatewayIndex(const TargetAddress &To) {
  if (To.Organisation.empty())
    return NextGateway++;
  return hashText(To.Organisation, hashText(To.Id));
}

GatewayStanding SharedConnector::standingOf(const ProxyRecord &Candidate,
                                            const std::string &Target,
                                            Millis LatelySince) {
  const Millis Now = Deps.Time.now();
  const auto Until = AvoidUntil.find({Candidate.Name, Target});
  const bool IsAvoided = Until != AvoidUntil.end() && Now < Until->second;
  if (Candidate.Name == Self)
    return IsAvoided || Deps.Broker.isFailing(Target)
               ? GatewayStanding::MissesTarget
               : GatewayStanding::AnsweredLately;
  const auto Found = Peers.find(Candidate.RelayEndpoint);
  if (Found == Peers.end())
    return GatewayStanding::Untried;
  RelayClient &Peer = *Found->second;
  Peer.recordWanted();
  if (!Peer.isAvailable())
    return GatewayStanding::Silent;
  if (IsAvoided || !Peer.reachesTarget(Target))
    return GatewayStanding::MissesTarget;
  if (!Peer.hasAnswered())
    return GatewayStanding::Untried;
  return Peer.hasAnsweredSince(LatelySince) ? GatewayStanding::AnsweredLately
                                            : GatewayStanding::Answered;
}

std::optional<SharedConnector::Gateway>
SharedConnector::chooseReachable(const TargetAddress &To,
                                 const std::string &StatementId,
                                 const std::string &BoundTo) {
  GatewayQuestion Question;
  Question.Candidates = Table.candidates(To.Id);
  const auto Count = Gateways.find(To.Group);
  Question.Gateways = Count == Gateways.end() ? 0 : Count->second;
  Question.Start = firstGatewayIndex(To);
  const auto Dead = DeadPathsOf.find(StatementId);
  Millis LatelySince = Deps.Time.now() - AnsweredLatelyFor;
  if (Dead != DeadPathsOf.end()) {
    // An answer after the first path was found dead is newer than its loss.
    LatelySince = std::min(LatelySince, Dead->second.FirstAt);
    Question.DeadPaths = Dead->second.Count;
    Question.OwnRank = Table.rankOf(To.Id, Self);
  }
  Question.Standing = [&](std::size_t Rank) {
    return standingOf(Table.candidate(To.Id, Rank), To.Id, LatelySince);
  };
  const GatewayDecision Decision = corianderdyke::chooseGateway(Question);
  for (const std::size_t Rank : Decision.Probes)
    if (RelayClient *Peer = gatewayOf(Table.candidate(To.Id, Rank)).Peer)
      Peer->probe();
  // Links rotate through the spares only when they open.
  for (const std::size_t Rank : Decision.Spares)
    if (Table.candidate(To.Id, Rank).Name == BoundTo)
      return gatewayOf(Table.candidate(To.Id, Rank));
  if (!Decision.Rank)
    return std::nullopt;
  return gatewayOf(Table.candidate(To.Id, *Decision.Rank));
}

bool SharedConnector::isGateway(const std::string &Name,
                                const TargetAddress &To) const {
  const auto Count = Gateways.find(To.Group);
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(To.Id);
  const std::size_t First =
      std::min(Known.size(), Count == Gateways.end() ? 0 : Count->second);
  return std::any_of(
      Known.begin(), Known.begin() + static_cast<std::ptrdiff_t>(First),
      [&Name](const ProxyRecord &Each) { return Each.Name == Name; });
}

void SharedConnector::recordDeadPath(const std::string &StatementId) {
  if (!Deps.Load.ReachReports)
    return;
  ++MovedStatements;
  if (StatementId.empty())
    return;
  const Millis Now = Deps.Time.now();
  std::erase_if(DeadPathsOf, [Now](const auto &Each) {
    return Now - Each.second.LastAt >= DeadPathsKeptFor;
  });
  DeadPaths &Known = DeadPathsOf[StatementId];
  if (++Known.Count == 1)
    Known.FirstAt = Now;
  Known.LastAt = Now;
}

PeerReachCounts SharedConnector::reachCounts() const {
  PeerReachCounts Out;
  Out.MovedStatements = MovedStatements;
  for (const auto &[At, Each] : Peers) {
    Out.Unreachable += Each->isUnreachable() ? 1 : 0;
    Out.Pings += Each->pings();
  }
  return Out;
}

std::optional<SharedConnector::Gateway>
SharedConnector::chooseGateway(const TargetAddress &To,
                               const std::string &StatementId,
                               const std::string &BoundTo) {
  if (Deps.Load.ReachReports)
    return chooseReachable(To, StatementId, BoundTo);
  const std::vector<ProxyRecord> &Known = Table.gatewaysOf(To.Id);
  const auto Count = Gateways.find(To.Group);
  const std::size_t First =
      std::min(Known.size(), Count == Gateways.end() ? 0 : Count->second);
  const std::size_t Start = firstGatewayIndex(To);
  for (std::size_t Each = 0; Each < First; ++Each) {
    const Gateway Next = gatewayOf(Known[(Start + Each) % First]);
    if (isUsable(Next, To))
      return Next;
  }
  for (std::size_t Each = First; Each < Known.size(); ++Each) {
    const Gateway Next = gatewayOf(Known[Each]);
    if (isUsable(Next, To))
      return Next;
  }
  return std::nullopt;
}

void SharedConnector::retire(std::unique_ptr<TargetLink> Ended) {
  Retired.push_back(std::move(Ended));
  if (Retired.size() == 1)
    Deps.Timers.after(Millis(0), [this] {
      // Moved out of the list, since destroying a link may retire another.
      const auto Links = std::exchange(Retired, {});
    });
}

void SharedConnector::avoid(const std::string &Gateway,
                            const std::string &Target) {
  AvoidUntil[{Gateway, Target}] = Deps.Time.now() + AvoidFor;
}

} // namespace corianderdyke
