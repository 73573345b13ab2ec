/// \file
/// Whether another proxy can be reached, and when to probe it.

#ifndef CORIANDERDYKE_REACH_PEERREACH_H
#define CORIANDERDYKE_REACH_PEERREACH_H

#include "Common/Millis.h"

#include <cstddef>
#include <optional>

namespace corianderdyke {

/// A peer that has never been tried counts as reachable. One that was lost
/// counts as unreachable until something is received from it.
class PeerReach {
public:
  /// Records that something was received. Returns true if the peer was
  /// unreachable until now.
  bool recordReceived(Millis Now);
  /// Records that the stream was closed after silence or could not be opened.
  /// Returns true if the peer was not unreachable before.
  bool recordLost(Millis Now);
  /// Records that a statement could use the peer.
  void recordWanted(Millis Now) { WantedAt = Now; }
  /// Records the start of a probe.
  void recordProbe(Millis Now);

  /// Time of the next probe; nothing if the peer is not unreachable or if no
  /// statement could use it lately.
  std::optional<Millis> nextProbeAt(Millis Now) const;
  bool isUnreachable() const { return IsUnreachable; }
  /// True if something was received at \p Since or later.
  bool hasAnsweredSince(Millis Since) const {
    return ReceivedAt && *ReceivedAt >= Since;
  }

private:
  bool IsUnreachable = false;
  std::optional<Millis> ReceivedAt;
  std::optional<Millis> WantedAt;
  Millis ProbeAt;         ///< Of the next probe, while unreachable.
  std::size_t Probes = 0; ///< Begun since the peer was lost.
};

} // namespace corianderdyke

#endif
