/// \file
/// Measures the cost of a statement in a proxy over real loopback sockets.

#include "Measurements.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Loop/EventLoop.h"
#include "Proxy/ProxyNode.h"
#include "Samples.h"

#include <csignal>

namespace corianderdyke {

namespace {

constexpr const char *SessionKey = "a key for measuring sessions";

/// Answers statements immediately, and watches after the requested wait.
class InstantTarget final : public HttpService {
public:
  InstantTarget(EventLoop &Loop, std::string Role)
      : Loop(Loop), Role(std::move(Role)) {}

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override {
    HttpResponse Out;
    Out.Headers = {{"Target-Term", "2"},
                   {"Target-Log-Term", "2"},
                   {"Target-Position", "1000"},
                   {"Target-Role", Role}};
    const Millis Hold(
        static_cast<std::int64_t>(numberOr(Request.parameter("wait_ms"), 0)));
    if (Hold == Millis())
      Exchange->respond(Out);
    else
      Loop.after(Hold, [Exchange, Out] { Exchange->respond(Out); });
  }

private:
  EventLoop &Loop;
  std::string Role;
};

/// Replaces the control hosts: grants every request.
class GrantingControl final : public Transport {
public:
  GrantingControl(EventLoop &Loop, ClusterView View)
      : Loop(Loop), View(std::move(View)) {}

  void send(const Endpoint &, Delivery, Message Body) override {
    if (const auto *Asked = std::get_if<LeaseRequest>(&Body)) {
      if (Asked->AppliedRevision < View.Revision)
        answer(ViewUpdate{View});
      answer(LeaseGrant{Asked->Proxy, Asked->Sequence, Asked->SentAt,
                        View.CurrentManifest->Failover.LeaseDuration,
                        View.Revision});
    }
    if (const auto *Asked = std::get_if<RightsRequest>(&Body))
      answer(makeRightsGrant(*Asked));
  }

private:
  RightsGrant makeRightsGrant(const RightsRequest &Asked) const {
    constexpr std::uint64_t LeaderTerm = 1;
    RightsGrant Out{Asked.Proxy, Asked.Sequence, Asked.SentAt,
                    Millis(),    LeaderTerm,     {}};
    if (Asked.LeaderTerm != LeaderTerm)
      return Out;
    Out.Duration = RightsDuration;
    for (const auto &[Name, Target] : View.Targets)
      Out.Allocations.push_back(
          {Name, View.CurrentManifest->Databases.front().ConnectionsPerTarget});
    return Out;
  }

  void answer(Message Body) {
    Loop.defer([this, Body] {
      signalReceived().emit(
          Envelope{Envelope::CurrentVersion, "control-1", {}, Body});
    });
  }

  EventLoop &Loop;
  ClusterView View;
};

/// Callers that each send the next statement after the previous answer.
class Callers {
public:
  Callers(EventLoop &Loop, EventHttpConnector &Connector, const Endpoint &To,
          std::string Path, std::size_t Count)
      : Path(std::move(Path)) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Connections.push_back(Connector.connect(To));
    // The proxy first obtains its lease and its connection rights and starts
    // its watches.
    constexpr Millis WarmUp(400);
    for (const auto &Each : Connections)
      Loop.after(WarmUp, [this, Raw = Each.get()] { ask(*Raw); });
    Loop.after(WarmUp * 2, [this] {
      Start = cpuMicros();
      Answered = 0;
    });
    Loop.after(WarmUp * 3, [this, &Loop] {
      Micros = (cpuMicros() - Start) / static_cast<double>(Answered);
      Loop.stop();
    });
  }

  /// Returns the processor time of this process per answer in microseconds.
  double micros() const { return Micros; }

private:
  void ask(HttpConnection &Connection) {
    HttpRequest Request;
    Request.Method = HttpMethod::Post;
    Request.Path = Path;
    Request.Headers = {{caller_header::Database, "bale-ledger-0"},
                       {caller_header::Organisation, "organisation-0"},
                       {caller_header::Kind, "kind-0"}};
    Request.Body = "get bale";
    constexpr Millis Timeout(5000);
    Connection.request(
        std::move(Request), Timeout,
        [this, &Connection](const Expected<HttpResponse> &Answer) {
          Answered += Answer && Answer->Status == 200 ? 1U : 0U;
          ask(Connection);
        });
  }

  std::string Path;
  std::vector<std::unique_ptr<HttpConnection>> Connections;
  std::uint64_t Answered = 0;
  double Start = 0;
  double Micros = 0;
};

/// Returns the processor time in microseconds that a read through a proxy adds
/// to the direct path: that of the proxy and of the kernel for its two sockets.
double microsPerStatement(std::size_t Count) {
  SystemClock Time;
  EventLoop Loop;
  EventHttpConnector Connector(Loop);
  InstantTarget Primary(Loop, "primary");
  InstantTarget Replica(Loop, "replica");
  const auto AtPrimary =
      EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Primary);
  const auto AtReplica =
      EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Replica);
  ClusterView View = sampleView(1, 1);
  for (auto &[Name, Each] : View.Targets)
    Each.Address = Name == View.Groups.begin()->second.Primary
                       ? (*AtPrimary)->endpoint()
                       : (*AtReplica)->endpoint();
  GrantingControl Control(Loop, View);
  Settings Options;
  Options.Name = sampleProxy(0).Name;
  Options.ControlHosts = {{"control-1", {"127.0.0.1", 1}}};
  Options.SessionKey = SessionKey;
  ProxyNode Proxy(Options, {Time, Loop, Control, Connector},
                  sampleProxy(0).Incarnation);
  const auto AtProxy = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Proxy);
  Proxy.start();
  const auto Measure = [&](const Endpoint &To, const char *Path) {
    const Callers Asking(Loop, Connector, To, Path, Count);
    Loop.run();
    return Asking.micros();
  };
  const double Through = Measure((*AtProxy)->endpoint(), "/statement");
  return Through - Measure((*AtReplica)->endpoint(), "/v1/statement");
}

} // namespace

void measureStatements(Slopes &Into) {
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Point> Points;
  for (const std::size_t Count : {1U, 4U, 8U})
    Points.push_back({static_cast<double>(Count), microsPerStatement(Count)});
  Into.emplace(
      "statement-micros",
      Slope("statement-micros", "us", "caller at a time", std::move(Points)));
}

} // namespace corianderdyke
