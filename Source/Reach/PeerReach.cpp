/// \file
/// Whether another proxy can be reached, and when to probe it.

#include "Reach/PeerReach.h"

#include <algorithm>
#include <array>
#include <utility>

namespace corianderdyke {

namespace {

/// Time from the loss of a peer to the first probe, then from each probe to the
/// next; the last one repeats. A restart takes about as long as the first.
constexpr std::array<Millis, 3> ProbeIntervals = {Millis(300), Millis(600),
                                                  Millis(1200)};
/// A peer is probed for this long after a statement could use it. It is longer
/// than the longest interval, so that steady use never pauses the probes.
constexpr Millis WantedFor(2000);

} // namespace

bool PeerReach::recordReceived(Millis Now) {
  ReceivedAt = Now;
  return std::exchange(IsUnreachable, false);
}

bool PeerReach::recordLost(Millis Now) {
  // A failed probe does not change the schedule.
  if (std::exchange(IsUnreachable, true))
    return false;
  Probes = 0;
  ProbeAt = Now + ProbeIntervals.front();
  return true;
}

void PeerReach::recordProbe(Millis Now) {
  Probes = std::min(Probes + 1, ProbeIntervals.size() - 1);
  ProbeAt = Now + ProbeIntervals[Probes];
}

std::optional<Millis> PeerReach::nextProbeAt(Millis Now) const {
  if (!IsUnreachable || !WantedAt || Now - *WantedAt >= WantedFor)
    return std::nullopt;
  return ProbeAt;
}

} // namespace corianderdyke
