/// \file
/// Implements the record of a soak test and its checks.

#include "Ledger.h"

#include <algorithm>

namespace corianderdyke::soak {

void Ledger::addBreach(const std::string &What) {
  constexpr std::size_t Most = 50;
  if (Breaches.size() < Most)
    Breaches.push_back(std::to_string(Time.now().count()) + " ms: " + What);
}

void Ledger::recordExecution(const std::string &Id, Execution What,
                             const std::unordered_set<std::string> &Log) {
  const auto Known = Sent.find(Id);
  if (Known == Sent.end())
    return addBreach("no caller sent " + Id + ", which was executed on " +
                     What.Server);
  if (Known->second.Text != What.Text)
    addBreach(Id + " ran as '" + What.Text + "', sent as '" +
              Known->second.Text + "'");
  if (Known->second.Tenant != What.Tenant)
    addBreach(Id + " ran with the value '" + What.Tenant + "' in place of '" +
              Known->second.Tenant + "'");
  if (What.Transaction != 0) {
    const std::string &First =
        OperationByTransaction
            .try_emplace(What.Transaction, Known->second.Operation)
            .first->second;
    if (First != Known->second.Operation)
      addBreach(Id + " ran inside the transaction of " + First);
  }
  What.Missed = missedBy(Known->second, Log);
  Executions[Id].push_back(std::move(What));
}

void Ledger::recordCommit(const std::string &Server,
                          const std::vector<std::string> &Writes) {
  for (const std::string &Id : Writes) {
    if (++CommitCounts[Id] > 1)
      addBreach(Id + " took effect twice, the second time on " + Server);
    if (ForbiddenCommits.count(Id) != 0)
      addBreach(Id + " was committed although it was refused or rolled back");
  }
  const auto Operation = [this](const std::string &Id) {
    const auto Known = Sent.find(Id);
    return Known == Sent.end() ? Id : Known->second.Operation;
  };
  for (const std::string &Id : Writes)
    if (Operation(Id) != Operation(Writes.front()))
      addBreach(Id + " and " + Writes.front() +
                " of two callers were committed together");
}

void Ledger::recordRollback(const std::vector<std::string> &Writes) {
  RolledBack.insert(Writes.begin(), Writes.end());
}

void Ledger::recordSuccess(const std::string &Id, const std::string &Rows,
                           const std::string &Signature) {
  const auto Found = Executions.find(Id);
  if (Found == Executions.end())
    return addBreach(Id + " succeeded without an execution");
  const auto Match = std::find_if(
      Found->second.begin(), Found->second.end(), [&](const Execution &Each) {
        return Each.Rows == Rows && Each.Signature == Signature;
      });
  if (Match == Found->second.end())
    return addBreach(Id + " got rows or a signature of no execution of it");
  if (!Match->Missed.empty())
    addBreach(Id + " was read on " + Match->Server + ", whose log lacked " +
              Match->Missed);
}

void Ledger::recordAcknowledged(const std::vector<std::string> &Writes,
                                const std::string &Session) {
  for (const std::string &Id : Writes) {
    if (CommitCounts[Id] == 0)
      addBreach(Id + " was acknowledged but never committed");
    Acknowledged.push_back({Id, Session, Time.now()});
  }
}

std::string Ledger::missedBy(const SentStatement &Read,
                             const std::unordered_set<std::string> &Log) const {
  if (Read.RequiredVisibility == Visibility::Nothing)
    return "";
  const Millis Until = Read.RequiredVisibility == Visibility::All
                           ? Read.Began
                           : Read.Began - Read.Age;
  for (const Acknowledgement &Each : Acknowledged) {
    const bool IsOwn = Read.RequiredVisibility == Visibility::OlderAndOwn &&
                       Each.Session == Read.Session && Each.At < Read.Began;
    if ((Each.At >= Until && !IsOwn) || RolledBack.count(Each.Id) != 0 ||
        Log.count(Each.Id) != 0)
      continue;
    return Each.Id + ", acknowledged " +
           std::to_string((Read.Began - Each.At).count()) +
           " ms before it began";
  }
  return "";
}

void Ledger::finish() {
  for (const Acknowledgement &Each : Acknowledged)
    if (RolledBack.count(Each.Id) == 0 && ForbiddenCommits.count(Each.Id) != 0)
      addBreach(Each.Id +
                " was acknowledged although it was refused or rolled back");
}

} // namespace corianderdyke::soak
