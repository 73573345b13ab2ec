/// \file
/// The list of proxies that a leading control host distributes to all proxies.

#include "Steering/ProxyList.h"

namespace corianderdyke {

namespace {

/// Without a change for this long the list counts as complete: proxies send
/// requests every half second, and about three times as often while they look
/// for a leader.
constexpr Millis SettlingTime(400);
/// After this long the list is sent even if it may be incomplete.
constexpr Millis MaxCollectionTime(1500);

} // namespace

void ProxyList::startTerm(const std::map<std::string, ProxyRecord> &Recorded,
                          Millis Now) {
  ByName.clear();
  RemovedRevisions.clear();
  Revision = 1;
  for (const auto &[Name, Each] : Recorded)
    ByName[Name] = {Each, Now, false, Revision};
  StartedWithRecorded = !Recorded.empty();
  StartedAt = Now;
  LastChangeAt = Now;
}

void ProxyList::update(const ProxyRecord &Record, bool IsLeaving, Millis Now) {
  if (Record.RelayEndpoint.Port == 0)
    return;
  const auto Before = ByName.find(Record.Name);
  const bool IsChange = Before == ByName.end()
                            ? !IsLeaving
                            : Before->second.Record != Record ||
                                  Before->second.IsLeaving != IsLeaving;
  const std::uint64_t LastChange =
      Before == ByName.end() ? Revision : Before->second.ChangedRevision;
  if (IsChange) {
    ++Revision;
    LastChangeAt = Now;
  }
  ByName[Record.Name] = {Record, Now, IsLeaving,
                         IsChange ? Revision : LastChange};
  RemovedRevisions.erase(Record.Name);
}

void ProxyList::removeExpired(Millis Now, Millis MaxAge) {
  const std::uint64_t Next = Revision + 1;
  const std::size_t Expired = std::erase_if(ByName, [&](const auto &Each) {
    const bool IsExpired = Now - Each.second.LastContact > MaxAge;
    if (IsExpired)
      RemovedRevisions[Each.first] = Next;
    return IsExpired;
  });
  if (Expired > 0)
    Revision = Next;
}

bool ProxyList::isReady(Millis Now) const {
  return StartedWithRecorded || Now - LastChangeAt >= SettlingTime ||
         Now - StartedAt >= MaxCollectionTime;
}

RecordProxies ProxyList::unrecordedChanges(
    const std::map<std::string, ProxyRecord> &Recorded) const {
  RecordProxies Out;
  std::map<std::string, ProxyRecord> Present;
  for (const ProxyRecord &Each : all()) {
    Present[Each.Name] = Each;
    const auto Before = Recorded.find(Each.Name);
    if (Before == Recorded.end() || Before->second != Each)
      Out.Present.push_back(Each);
  }
  for (const auto &[Name, Each] : Recorded)
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
