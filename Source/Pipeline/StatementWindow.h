/// \file
/// How many statements one proxy has under way at a target at a time.
///
/// Load pattern: more statements come than a target works on, for seconds. Sent
/// as connections come free they wait inside the target, first come first
/// served: what is urgent stands behind what isn't, every answer takes several
/// times as long, and beyond its queue the target refuses. Held back at the
/// proxy they go out by priority, and those that would be late are told so.
///
/// The answer times tell whether they wait there: against the least that the
/// target took lately, which is its work alone. While they are near it the
/// window grows, so a target with slots free is never held back; beyond a
/// multiple of it the window shrinks, down to one statement a proxy.

#ifndef CORIANDERDYKE_PIPELINE_STATEMENTWINDOW_H
#define CORIANDERDYKE_PIPELINE_STATEMENTWINDOW_H

#include "Common/Millis.h"

#include <algorithm>
#include <cstddef>

namespace corianderdyke {

class StatementWindow {
public:
  /// A statement was answered \p Taken after it was sent.
  void recordAnswerTime(Millis Taken, Millis Now) {
    const auto Last = std::max(static_cast<double>(Taken.count()), 1.0);
    Mean += Gain * (Last - Mean);
    updateBaseline(Last);
    if (!isCongested()) {
      Size = std::min(Size + 1 / Size, Largest);
      return;
    }
    // Once for all that were under way together.
    if (Now < ShrinkAgainAt)
      return;
    Size = std::max(Size * Shrink, 1.0);
    ShrinkAgainAt = Now + Millis(static_cast<std::int64_t>(Mean));
  }

  bool mayBegin(std::size_t UnderWay) const {
    return static_cast<double>(UnderWay) < Size;
  }
  /// True while statements wait inside the target.
  bool isCongested() const {
    return Baseline > 0 && Mean > Baseline * CongestionFactor;
  }
  /// True where answers are known to come about as soon as the work allows.
  bool isUncongested() const { return Baseline > 0 && !isCongested(); }
  /// Mean time from sending to answer, in milliseconds.
  double mean() const { return Mean; }

private:
  /// Answers of one kind differ by several times, and the least of a moving
  /// mean of ten is a matter of luck: it was half of the true mean, and targets
  /// that were well counted as crowded. Batches of more answers are nearer.
  void updateBaseline(double Last) {
    BatchSum += Last;
    if (++BatchSize < Batch)
      return;
    const double OfBatch = BatchSum / Batch;
    Baseline =
        Baseline == 0 ? OfBatch : std::min(OfBatch, Baseline * (1 + Drift));
    BatchSum = 0;
    BatchSize = 0;
  }

  /// A moving mean over about ten answers: statements of one kind differ by
  /// several times.
  static constexpr double Gain = 0.1;
  static constexpr int Batch = 32;
  /// The least mean rises by this part with each batch, so that a target whose
  /// work has become longer isn't taken for crowded for good: by a half in
  /// 900 answers.
  static constexpr double Drift = 0.015;
  /// Two statements wait for each that runs: a slot that comes free finds the
  /// next one there, though each proxy counts only its own.
  static constexpr double CongestionFactor = 2;
  static constexpr double Shrink = 0.8;
  /// More than a proxy has connections to one target.
  static constexpr double Largest = 64;

  double Mean = 5;
  double Baseline = 0; ///< 0 before the first batch.
  double BatchSum = 0;
  int BatchSize = 0;
  double Size = 8;
  Millis ShrinkAgainAt;
};

} // namespace corianderdyke

#endif
