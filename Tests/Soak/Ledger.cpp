/// \file
/// The truth of a soak.

#include "Ledger.h"

#include <algorithm>

namespace corianderdyke::soak {

void Ledger::breach(const std::string &What) {
  constexpr std::size_t Most = 50;
  if (Breaches.size() < Most)
    Breaches.push_back(std::to_string(Time.now().count()) + " ms: " + What);
}

void Ledger::ran(const std::string &Id, Run What,
                 const std::unordered_set<std::string> &Log) {
  const auto Known = Sent.find(Id);
  if (Known == Sent.end())
    return breach("nobody sent " + Id + ", which ran on " + What.Server);
  if (Known->second.Text != What.Text)
    breach(Id + " ran as '" + What.Text + "', sent as '" + Known->second.Text +
           "'");
  if (Known->second.Tenant != What.Tenant)
    breach(Id + " ran with the value '" + What.Tenant + "' in place of '" +
           Known->second.Tenant + "'");
  if (What.Transaction != 0) {
    const std::string &First =
        Inside.try_emplace(What.Transaction, Known->second.Operation)
            .first->second;
    if (First != Known->second.Operation)
      breach(Id + " ran inside the transaction of " + First);
  }
  What.Missed = missedBy(Known->second, Log);
  Runs[Id].push_back(std::move(What));
}

void Ledger::committed(const std::string &Server,
                       const std::vector<std::string> &Writes) {
  for (const std::string &Id : Writes) {
    if (++Commits[Id] > 1)
      breach(Id + " took effect twice, the second time on " + Server);
    if (Promised.count(Id) != 0)
      breach(Id + " was committed after its caller was promised otherwise");
  }
  const auto Operation = [this](const std::string &Id) {
    const auto Known = Sent.find(Id);
    return Known == Sent.end() ? Id : Known->second.Operation;
  };
  for (const std::string &Id : Writes)
    if (Operation(Id) != Operation(Writes.front()))
      breach(Id + " and " + Writes.front() +
             " of two callers were committed together");
}

void Ledger::rolledBack(const std::vector<std::string> &Writes) {
  RolledBack.insert(Writes.begin(), Writes.end());
}

void Ledger::succeeded(const std::string &Id, const std::string &Rows,
                       const std::string &Proof) {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return breach(Id + " succeeded without a run");
  const auto Whole = std::find_if(
      Found->second.begin(), Found->second.end(), [&](const Run &Each) {
        return Each.Rows == Rows && Each.Proof == Proof;
      });
  if (Whole == Found->second.end())
    return breach(Id + " got rows or a signature that no run of it had");
  if (!Whole->Missed.empty())
    breach(Id + " was read on " + Whole->Server + ", whose log lacked " +
           Whole->Missed);
}

void Ledger::acknowledged(const std::vector<std::string> &Writes,
                          const std::string &Session) {
  for (const std::string &Id : Writes) {
    if (Commits[Id] == 0)
      breach(Id + " was acknowledged and never committed");
    Acknowledged.push_back({Id, Session, Time.now()});
  }
}

std::string Ledger::missedBy(const Asked &Read,
                             const std::unordered_set<std::string> &Log) const {
  if (Read.See == Must::Nothing)
    return "";
  const Millis Until =
      Read.See == Must::All ? Read.Began : Read.Began - Read.Age;
  for (const Acknowledgement &Each : Acknowledged) {
    const bool IsOwn = Read.See == Must::OlderAndOwn &&
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
    if (RolledBack.count(Each.Id) == 0 && Promised.count(Each.Id) != 0)
      breach(Each.Id + " was acknowledged and promised not to be kept");
}

} // namespace corianderdyke::soak
