/// \file
/// A small deployment on loopback: the project's programs as separate
/// processes, with settings like those of deploy/*.template, each host on an
/// address of its own.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_DEPLOYMENT_H
#define CORIANDERDYKE_REVIEW_STANDIN2_DEPLOYMENT_H

#include "Wire.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <vector>

namespace review2 {

struct DeploymentOptions {
  std::string Program; ///< target/Source/corianderdyke
  std::string Folder;  ///< Temporary: settings, logs and data folders.
  int Controls = 5;
  int Proxies = 3;
  int Servers = 3;
  int LostDisksBorne = 2;
  int GraceSeconds = 6;
};

class Deployment {
public:
  explicit Deployment(DeploymentOptions Given) : Options(std::move(Given)) {
    chooseNetwork();
    for (int Each = 0; Each < Options.Controls; ++Each)
      Programs.push_back({"core-" + std::to_string(Each + 1), "", -1});
    for (int Each = 0; Each < Options.Proxies; ++Each)
      Programs.push_back({"frontend-" + std::to_string(Each + 1), "", -1});
    for (Program &Each : Programs)
      Each.File = Options.Folder + "/" + Each.Name + ".toml";
  }

  ~Deployment() { killAll(); }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Address control(int Which) const { return {host(1, Which), DirectoryPort}; }
  Address proxy(int Which) const { return {host(2, Which), SessionPort}; }
  Address readiness(int Which) const { return {host(2, Which), ReadyPort}; }
  Address server(int Which) const { return {host(3, Which), ServerPort}; }
  Address provider() const { return {host(4, 0), ProviderPort}; }

  std::vector<Address> controls() const {
    std::vector<Address> Out;
    for (int Each = 0; Each < Options.Controls; ++Each)
      Out.push_back(control(Each));
    return Out;
  }

  std::vector<Address> servers() const {
    std::vector<Address> Out;
    for (int Each = 0; Each < Options.Servers; ++Each)
      Out.push_back(server(Each));
    return Out;
  }

  void startAll() {
    for (int Each = 0; Each < Options.Controls; ++Each)
      startControl(Each, true);
    for (int Each = 0; Each < Options.Proxies; ++Each)
      startProxy(Each);
  }

  void startControl(int Which, bool IsFirst) {
    writeControlSettings(Which, IsFirst);
    start(Programs[static_cast<std::size_t>(Which)]);
  }

  void startProxy(int Which) {
    writeProxySettings(Which);
    start(Programs[static_cast<std::size_t>(Options.Controls + Which)]);
  }

  /// Kills a control host's process.
  void killControl(int Which) {
    kill(Programs[static_cast<std::size_t>(Which)]);
  }

  bool isReady(int Proxy) const {
    return call(readiness(Proxy), {"GET", "/-/readiness", ""}, Ms(500))
               .Status == 200;
  }

  /// Sends a desired state until it is acknowledged; false if it never is.
  bool configure(const std::string &Body, Ms Within) const {
    const Moment Until = SteadyClock::now() + Within;
    for (int Each = 0; SteadyClock::now() < Until; ++Each) {
      const HttpReply Reply =
          callControl(control(Each % Options.Controls),
                      {"POST", "/-/Config.Replace", Body}, Ms(1000));
      if (Reply.Status == 200)
        return true;
      usleep(100000);
    }
    return false;
  }

  bool waitReady(Ms Within) const {
    const Moment Until = SteadyClock::now() + Within;
    for (int Each = 0; Each < Options.Proxies;) {
      if (isReady(Each))
        ++Each;
      else if (SteadyClock::now() >= Until)
        return false;
      else
        usleep(50000);
    }
    return true;
  }

  /// True while every process that was started runs.
  bool allRun() {
    for (Program &Each : Programs)
      if (Each.Pid > 0 && waitpid(Each.Pid, nullptr, WNOHANG) == Each.Pid) {
        Each.Pid = -1;
        return false;
      }
    return true;
  }

  void killAll() {
    for (Program &Each : Programs)
      kill(Each);
  }

private:
  struct Program {
    std::string Name;
    std::string File;
    pid_t Pid;
  };

  static constexpr int DirectoryPort = 8782;
  static constexpr int SessionPort = 8784;
  static constexpr int ReadyPort = 8785;
  static constexpr int ServerPort = 8149;
  static constexpr int ProviderPort = 8783;
  static constexpr int PeerPort = 7440;
  static constexpr int RelayPort = 7441;
  static constexpr int OperatorPort = 9464;

  std::string host(int Kind, int Which) const {
    return Network + "." + std::to_string(Kind) + "." +
           std::to_string(Which + 1);
  }

