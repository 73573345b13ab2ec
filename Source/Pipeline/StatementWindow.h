/// \file
/// Limits how many statements one proxy has in flight at a target.
///
/// When, for seconds, more statements arrive than a target can run, statements
/// that are sent as connections become free wait inside the target in order of
/// arrival: urgent ones wait behind others, every answer takes several times as
/// long, and beyond its queue the target refuses. Statements that are held back
/// at the proxy are sent by priority, and those that would be late are refused.
///
/// Answer times show whether statements wait inside the target: they are
/// compared with the lowest recent mean, which is the work alone. While they
/// are near it the window grows, so a target with free slots is never held
/// back; beyond a multiple of it the window shrinks, down to one statement per
/// proxy.

#ifndef CORIANDERDYKE_PIPELINE_STATEMENTWINDOW_H
#define CORIANDERDYKE_PIPELINE_STATEMENTWINDOW_H

#include "Common/Millis.h"

#include <algorithm>
#include <cstddef>

namespace corianderdyke {

class StatementWindow {
public:
  /// Records that a statement was answered \p AnswerTime after it was sent.
  void recordAnswerTime(Millis AnswerTime, Millis Now) {
    const auto Last = std::max(static_cast<double>(AnswerTime.count()), 1.0);
    Mean += Gain * (Last - Mean);
    updateBaseline(Last);
    if (!isCongested()) {
      Size = std::min(Size + 1 / Size, MaxSize);
      return;
    }
    // Shrinks once for all statements that were in flight together.
    if (Now < ShrinkAgainAt)
      return;
    Size = std::max(Size * ShrinkFactor, 1.0);
    ShrinkAgainAt = Now + Millis(static_cast<std::int64_t>(Mean));
  }

  bool mayBegin(std::size_t InFlight) const {
    return static_cast<double>(InFlight) < Size;
  }
  /// True while statements wait inside the target.
  bool isCongested() const {
    return Baseline > 0 && Mean > Baseline * CongestionFactor;
  }
  /// True if enough answers are known and they do not indicate waiting.
  bool isUncongested() const { return Baseline > 0 && !isCongested(); }
  /// Mean time from sending to answer, in milliseconds.
  double mean() const { return Mean; }

private:
  /// Answer times of one kind of statement differ by several times, and the
  /// lowest of a moving mean over ten answers is mostly chance: it is half of
  /// the true mean, so that healthy targets count as congested. Batches of more
  /// answers are closer to the mean.
  void updateBaseline(double Last) {
    BatchSum += Last;
    if (++BatchSize < BatchLength)
      return;
    const double BatchMean = BatchSum / BatchLength;
    Baseline =
        Baseline == 0 ? BatchMean : std::min(BatchMean, Baseline * (1 + Drift));
    BatchSum = 0;
    BatchSize = 0;
  }

  /// Moving mean over about ten answers: statements of one kind differ by
  /// several times.
  static constexpr double Gain = 0.1;
  static constexpr int BatchLength = 32;
  /// The baseline rises by this part with each batch, so that a target whose
  /// statements now take longer does not count as congested for good: by a half
  /// in 900 answers.
  static constexpr double Drift = 0.015;
  /// Two statements wait for each one that runs: a freed slot always finds the
  /// next statement at the target, although each proxy counts only its own.
  static constexpr double CongestionFactor = 2;
  static constexpr double ShrinkFactor = 0.8;
  /// More than the connections of a proxy to one target.
  static constexpr double MaxSize = 64;

  double Mean = 5;
  double Baseline = 0; ///< 0 before the first batch.
  double BatchSum = 0;
  int BatchSize = 0;
  double Size = 8;
  Millis ShrinkAgainAt;
};

} // namespace corianderdyke

#endif
