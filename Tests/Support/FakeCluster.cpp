/// \file
/// Implements a cluster of control hosts, proxies and stand-in targets on the
/// simulated network.

#include "FakeCluster.h"

#include "Manifest/ManifestFile.h"

#include <stdexcept>

namespace corianderdyke {

namespace {

constexpr std::uint16_t PeersPort = 1;
constexpr std::uint16_t CallersPort = 2;
constexpr std::uint16_t TargetPort = 3;

} // namespace

FakeCluster::FakeCluster(std::uint64_t Seed, std::size_t Controls,
                         std::size_t Proxies)
    : Net(Loop, Seed), NextNumber(Seed * 1000 + 1) {
  for (std::size_t Index = 1; Index <= Controls; ++Index)
    ControlNames.push_back("control-" + std::to_string(Index));
  for (std::size_t Index = 1; Index <= Proxies; ++Index)
    ProxyNames.push_back("entry-" + std::to_string(Index));
  for (const std::string &Name : ControlNames)
    startControl(Name);
  for (const std::string &Name : ProxyNames)
    startProxy(Name);
}

FakeCluster::~FakeCluster() {
  Loop.clear();
  while (!RetainedObjects.empty())
    RetainedObjects.pop_back();
  Loop.clear();
}

Endpoint FakeCluster::endpoint(const std::string &Name,
                               std::uint16_t Port) const {
  constexpr std::size_t PerBlock = 250;
  const std::size_t Number =
      Addresses.try_emplace(Name, Addresses.size()).first->second;
  return {"10.0." + std::to_string(Number / PerBlock) + "." +
              std::to_string(Number % PerBlock + 1),
          Port};
}

FakeHost &FakeCluster::newHost(const std::string &Name) {
  auto Made = std::make_shared<FakeHost>(Loop, Name);
  RetainedObjects.push_back(Made);
  Hosts[Name] = Made.get();
  return *Made;
}

Settings FakeCluster::settings(const std::string &Name) const {
  Settings Out;
  Out.Name = Name;
  Out.OwnLocality = {"riga", "kundzinsala", Name};
  Out.PeerEndpoint = endpoint(Name, PeersPort);
  for (const std::string &Each : ControlNames)
    Out.ControlHosts.push_back({Each, endpoint(Each, PeersPort)});
  Out.PeerKey = Out.SessionKey = Out.TargetKey = SharedKey;
  return Out;
}

void FakeCluster::startControl(const std::string &Name) {
  struct Parts {
    std::shared_ptr<FakeDisk> Disk;
    std::unique_ptr<Journal> Records;
    std::unique_ptr<ReplicatedLog> Log;
    std::unique_ptr<Transport> Peers;
    std::unique_ptr<HttpConnector> Connector;
    std::unique_ptr<ControlNode> Node;
  };
  FakeHost &Host = newHost(Name);
  auto All = std::make_shared<Parts>();
  if (!Disks[Name])
    Disks[Name] = std::make_shared<FakeDisk>();
  All->Disk = Disks[Name];
  All->Records = std::make_unique<Journal>(*All->Disk);
  All->Log = std::make_unique<ReplicatedLog>(*All->Records);
  if (auto Loaded = All->Log->load("disk-" + std::to_string(NextNumber++));
      !Loaded)
    throw std::runtime_error(Loaded.error().Message);
  All->Peers = Net.attach(Host, endpoint(Name, PeersPort));
  All->Connector = Net.connector(Host);
  All->Node = std::make_unique<ControlNode>(
      settings(Name),
      ControlDependencies{Host, Host, *All->Peers, *All->Connector}, *All->Log,
      NextNumber++);
  Controls[Name] = All->Node.get();
  All->Node->start();
  RetainedObjects.push_back(All);
}

void FakeCluster::startProxy(const std::string &Name) {
  struct Parts {
    std::unique_ptr<Transport> Peers;
    std::unique_ptr<HttpConnector> Connector;
    std::unique_ptr<ProxyNode> Node;
  };
  FakeHost &Host = newHost(Name);
  auto All = std::make_shared<Parts>();
  All->Peers = Net.attach(Host, endpoint(Name, PeersPort));
  All->Connector = Net.connector(Host);
  All->Node = std::make_unique<ProxyNode>(
      settings(Name),
      ProxyDependencies{Host, Host, *All->Peers, *All->Connector},
      NextNumber++);
  Proxies[Name] = All->Node.get();
  Net.serve(Host, endpoint(Name, CallersPort), *All->Node);
  All->Node->start();
  RetainedObjects.push_back(All);
}

void FakeCluster::startTarget(const std::string &Name,
                              const std::string &Database) {
  struct Parts {
    std::unique_ptr<HttpConnector> Connector;
    std::unique_ptr<StandInTarget> Node;
  };
  FakeHost &Host = newHost(Name);
  auto All = std::make_shared<Parts>();
  All->Connector = Net.connector(Host);
  StandInOptions Options = TargetOptions;
  Options.Name = Name;
  Options.Database = Database;
  Options.Where = {"riga", "kundzinsala", Name};
  Options.Address = endpoint(Name, TargetPort);
  Options.TargetKey = SharedKey;
  for (const std::string &Each : ProxyNames)
    Options.Proxies.push_back(endpoint(Each, CallersPort));
  All->Node =
      std::make_unique<StandInTarget>(Options, Host, Host, *All->Connector);
  Targets[Name] = All->Node.get();
  Net.serve(Host, Options.Address, *All->Node);
  All->Node->start();
  RetainedObjects.push_back(All);
}

void FakeCluster::kill(const std::string &Name) {
  Hosts[Name]->kill();
  Controls.erase(Name);
  Proxies.erase(Name);
  Targets.erase(Name);
  if (const auto Found = Disks.find(Name); Found != Disks.end())
    Found->second->crash();
}

void FakeCluster::startTargets(const Manifest &For) {
  for (const DatabasePolicy &Each : For.Databases)
    for (std::uint32_t Index = 1; Index <= Each.Targets; ++Index)
      startTarget(Each.Name + "-" + std::to_string(Index), Each.Name);
}

void FakeCluster::applyManifest(const std::string &Text) {
  const auto Parsed = parseManifest("test", Text);
  if (!Parsed)
    throw std::runtime_error(findingsText(Parsed.error()));
  if (!Loop.runUntilTrue([this] { return leader() != nullptr; }, Millis(10000)))
    throw std::runtime_error("no control host became leader within 10 s");
  auto Done = std::make_shared<bool>(false);
  leader()->propose("test", ApplyManifest{*Parsed, Text},
                    [Done](const Expected<ApplyResult> &) { *Done = true; });
  Loop.runUntilTrue([Done] { return *Done; }, Millis(10000));
}

void FakeCluster::startAndAwaitWritable(const std::string &Text) {
  applyManifest(Text);
  const Manifest Parsed = *parseManifest("test", Text);
  startTargets(Parsed);
  const auto Ready = [&] {
    for (const DatabasePolicy &Each : Parsed.Databases)
      if (!isWritable(Each.Name))
        return false;
    for (const auto &[Name, Each] : Proxies)
      if (!Each->isReady() ||
          Each->view().Revision != leader()->appliedState().view().Revision)
        return false;
    return true;
  };
  if (!Loop.runUntilTrue(Ready, Millis(20000)))
    throw std::runtime_error("the cluster did not become ready within 20 s");
}

ControlNode *FakeCluster::leader() {
  for (const auto &[Name, Each] : Controls)
    if (!Hosts[Name]->isFrozen() && Each->consensus().isReadyLeader())
      return Each;
  return nullptr;
}

const GroupRecord *FakeCluster::group(const std::string &Database) {
  ControlNode *Leader = leader();
  return Leader == nullptr ? nullptr
                           : Leader->appliedState().view().group(Database);
}

bool FakeCluster::isWritable(const std::string &Database) {
  const GroupRecord *Found = group(Database);
  return Found != nullptr && Found->isWritable();
}

FakeHost &FakeCluster::caller() {
  const auto Known = Hosts.find("caller");
  return Known == Hosts.end() ? newHost("caller") : *Known->second;
}

std::shared_ptr<HttpConnection>
FakeCluster::connectTo(const std::string &Proxy) {
  const auto Connector = Net.connector(caller());
  return Connector->connect(endpoint(Proxy, CallersPort));
}

std::shared_ptr<CallerResponse>
FakeCluster::send(const std::string &Proxy, const CallerRequest &Question) {
  const auto Connection = connectTo(Proxy);
  RetainedObjects.push_back(Connection);
  return sendOver(*Connection, Question);
}

std::string FakeCluster::idempotencyKey(const std::string &Name) {
  if (Name.empty() || IdempotencyKey::parse(Name))
    return Name;
  return IssuedKeys
      .try_emplace(Name,
                   std::to_string(caller().wallTime().count()) + "-" + Name)
      .first->second;
}

std::shared_ptr<CallerResponse>
FakeCluster::sendOver(HttpConnection &Connection,
                      const CallerRequest &Question) {
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = Question.Path;
  Request.Headers = {{caller_header::Database, Question.Database},
                     {caller_header::Organisation, Question.Organisation},
                     {caller_header::Kind, Question.Kind},
                     {caller_header::Session, Question.Session},
                     {caller_header::Transaction, Question.Transaction},
                     {caller_header::Key, idempotencyKey(Question.Key)}};
  if (Question.DeadlineMs != 0)
    Request.Headers[caller_header::DeadlineMs] =
        std::to_string(Question.DeadlineMs);
  Request.Body = Question.Body;
  constexpr Millis Timeout(60000);
  auto Answer = std::make_shared<CallerResponse>();
  Connection.request(
      std::move(Request), Timeout,
      [this, Answer](const Expected<HttpResponse> &Got) {
        Answer->Arrived = true;
        Answer->At = Loop.now();
        if (!Got)
          return;
        Answer->Status = Got->Status;
        Answer->Outcome = Got->header(caller_header::Outcome);
        Answer->Body = Got->Body;
        Answer->Session = Got->header(caller_header::Session);
        Answer->Target = Got->header(caller_header::Target);
        Answer->ServedBy = Got->header(caller_header::ServedBy);
        Answer->Transaction = Got->header(caller_header::Transaction);
        Answer->RetryAfter = Millis(static_cast<std::int64_t>(
            numberOr(Got->header(caller_header::RetryAfterMs), 0)));
      });
  return Answer;
}

CallerResponse FakeCluster::sendAndWait(const std::string &Proxy,
                                        const CallerRequest &Question,
                                        Millis Timeout) {
  const auto Answer = send(Proxy, Question);
  Loop.runUntilTrue([&] { return Answer->Arrived; }, Timeout);
  return *Answer;
}

CallerResponse FakeCluster::sendOverAndWait(HttpConnection &Connection,
                                            const CallerRequest &Question,
                                            Millis Timeout) {
  const auto Answer = sendOver(Connection, Question);
  Loop.runUntilTrue([&] { return Answer->Arrived; }, Timeout);
  return *Answer;
}

} // namespace corianderdyke
