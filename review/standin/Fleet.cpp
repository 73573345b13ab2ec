/// \file
/// The tested system as separate processes.

#include "Fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

// Below the ephemeral ports of the kernel, on addresses of this run alone.
constexpr std::uint16_t ClaimPort = 4998;
constexpr std::uint16_t ControlPort = 8782;
constexpr std::uint16_t ProviderPort = 8783;
constexpr std::uint16_t FrontendPort = 8784;
constexpr std::uint16_t ReadinessPort = 8785;
constexpr std::uint16_t ServerPort = 8080;
constexpr std::uint16_t PeerPort = 7440;
constexpr std::uint16_t RelayPort = 7441;
constexpr std::uint16_t MetricsPort = 9464;
constexpr int StatusOk = 200;
constexpr int CallTimeoutMs = 1000;

/// Holds an address in a range of loopback addresses that no other run uses.
std::string claimPrefix() {
  constexpr unsigned First = 20;
  constexpr unsigned Count = 200;
  const auto Preferred = static_cast<unsigned>(getpid());
  for (unsigned Each = 0; Each < Count; ++Each) {
    std::string Prefix =
        "127." + std::to_string(First + (Preferred + Each) % Count);
    const int Held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(ClaimPort);
    inet_pton(AF_INET, (Prefix + ".255.2").c_str(), &At.sin_addr);
    if (::bind(Held, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0 &&
        ::listen(Held, 1) == 0)
      return Prefix;
    ::close(Held);
  }
  throw std::runtime_error("no range of loopback addresses is free");
}

std::string line(const std::string &Key, const Endpoint &Value) {
  return Key + " = \"" + Value.text() + "\"\n";
}

std::string route(const std::string &Name, const std::string &Type,
                  int TimeoutMs, int TargetMs, int Priority,
                  const std::string &Service, int MaxStalenessMs) {
  return R"({"name":"r-)" + Name + R"(","database":")" + Name +
         R"(","path_prefix":"/","type":")" + Type + R"(","timeout_ms":)" +
         std::to_string(TimeoutMs) + R"(,"target_latency_ms":)" +
         std::to_string(TargetMs) + R"(,"priority":)" +
         std::to_string(Priority) + R"(,"service":")" + Service +
         R"(","max_attempts":2)" +
         (MaxStalenessMs == 0
              ? ""
              : R"(,"max_staleness_ms":)" + std::to_string(MaxStalenessMs)) +
         "}";
}

} // namespace

Process::Process(std::string Given, const std::string &Program,
                 const std::string &Settings, const std::string &Output)
    : Name(std::move(Given)) {
  const int File =
      ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::string Binary = Program;
  std::string Verb = "run";
  std::string Argument = Settings;
  char *Arguments[] = {Binary.data(), Verb.data(), Argument.data(), nullptr};
  Id = ::fork();
  if (Id == 0) {
    // The processes of a run end with it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    ::execv(Binary.c_str(), Arguments);
    ::_exit(127);
  }
  ::close(File);
  if (Id < 0)
    throw std::runtime_error("cannot start " + Program);
}

Process::~Process() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  ::waitpid(Id, nullptr, 0);
}

void Process::signal(int Which) const {
  if (Id > 0)
    ::kill(Id, Which);
}

bool Process::isRunning() {
  if (Id > 0 && ::waitpid(Id, nullptr, WNOHANG) == Id)
    Id = 0;
  return Id > 0;
}

Fleet::Fleet(std::string Program, std::string Folder, Record &Log)
    : Program(std::move(Program)), Folder(std::move(Folder)), Log(Log),
      Prefix(claimPrefix()) {}

std::string Fleet::address(int Kind, std::size_t Number) const {
  return Prefix + "." + std::to_string(Kind) + "." + std::to_string(Number + 1);
}

Endpoint Fleet::control(std::size_t Number) const {
  return {address(1, Number), ControlPort};
}

