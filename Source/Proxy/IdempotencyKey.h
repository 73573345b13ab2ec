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
/// The target stores the key in the same transaction as the statement, so that
/// a failure of a proxy or a primary cannot separate the two. Targets discard
/// old keys, and a request with a discarded key would run again. So each key
/// contains the time of its issue, and a key that may have been discarded is
/// refused.
class IdempotencyKey {
public:
  /// How far the clocks of callers, proxies and targets may deviate from the
  /// true time. Targets keep keys for the manifest's retention plus twice this,
  /// so that no proxy accepts a key that a target has discarded.
  static constexpr Millis ClockTolerance = Millis(60000);

  /// Parses the form above; BadInput if \p Text has another form.
  static Expected<IdempotencyKey> parse(const std::string &Text);

  /// Conflict if the key is older than \p Retention or was issued in the
  /// future.
  Expected<void> check(Millis WallTime, Millis Retention) const;

  /// The key as sent to the target. It includes the organisation's name, since
  /// two organisations may choose the same characters and one would get the
  /// other's answer.
  std::string textFor(const std::string &Organisation) const;

  auto operator<=>(const IdempotencyKey &) const = default;

private:
  Millis IssuedAt;
  std::string Opaque;
};

} // namespace corianderdyke

#endif
