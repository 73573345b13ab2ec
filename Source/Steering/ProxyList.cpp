/// \file
/// The proxies that follow a leading control host, for each other.

#include "Steering/ProxyList.h"

namespace corianderdyke {

namespace {

/// Without news for this long all are known: proxies ask every half second,
/// and those that look for a leader three times as often.
constexpr Millis QuietBefore(400);
/// Known or not, the list is told after this long.
constexpr Millis LongestWait(1500);

} // namespace

void ProxyList::startTerm(const std::map<std::string, ProxyRecord> &Noted,
                          Millis Now) {
  ByName.clear();
  RemovedRevisions.clear();
  Revision = 1;
  for (const auto &[Name, Each] : Noted)
    ByName[Name] = {Each, Now, false, Revision};
  StartedWithRecorded = !Noted.empty();
  BeganAt = Now;
  LastChangeAt = Now;
}

void ProxyList::update(const ProxyRecord &Said, bool IsLeaving, Millis Now) {
  if (Said.RelayEndpoint.Port == 0)
    return;
  const auto Before = ByName.find(Said.Name);
  const bool IsNews = Before == ByName.end()
                          ? !IsLeaving
                          : Before->second.Record != Said ||
                                Before->second.IsLeaving != IsLeaving;
  const std::uint64_t LastChange =
      Before == ByName.end() ? Revision : Before->second.ChangedRevision;
  if (IsNews) {
    ++Revision;
    LastChangeAt = Now;
  }
  ByName[Said.Name] = {Said, Now, IsLeaving, IsNews ? Revision : LastChange};
  RemovedRevisions.erase(Said.Name);
}

void ProxyList::removeExpired(Millis Now, Millis Kept) {
  const std::uint64_t Next = Revision + 1;
  const std::size_t Gone = std::erase_if(ByName, [&](const auto &Each) {
    const bool IsGone = Now - Each.second.LastContact > Kept;
    if (IsGone)
      RemovedRevisions[Each.first] = Next;
    return IsGone;
  });
  if (Gone > 0)
    Revision = Next;
}

bool ProxyList::isReady(Millis Now) const {
  return StartedWithRecorded || Now - LastChangeAt >= QuietBefore ||
         Now - BeganAt >= LongestWait;
}

RecordProxies ProxyList::unrecordedChanges(
    const std::map<std::string, ProxyRecord> &Noted) const {
  RecordProxies Out;
  std::map<std::string, ProxyRecord> Present;
  for (const ProxyRecord &Each : all()) {
    Present[Each.Name] = Each;
    const auto Before = Noted.find(Each.Name);
    if (Before == Noted.end() || Before->second != Each)
      Out.Present.push_back(Each);
  }
  for (const auto &[Name, Each] : Noted)
    if (Present.count(Name) == 0)
      Out.Removed.push_back(Name);
  return Out;
}

RecordProxies ProxyList::changedSince(std::uint64_t Since) const {
  RecordProxies Out;
  for (const auto &[Name, Each] : ByName) {
    if (Each.ChangedRevision <= Since)
      continue;
    if (Each.IsLeaving)
      Out.Removed.push_back(Name);
    else
      Out.Present.push_back(Each.Record);
  }
  for (const auto &[Name, In] : RemovedRevisions)
    if (In > Since)
      Out.Removed.push_back(Name);
  return Out;
}

std::vector<ProxyRecord> ProxyList::all() const {
  std::vector<ProxyRecord> Out;
  for (const auto &[Name, Each] : ByName)
    if (!Each.IsLeaving)
      Out.push_back(Each.Record);
  return Out;
}

} // namespace corianderdyke