Endpoint Fleet::frontend(std::size_t Number) const {
  return {address(2, Number), FrontendPort};
}

Endpoint Fleet::server(std::size_t Number) const {
  return {address(3, Number), ServerPort};
}

Endpoint Fleet::provider() const { return {address(4, 0), ProviderPort}; }

std::vector<Endpoint> Fleet::controls() const {
  std::vector<Endpoint> Out;
  for (const auto &[Number, Each] : Controls)
    Out.push_back(control(Number));
  return Out;
}

std::string Fleet::seeds() const {
  std::string Out;
  for (std::size_t Each = 0; Each < Seeds; ++Each)
    Out += (Out.empty() ? "\"" : ", \"") + control(Each).text() + "\"";
  return "seeds = [" + Out + "]\n";
}

std::unique_ptr<Process> Fleet::run(const std::string &Name,
                                    const std::string &Settings) {
  const std::string File = Folder + "/" + Name + ".toml";
  std::ofstream(File) << Settings;
  Log.write(Name, "starts");
  return std::make_unique<Process>(Name, Program, File,
                                   Folder + "/" + Name + ".log");
}

// The settings are those that deploy/control.toml.template and
// deploy/proxy.toml.template give for such a machine.
void Fleet::startControl(std::size_t Number, bool Founds, bool LosesDisk) {
  const std::string Name = "core-" + std::to_string(Number + 1);
  const std::string Host = address(1, Number);
  if (LosesDisk) {
    Log.write(Name, "HAS LOST ITS DISK");
    ++LostDisks[Number];
  }
  const std::string Data =
      Folder + "/data-" + Name + "-" + std::to_string(LostDisks[Number]);
  std::filesystem::create_directories(Data);
  Controls[Number] = run(
      Name,
      "[process]\nname = \"" + Name +
          "\"\nregion = \"riga\"\nfailure_domain = \"kundzinsala\"\n" +
          "host = \"" + Host + "\"\nroles = [\"control\"]\n" +
          "data_folder = \"" + Data + "\"\nleadership = \"targets\"\n" +
          "log_format = \"json\"\nstop_within = \"6s\"\n[listen]\n" +
          line("operators", {Host, MetricsPort}) +
          line("directory", control(Number)) + line("peers", {Host, PeerPort}) +
          "[keys]\npeers = \"the platform's network is closed\"\n" +
          "[group]\n" + seeds() + "may_found = " + (Founds ? "true" : "false") +
          "\nlost_disks_borne = 2\n" + line("promotions", provider()) +
          "[load]\nlead_relief = true\npermit_forwarding = true\n");
}

void Fleet::endControl(std::size_t Number, bool IsPlanned) {
  Process &Ended = *Controls.at(Number);
  Log.write(Ended.name(), IsPlanned ? "gets SIGTERM" : "IS KILLED");
  constexpr int StopTimeoutMs = 6000;
  const std::int64_t Until = nowMs() + StopTimeoutMs;
  if (IsPlanned)
    Ended.signal(SIGTERM);
  while (IsPlanned && Ended.isRunning() && nowMs() < Until)
    sleepMs(10);
  Controls.erase(Number);
}

void Fleet::startProxy(std::size_t Number) {
  const std::string Name = "front-" + std::to_string(Number + 1);
  const std::string Host = address(2, Number);
  Proxies.push_back(run(
      Name, "[process]\nname = \"" + Name +
                "\"\nregion = \"riga\"\nfailure_domain = \"kundzinsala\"\n" +
                "host = \"" + Host + "\"\nroles = [\"proxy\"]\n" +
                "leadership = \"targets\"\nlog_format = \"json\"\n" +
                "stop_within = \"6s\"\n[listen]\n" +
                line("operators", {Host, MetricsPort}) +
                line("sessions", frontend(Number)) +
                line("readiness", {Host, ReadinessPort}) +
                line("peers", {Host, PeerPort}) +
                line("relay", {Host, RelayPort}) +
                "[keys]\npeers = \"the platform's network is closed\"\n" +
                "[group]\n" + seeds() +
                "[load]\nlate_service = true\nurgent_room = true\n" +
                "lead_relief = true\nreplica_progress = true\n" +
                "reach_reports = true\nquota_forecast = true\n" +
                "permit_forwarding = true\nshare_below = \"2\"\n"));
}

