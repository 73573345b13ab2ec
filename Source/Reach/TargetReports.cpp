/// \file
/// Which targets a gateway cannot reach, as seen by itself and by its peers.

#include "Reach/TargetReports.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Names kept of one report: well above the targets of a system, so it only
/// bounds memory if a report is false.
constexpr std::size_t MaxNames = 1024;

} // namespace

bool UnreachableTargets::update(const std::set<std::string> &Failing,
                                Millis Now) {
  bool HasChanged = false;
  for (const std::string &Each : Failing)
    HasChanged |= FailedAt.insert_or_assign(Each, Now).second;
  HasChanged |= std::erase_if(FailedAt, [Now](const auto &Each) {
                  return Now - Each.second >= RecoveryTime;
                }) != 0;
  return HasChanged;
}

std::vector<std::string> UnreachableTargets::names() const {
  std::vector<std::string> Out;
  Out.reserve(FailedAt.size());
  for (const auto &[Name, Last] : FailedAt)
    Out.push_back(Name);
  return Out;
}

void ReportedTargets::record(const std::vector<std::string> &Unreachable,
                             Millis Now) {
  const auto Count = std::min(Unreachable.size(), MaxNames);
  Names = {Unreachable.begin(),
           Unreachable.begin() + static_cast<std::ptrdiff_t>(Count)};
  ReceivedAt = Now;
}

} // namespace corianderdyke
