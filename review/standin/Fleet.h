/// \file
/// The tested system as separate processes: control hosts and proxies with
/// settings like those of the small deployment in Riga, and its operator.

#ifndef CORIANDERDYKE_REVIEW_FLEET_H
#define CORIANDERDYKE_REVIEW_FLEET_H

#include "Net.h"
#include "Record.h"

#include <memory>
#include <sys/types.h>
#include <vector>

namespace review {

/// A process that is killed with this object.
class Process {
public:
  Process(std::string Given, const std::string &Program,
          const std::string &Settings, const std::string &Output);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Which) const;
  const std::string &name() const { return Name; }
  bool isRunning();

private:
  std::string Name;
  pid_t Id = 0;
};

class Fleet {
public:
  /// Takes a free range of loopback addresses. \p Folder is for settings, data
  /// and logs.
  Fleet(std::string Program, std::string Folder, Record &Log);

  /// Hosts that found the control group; the first of them are the seeds.
  static constexpr std::size_t ControlHosts = 5;
  static constexpr std::size_t Seeds = 3;

  Endpoint control(std::size_t Number) const;
  Endpoint frontend(std::size_t Number) const;
  Endpoint server(std::size_t Number) const;
  Endpoint provider() const;
  /// The control hosts that run, as the operator and the servers know them.
  std::vector<Endpoint> controls() const;

  void start(std::size_t ProxyCount);
  /// Starts a control host, also again after it has ended; one that \p Founds
  /// may found the group. With \p LosesDisk its data folder is a new one.
  void startControl(std::size_t Number, bool Founds, bool LosesDisk = false);
  /// Ends a control host: by SIGKILL, or by SIGTERM and a wait for its end.
  void endControl(std::size_t Number, bool IsPlanned);
  /// Sends a desired state until it is acknowledged.
  bool replaceConfig(const std::string &Document, int TimeoutMs);
  /// Reads the desired state at all hosts in turn until one answers; empty if
  /// none does in time.
  std::string describeConfig(int TimeoutMs);
  /// Waits until all proxies are ready.
  bool awaitReady(int TimeoutMs);
  bool isReady(std::size_t Proxy) const;
  Process &proxy(std::size_t Number) { return *Proxies[Number]; }
  /// Kills all processes.
  void stop();

private:
  std::string address(int Kind, std::size_t Number) const;
  std::string seeds() const;
  void startProxy(std::size_t Number);
  std::unique_ptr<Process> run(const std::string &Name,
                               const std::string &Settings);

  std::string Program;
  std::string Folder;
  Record &Log;
  std::string Prefix;
  std::map<std::size_t, std::unique_ptr<Process>> Controls; ///< By number.
  std::map<std::size_t, unsigned> LostDisks;                ///< By number.
  std::vector<std::unique_ptr<Process>> Proxies;
};

/// One database of one service with a route of each kind: "handover"
/// (primary), "lookup" (bounded_staleness) and "certify" (read_your_writes).
std::string desiredState(std::uint64_t Version, const std::string &Service,
                         unsigned SyncReplicas);

} // namespace review

#endif
