/// \file
/// The key under which a request runs at most once.

#ifndef CORIANDERDYKE_PROXY_IDEMPOTENCYKEY_H
#define CORIANDERDYKE_PROXY_IDEMPOTENCYKEY_H

#include "Common/Error.h"
#include "Common/Millis.h"

#include <compare>

namespace corianderdyke {

/// "<milliseconds since 1970>-<up to 100 of the caller's own characters>".
///
/// The target writes the key in the transaction of the statement that it
/// stands for, so that neither a proxy's nor a primary's death parts the two.
/// It can't keep keys for ever. A key that was forgotten would run again, so
/// each carries the time of its issue, and one that may have been forgotten
/// is refused.
class IdempotencyKey {
public:
  /// How far the clocks of callers, proxies and targets may be from the true
  /// time. Targets keep keys for the manifest's retention and twice this, so
  /// that no proxy accepts a key that a target has forgotten.
  static constexpr Millis ClockTolerance = Millis(60000);

  /// BadInput where \p Text isn't of that form.
  static Expected<IdempotencyKey> parse(const std::string &Text);

  /// Conflict where the key was issued before the retention, or in the
  /// future.
  Expected<void> check(Millis WallTime, Millis Retention) const;

  /// As the target sees it. Two organisations may choose the same characters;
  /// without its name one would get the other's answer.
  std::string textFor(const std::string &Organisation) const;

  auto operator<=>(const IdempotencyKey &) const = default;

private:
  Millis IssuedAt;
  std::string Opaque;
};

} // namespace corianderdyke

#endif
