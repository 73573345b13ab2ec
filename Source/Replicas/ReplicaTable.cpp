/// \file
/// The progress of all replicas, as this process knows it.

#include "Replicas/ReplicaTable.h"

namespace corianderdyke {

void ReplicaTable::update(const TargetRecord &New, Millis Now) {
  if (New.IsGone) {
    const auto Group = Groups.find(New.Group);
    if (Group != Groups.end())
      Group->second.erase(New.Id);
    return;
  }
  Replica &Known = Groups[New.Group][New.Id];
  if (New.Incarnation > Known.Incarnation) {
    if (Known.Incarnation > 0)
      Known.Progress.reset(Now);
    Known.Incarnation = New.Incarnation;
  }
  Known.IsPrimary = New.IsPrimary;
}

ReplicaProgress *ReplicaTable::find(const std::string &Group,
                                    const std::string &Target) {
  const auto FoundGroup = Groups.find(Group);
  if (FoundGroup == Groups.end())
    return nullptr;
  const auto Found = FoundGroup->second.find(Target);
  return Found == FoundGroup->second.end() ? nullptr : &Found->second.Progress;
}

void ReplicaTable::recordAnswer(const std::string &Group,
                                const std::string &Target, LogPosition Position,
                                Millis SentAt, Millis Now) {
  if (ReplicaProgress *Progress = find(Group, Target))
    Progress->recordAnswer(Position, SentAt, Now);
}

void ReplicaTable::recordReport(const std::string &Group,
                                const ReplicaReport &Report, Millis Now) {
  if (Report.Age > ReportMaxAge)
    return;
  if (ReplicaProgress *Progress = find(Group, Report.Target))
    Progress->recordReport(Report.Position, Report.Age, Now);
}

std::optional<ReplicaReport> ReplicaTable::nextReport(const std::string &Group,
                                                      const std::string &Except,
                                                      SentReports &Before,
                                                      Millis Now) const {
  const auto FoundGroup = Groups.find(Group);
  if (FoundGroup == Groups.end())
    return std::nullopt;
  const std::string *Next = nullptr;
  ReplicaProgress::Observation Latest;
  Millis NextSentAt;
  for (const auto &[Id, Each] : FoundGroup->second) {
    const auto &Observed = Each.Progress.latestOwn();
    if (Each.IsPrimary || Id == Except || !Observed ||
        Now - Observed->At > ReportMaxAge)
      continue;
    const auto Last = Before.find(Id);
    if (Last != Before.end() && (Now - Last->second.At < ReportInterval ||
                                 Last->second.ObservedAt >= Observed->At))
      continue;
    const Millis SentAt =
        Last == Before.end() ? Millis(-1000000) : Last->second.At;
    if (Next != nullptr && NextSentAt <= SentAt)
      continue;
    Next = &Id;
    Latest = *Observed;
    NextSentAt = SentAt;
  }
  if (Next == nullptr)
    return std::nullopt;
  Before[*Next] = {Now, Latest.At};
  return ReplicaReport{*Next, Latest.Position, Now - Latest.At};
}

} // namespace corianderdyke
