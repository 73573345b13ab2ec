/// \file
/// Creates realistic views, manifests and requests of any size.

#include "Samples.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::uint64_t SampleSequence = 1700000000000;

std::string numbered(const std::string &Prefix, std::size_t Number) {
  return Prefix + "-" + std::to_string(Number);
}

Locality sampleLocality(std::size_t Number) {
  constexpr std::size_t Regions = 5;
  constexpr std::size_t Domains = 13;
  return {numbered("region", Number % Regions),
          numbered("failure-domain", Number % Domains),
          numbered("host", Number)};
}

} // namespace

Manifest sampleManifest(std::size_t Databases) {
  Manifest Out;
  Out.Version = 1;
  constexpr std::size_t OrganisationsPerDatabases = 10;
  for (std::size_t Number = 0;
       Number < Databases / OrganisationsPerDatabases + 1; ++Number)
    Out.Organisations.push_back({numbered("organisation", Number), 1});
  for (std::size_t Number = 0; Number < Databases; ++Number) {
    DatabasePolicy Policy;
    Policy.Name = numbered("bale-ledger", Number);
    Out.Databases.push_back(Policy);
  }
  std::sort(Out.Organisations.begin(), Out.Organisations.end());
  std::sort(Out.Databases.begin(), Out.Databases.end());
  constexpr std::size_t Kinds = 12;
  for (std::size_t Number = 0; Number < Kinds; ++Number) {
    RequestKindPolicy Kind;
    Kind.Name = numbered("kind", Number);
    Kind.MaxStaleness = Millis(2000);
    Out.Kinds.push_back(Kind);
  }
  std::sort(Out.Kinds.begin(), Out.Kinds.end());
  return Out;
}

ClusterView sampleView(std::size_t Databases, std::size_t Proxies) {
  ClusterView Out;
  Out.Revision = 1;
  Out.CurrentManifest = sampleManifest(Databases);
  Out.MaxLeaseDuration = Out.CurrentManifest->Failover.LeaseDuration;
  for (const DatabasePolicy &Policy : Out.CurrentManifest->Databases) {
    GroupRecord &Group = Out.Groups[Policy.Name];
    Group.Database = Policy.Name;
    Group.Phase = GroupPhase::Promoted;
    Group.Term = 2;
    Group.Primary = Policy.Name + "-0";
    Group.PrimarySequence = SampleSequence;
    Group.Forks = {{1, 0}, {2, 1000}};
    for (std::size_t Number = 0; Number < TargetsPerDatabase; ++Number) {
      TargetAnnouncement Target;
      Target.Name = numbered(Policy.Name, Number);
      Target.Database = Policy.Name;
      Target.TargetLocality = sampleLocality(Number);
      Target.Address = {"10.100.200.30", 5432};
      Target.Sequence = SampleSequence;
      Target.LogId = numbered("1234567890123456789", Number);
      Out.Targets[Target.Name] = Target;
      Group.Targets.insert(Target.Name);
      Group.CompleteLogs[Target.Name] = Target.LogId;
    }
  }
  for (std::size_t Number = 0; Number < Proxies; ++Number)
    Out.Proxies[sampleProxy(Number)] = sampleLocality(Number);
  return Out;
}

ProcessId sampleProxy(std::size_t Number) {
  return {numbered("entry", Number), 1234567890123456789ULL};
}

LeaseRequest sampleRequest(std::size_t Reports) {
  LeaseRequest Out{
      sampleProxy(1), sampleLocality(1), 1000, Millis(1000000), 100000, {}};
  for (std::size_t Number = 0; Number < Reports; ++Number)
    Out.Reports.push_back(
        {numbered("bale-ledger-1000", Number), false, Millis(400)});
  return Out;
}

} // namespace corianderdyke
