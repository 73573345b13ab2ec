/// \file
/// Selects the gateway of a statement from the ranking of a target's proxies.

#include "Reach/GatewayChoice.h"

namespace corianderdyke {

namespace {

/// Gateways that a statement may find silent. After that many it is sent only
/// where the last moment has shown that an answer comes back: each silent one
/// costs a read 60 to 120 ms.
constexpr std::size_t MaxDeadPaths = 2;
/// Untried proxies that are probed at once for one target. With a third of the
/// proxies cut off, all of these are in 1 of 80 cases.
constexpr std::size_t MaxProbes = 4;
/// Proxies beyond the gateways that may report that they miss the target before
/// the target counts as lost. If more followed, each proxy of a large system
/// would try to connect to a target that has failed.
constexpr std::size_t SparesThatMiss = 2;

/// Accumulates what one pass down the ranking has found.
struct Search {
  const GatewayQuestion &Question;
  GatewayDecision Out;
  std::optional<std::size_t> Untried; ///< The first one.
  std::optional<std::size_t> Answered;
  std::size_t Missing = 0; ///< Proxies that miss the target.
  bool HasPassedSilent = false;

  bool mustBeSure() const { return Question.DeadPaths >= MaxDeadPaths; }

  /// Returns true if the search ends with \p Rank or without a result.
  bool visit(std::size_t Rank) {
    switch (Question.Standing(Rank)) {
    case GatewayStanding::AnsweredLately:
      return take(Rank);
    case GatewayStanding::Answered:
      if (!mustBeSure())
        return take(Rank);
      Answered = Answered.value_or(Rank);
      return false;
    case GatewayStanding::Untried:
      return visitUntried(Rank);
    case GatewayStanding::Silent:
      HasPassedSilent = true;
      return false;
    case GatewayStanding::MissesTarget:
      return ++Missing >= Question.Gateways + SparesThatMiss;
    }
    return false;
  }

  /// Takes a proxy that is good enough. A gateway ends the search.
  bool take(std::size_t Rank) {
    if (Rank < Question.Gateways) {
      Out.Rank = Rank;
      return true;
    }
    Out.Spares.push_back(Rank);
    return Out.Spares.size() >= Question.Gateways;
  }

  bool visitUntried(std::size_t Rank) {
    Untried = Untried.value_or(Rank);
    if (!HasPassedSilent && Question.DeadPaths == 0) {
      Out.Rank = Rank;
      return true;
    }
    if (Out.Probes.size() < MaxProbes)
      Out.Probes.push_back(Rank);
    // A sure way may be further down; otherwise an untried one is enough.
    return !mustBeSure() && Out.Probes.size() == MaxProbes;
  }

  /// Probes spares while a gateway is still in use but others are silent, so
  /// that a statement which loses this one too finds a sure way.
  void probeSpares() {
    if (!HasPassedSilent && Question.DeadPaths == 0)
      return;
    for (std::size_t Rank = Question.Gateways;
         Rank < Question.Candidates && Out.Probes.size() < MaxProbes; ++Rank)
      if (Question.Standing(Rank) == GatewayStanding::Untried)
        Out.Probes.push_back(Rank);
      else if (reachesTarget(Rank))
        return;
  }

  bool reachesTarget(std::size_t Rank) const {
    const GatewayStanding Known = Question.Standing(Rank);
    return Known != GatewayStanding::Silent &&
           Known != GatewayStanding::MissesTarget;
  }
};

} // namespace

GatewayDecision chooseGateway(const GatewayQuestion &Question) {
  Search State{Question, {}, {}, {}, 0, false};
  const std::size_t Gateways = Question.Gateways < Question.Candidates
                                   ? Question.Gateways
                                   : Question.Candidates;
  for (std::size_t Each = 0; Each < Question.Candidates; ++Each) {
    const std::size_t Rank =
        Each < Gateways ? (Question.Start % Gateways + Each) % Gateways : Each;
    if (State.visit(Rank))
      break;
  }
  if (!State.Out.Spares.empty())
    State.Out.Rank = State.Out.Spares[Question.Start % State.Out.Spares.size()];
  if (State.Out.Rank && *State.Out.Rank < Gateways) {
    State.Out.Probes.clear();
    State.probeSpares();
  }
  if (State.Out.Rank || State.Missing >= Question.Gateways + SparesThatMiss)
    return State.Out;
  if (State.mustBeSure() && Question.OwnRank &&
      State.reachesTarget(*Question.OwnRank))
    State.Out.Rank = Question.OwnRank;
  else if (State.Answered)
    State.Out.Rank = State.Answered;
  else
    State.Out.Rank = State.Untried;
  return State.Out;
}

} // namespace corianderdyke