void Fleet::start(std::size_t ProxyCount) {
  for (std::size_t Each = 0; Each < ControlHosts; ++Each)
    startControl(Each, true);
  for (std::size_t Each = 0; Each < ProxyCount; ++Each)
    startProxy(Each);
}

bool Fleet::replaceConfig(const std::string &Document, int TimeoutMs) {
  HttpMessage Request;
  Request.Method = "POST";
  Request.Path = "/-/Config.Replace";
  Request.Body = Document;
  const std::vector<Endpoint> All = controls();
  const std::int64_t Until = nowMs() + TimeoutMs;
  for (std::size_t Each = 0; nowMs() < Until; ++Each) {
    const Endpoint &To = All[Each % All.size()];
    const int Status = callHttp(To, Request, CallTimeoutMs).Status;
    Log.write("operator", "sends " + Document.substr(0, 13) + " to " +
                              To.text() + ": " + std::to_string(Status));
    if (Status == StatusOk)
      return true;
    constexpr std::int64_t Pause = 100;
    sleepMs(Pause);
  }
  return false;
}

std::string Fleet::describeConfig(int TimeoutMs) {
  HttpMessage Request;
  Request.Method = "GET";
  Request.Path = "/-/Config.Describe";
  const std::vector<Endpoint> All = controls();
  const std::int64_t Until = nowMs() + TimeoutMs;
  for (std::size_t Each = 0; nowMs() < Until; ++Each) {
    const Endpoint &From = All[Each % All.size()];
    const HttpMessage Got = callHttp(From, Request, CallTimeoutMs);
    Log.write("operator", "reads at " + From.text() + ": " +
                              std::to_string(Got.Status) + " " +
                              Got.Body.substr(0, 60));
    if (Got.Status == StatusOk)
      return Got.Body;
    constexpr std::int64_t Pause = 250;
    sleepMs(Pause);
  }
  return "";
}

bool Fleet::isReady(std::size_t Proxy) const {
  HttpMessage Request;
  Request.Method = "GET";
  Request.Path = "/-/readiness";
  return callHttp({address(2, Proxy), ReadinessPort}, Request, CallTimeoutMs)
             .Status == StatusOk;
}

bool Fleet::awaitReady(int TimeoutMs) {
  const std::int64_t Until = nowMs() + TimeoutMs;
  for (std::size_t Each = 0; Each < Proxies.size();)
    if (isReady(Each)) {
      ++Each;
    } else if (nowMs() > Until) {
      return false;
    } else {
      constexpr std::int64_t Pause = 50;
      sleepMs(Pause);
    }
  Log.write("provider", "all proxies are ready");
  return true;
}

void Fleet::stop() {
  Proxies.clear();
  Controls.clear();
}

std::string desiredState(std::uint64_t Version, const std::string &Service,
                         unsigned SyncReplicas) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         route("handover", "primary", 800, 100, 1, Service, 0) + "," +
         route("lookup", "bounded_staleness", 1200, 300, 2, Service, 1500) +
         "," +
         route("certify", "read_your_writes", 800, 200, 2, Service, 2500) +
         R"(],"services":[{"name":")" + Service +
         R"(","health_check_path":"/health","max_connections":16,)" +
         R"("protocol":"h1","tls":false,"sync_replicas":)" +
         std::to_string(SyncReplicas) +
         R"(}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000,)" +
         R"("tx_idle_ms":3000}})";
}

} // namespace review