  /// Takes a part of the loopback range in which all ports are free.
  void chooseNetwork() {
    for (int Try = 0; Try < 200; ++Try) {
      Network = "127." + std::to_string(20 + (getpid() + Try * 7) % 200);
      bool IsFree = true;
      for (int Kind = 1; Kind <= 4; ++Kind)
        for (int Which = 0; Which < 8; ++Which)
          for (const int Port :
               {DirectoryPort, SessionPort, ReadyPort, ServerPort, ProviderPort,
                PeerPort, RelayPort, OperatorPort})
            IsFree = IsFree && listenOn({host(Kind, Which), Port}).isOpen();
      if (IsFree)
        return;
    }
  }

  std::string seeds() const {
    std::string Out;
    for (int Each = 0; Each < std::min(3, Options.Controls); ++Each)
      Out += (Out.empty() ? "\"" : ", \"") + control(Each).text() + "\"";
    return Out;
  }

  std::string commonSettings(const std::string &Name, const std::string &Host,
                             const std::string &Role) const {
    return "[process]\nname = \"" + Name +
           "\"\nregion = \"riga\"\nfailure_domain = \"zone-" +
           Host.substr(Host.rfind('.') + 1) + "\"\nhost = \"" + Host +
           "\"\nroles = [\"" + Role +
           "\"]\nleadership = \"targets\"\nlog_format = \"json\"\n"
           "stop_within = \"" +
           std::to_string(Options.GraceSeconds) + "s\"\n";
  }

  static std::string listenSettings(const std::string &Host) {
    return "\n[listen]\noperators = \"" + Host + ":" +
           std::to_string(OperatorPort) + "\"\npeers = \"" + Host + ":" +
           std::to_string(PeerPort) + "\"\n";
  }

  std::string groupSettings() const {
    return "\n[keys]\npeers = \"the platform's network is closed\"\n\n"
           "[group]\nseeds = [" +
           seeds() + "]\n";
  }

  void writeControlSettings(int Which, bool IsFirst) const {
    const std::string Host = host(1, Which);
    const std::string Name = "core-" + std::to_string(Which + 1);
    std::ofstream Out(Options.Folder + "/" + Name + ".toml");
    Out << commonSettings(Name, Host, "control") << "data_folder = \""
        << Options.Folder << "/" << Name << ".data\"\n"
        << listenSettings(Host) << "directory = \"" << control(Which).text()
        << "\"\n"
        << groupSettings() << "may_found = " << (IsFirst ? "true" : "false")
        << "\nlost_disks_borne = " << Options.LostDisksBorne
        << "\npromotions = \"" << provider().text() << "\"\n"
        << "\n[load]\nlead_relief = true\npermit_forwarding = true\n";
  }

  void writeProxySettings(int Which) const {
    const std::string Host = host(2, Which);
    const std::string Name = "frontend-" + std::to_string(Which + 1);
    std::ofstream Out(Options.Folder + "/" + Name + ".toml");
    Out << commonSettings(Name, Host, "proxy") << listenSettings(Host)
        << "sessions = \"" << proxy(Which).text() << "\"\nreadiness = \""
        << readiness(Which).text() << "\"\nrelay = \"" << Host << ":"
        << RelayPort << "\"\n"
        << groupSettings()
        << "\n[load]\nlate_service = true\nurgent_room = true\n"
           "lead_relief = true\nreplica_progress = true\n"
           "reach_reports = true\nquota_forecast = true\n"
           "permit_forwarding = true\nshare_below = \"2\"\n";
  }

  void start(Program &Which) const {
    const std::string LogFile = Options.Folder + "/" + Which.Name + ".log";
    Which.Pid = fork();
    if (Which.Pid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log = ::open(LogFile.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const int Nothing = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    dup2(Nothing, STDIN_FILENO);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execl(Options.Program.c_str(), Options.Program.c_str(), "run",
          Which.File.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }

  static void kill(Program &Which) {
    if (Which.Pid <= 0)
      return;
    ::kill(Which.Pid, SIGKILL);
    waitpid(Which.Pid, nullptr, 0);
    Which.Pid = -1;
  }

  DeploymentOptions Options;
  std::string Network;
  std::vector<Program> Programs;
};

/// A desired state with one route to one service.
struct OneRoute {
  int Version = 1;
  std::string Database = "scans";
  std::string Type = "primary";
  std::string Service = "ledger";
  int MaxConnections = 16;
  int SyncReplicas = 0;

  std::string body() const {
    return "{\"version\":" + std::to_string(Version) +
           ",\"routes\":[{\"name\":\"r-1\",\"database\":\"" + Database +
           "\",\"path_prefix\":\"/\",\"type\":\"" + Type +
           "\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":1,"
           "\"service\":\"" +
           Service +
           "\",\"max_attempts\":2,\"max_staleness_ms\":1500}],"
           "\"services\":[{\"name\":\"" +
           Service +
           "\",\"health_check_path\":\"/health\",\"max_connections\":" +
           std::to_string(MaxConnections) +
           ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":" +
           std::to_string(SyncReplicas) +
           "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
           "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
           "\"tx_idle_ms\":3000}}";
  }
};

} // namespace review2

#endif
