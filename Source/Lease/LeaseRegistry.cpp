/// \file
/// Leases granted by the leader, and which proxies may still act on old
/// decisions.

#include "Lease/LeaseRegistry.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::int64_t Million = 1000000;
/// Each of the two clock readings is truncated and may lag by up to one
/// millisecond.
constexpr Millis Rounding(2);

} // namespace

Millis maxLeaseAcrossClocks(Millis Duration, std::uint32_t DriftPpm) {
  // The clock of the proxy shows Duration after Duration / (1 - drift), in
  // which time the clock of the leader may advance by (1 + drift) times that.
  // Adding twice the drift would be too short: by 13 ms for 600 ms at a drift
  // of one tenth.
  const std::int64_t Slowest = Million - DriftPpm;
  const std::int64_t Fastest = Million + DriftPpm;
  return Millis((Duration.count() * Fastest + Slowest - 1) / Slowest) +
         Rounding;
}

const TargetReport *
LeaseRegistry::Holder::unhealthyReport(const std::string &Target) const {
  for (const TargetReport &Each : Reports)
    if (Each.Target == Target && Each.isUnhealthy())
      return &Each;
  return nullptr;
}

void LeaseRegistry::startTerm(const ClusterView &View, Millis Now) {
  Holders.clear();
  const std::uint32_t DriftPpm =
      View.CurrentManifest ? View.CurrentManifest->Failover.ClockDriftPpm : 0;
  for (const auto &[Id, ProxyLocality] : View.Proxies) {
    Holder &Known = Holders[Id];
    Known.LastRequestAt = Now;
    Known.LeaseEnds[0] =
        Now + maxLeaseAcrossClocks(View.MaxLeaseDuration, DriftPpm);
  }
}

void LeaseRegistry::recordRequest(const LeaseRequest &Request,
                                  const Endpoint &ReplyTo, Millis Now) {
  Holder &Known = Holders[Request.Proxy];
  Known.ReplyTo = ReplyTo;
  Known.LastRequestAt = Now;
  Known.AppliedRevision =
      std::max(Known.AppliedRevision, Request.AppliedRevision);
  // Datagrams may arrive out of order.
  if (Request.Sequence < Known.Sequence)
    return;
  Known.Sequence = Request.Sequence;
  Known.ReportedRevision = Request.AppliedRevision;
  Known.Reports = Request.Reports;
  Known.BusyDatabases = Request.BusyDatabases;
}

void LeaseRegistry::recordGrant(const LeaseGrant &Grant, Millis ReceivedAt,
                                std::uint32_t DriftPpm) {
  Holder &Known = Holders[Grant.Proxy];
  Millis &End = Known.LeaseEnds[Grant.RequiredRevision];
  End = std::max(End,
                 ReceivedAt + maxLeaseAcrossClocks(Grant.Duration, DriftPpm));
  while (Known.LeaseEnds.size() > 1 &&
         Known.LeaseEnds.begin()->second < ReceivedAt)
    Known.LeaseEnds.erase(Known.LeaseEnds.begin());
}

void LeaseRegistry::recordApplied(const ProcessId &Proxy,
                                  std::uint64_t Revision) {
  const auto Known = Holders.find(Proxy);
  if (Known != Holders.end())
    Known->second.AppliedRevision =
        std::max(Known->second.AppliedRevision, Revision);
}

bool LeaseRegistry::isInForce(const ClusterView &View, std::uint64_t Revision,
                              Millis Now) const {
  for (const auto &[Id, ProxyLocality] : View.Proxies) {
    const auto Known = Holders.find(Id);
    if (Known == Holders.end() || Known->second.AppliedRevision >= Revision)
      continue;
    for (const auto &[Required, End] : Known->second.LeaseEnds)
      if (Required < Revision && End > Now)
        return false;
  }
  return true;
}

bool LeaseRegistry::isDrained(const ClusterView &View,
                              const std::string &Database,
                              std::uint64_t Revision, Millis Now) const {
  if (!isInForce(View, Revision, Now))
    return false;
  for (const auto &[Id, ProxyLocality] : View.Proxies) {
    const auto Known = Holders.find(Id);
    const auto End = expiry(Id);
    if (Known == Holders.end() || !End || *End <= Now)
      continue;
    if (Known->second.ReportedRevision < Revision ||
        Known->second.BusyDatabases.count(Database) != 0)
      return false;
  }
  return true;
}

std::optional<Millis> LeaseRegistry::expiry(const ProcessId &Proxy) const {
  const auto Known = Holders.find(Proxy);
  if (Known == Holders.end() || Known->second.LeaseEnds.empty())
    return std::nullopt;
  Millis Latest;
  for (const auto &[Required, End] : Known->second.LeaseEnds)
    Latest = std::max(Latest, End);
  return Latest;
}

} // namespace corianderdyke
