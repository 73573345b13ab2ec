/// \file
/// The key under which a request runs at most once.

#include "Proxy/IdempotencyKey.h"

#include "Http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace corianderdyke {

namespace {

constexpr std::size_t MaxOpaqueBytes = 100;
/// In the year 5138; later times could overflow sums.
constexpr std::uint64_t LatestIssue = 100000000000000;

bool isPrintable(char Each) {
  return std::isgraph(static_cast<unsigned char>(Each)) != 0;
}

} // namespace

Expected<IdempotencyKey> IdempotencyKey::parse(const std::string &Text) {
  const std::size_t Dash = std::min(Text.find('-'), Text.size());
  const std::uint64_t Issued = numberOr(Text.substr(0, Dash), 0);
  IdempotencyKey Out;
  Out.Opaque = Dash == Text.size() ? "" : Text.substr(Dash + 1);
  if (Issued == 0 || Issued > LatestIssue || Out.Opaque.empty() ||
      Out.Opaque.size() > MaxOpaqueBytes ||
      !std::all_of(Out.Opaque.begin(), Out.Opaque.end(), isPrintable))
    return fail(ErrorCode::BadInput,
                "'" + Text.substr(0, MaxOpaqueBytes) +
                    "' isn't of the form <milliseconds since 1970>-<1 to " +
                    std::to_string(MaxOpaqueBytes) + " printable characters>");
  Out.IssuedAt = Millis(static_cast<std::int64_t>(Issued));
  return Out;
}

Expected<void> IdempotencyKey::check(Millis WallTime, Millis Retention) const {
  if (IssuedAt < WallTime - Retention)
    return fail(ErrorCode::Conflict, "the key is too old: keys are kept for " +
                                         std::to_string(Retention.count()) +
                                         " ms");
  if (IssuedAt > WallTime + ClockTolerance)
    return fail(ErrorCode::Conflict,
                "the key was issued in the future: the caller's clock is fast");
  return {};
}

std::string IdempotencyKey::textFor(const std::string &Organisation) const {
  return std::to_string(IssuedAt.count()) + "-" + Organisation + "/" + Opaque;
}

} // namespace corianderdyke
