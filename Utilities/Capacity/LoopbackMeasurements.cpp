/// \file
/// Measures the cost of watches, lease renewals and connections over real
/// loopback sockets.

#include "Measurements.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Loop/EventLoop.h"
#include "Proxy/TargetWatcher.h"
#include "Samples.h"
#include "Transport/SocketTransport.h"

#include <arpa/inet.h>
#include <csignal>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace corianderdyke {

namespace {

/// Answers every watch immediately with an increasing position, as a busy
/// target does, and counts the answers.
class BusyTarget final : public HttpService {
public:
  void handle(const HttpRequest &,
              std::shared_ptr<HttpExchange> Exchange) override {
    ++Answers;
    HttpResponse Out;
    Out.Headers = {{"Target-Term", "2"},
                   {"Target-Log-Term", "2"},
                   {"Target-Position", std::to_string(Answers)},
                   {"Target-Role", "replica"}};
    Exchange->respond(std::move(Out));
  }

  std::uint64_t Answers = 0;
};

/// Returns the processor time of one watch in microseconds, for both ends
/// together and with the time spent in the kernel, while \p Targets watches
/// are active.
double microsPerWatch(std::size_t Targets) {
  SystemClock Clock;
  EventLoop Loop;
  EventHttpConnector Connector(Loop);
  BusyTarget Target;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Target);
  if (!Server)
    return 0;
  ClusterView View = sampleView(Targets / TargetsPerDatabase, 0);
  for (auto &[Name, Each] : View.Targets)
    Each.Address = (*Server)->endpoint();
  TargetTable Table;
  TargetWatcher Watcher(Clock, Loop, Connector, Table);
  Watcher.update(View);
  constexpr Millis Span(300);
  const double Before = cpuMicros();
  Loop.after(Span, [&Loop] { Loop.stop(); });
  Loop.run();
  return (cpuMicros() - Before) / static_cast<double>(Target.Answers);
}

/// Returns the processor time in microseconds of renewing a lease with reports
/// on \p Reports targets: a request and a grant, for both ends together and
/// with the time spent in the kernel, without the processing of the request
/// in the control host.
double microsPerRenewal(std::size_t Reports) {
  EventLoop Loop;
  const std::string Key = "a key for measuring renewals";
  // Listening fails if the port is in use; the search below then tries the
  // next one.
  const auto Listen = [&Loop, &Key](std::uint16_t First) {
    return SocketTransport::listen(Loop, {"127.0.0.1", First}, "name", Key);
  };
  constexpr std::uint16_t FirstPort = 24000;
  constexpr std::uint16_t LastPort = 32000;
  std::vector<std::unique_ptr<SocketTransport>> Transports;
  std::vector<Endpoint> Addresses;
  for (std::uint16_t Port = FirstPort; Port < LastPort && Transports.size() < 2;
       ++Port) {
    auto Listening = Listen(Port);
    if (!Listening)
      continue;
    Transports.push_back(std::move(*Listening));
    Addresses.push_back({"127.0.0.1", Port});
  }
  const LeaseRequest Request = sampleRequest(Reports);
  std::uint64_t Renewals = 0;
  Transports[0]->signalReceived().connect([&](const Envelope &) {
    Transports[0]->send(
        Addresses[1], Delivery::Datagram,
        LeaseGrant{Request.Proxy, 1, Millis(1), Millis(600), 10});
  });
  Transports[1]->signalReceived().connect([&](const Envelope &) {
    ++Renewals;
    Transports[1]->send(Addresses[0], Delivery::Datagram, Request);
  });
  Transports[1]->send(Addresses[0], Delivery::Datagram, Request);
  constexpr Millis Span(300);
  const double Before = cpuMicros();
  Loop.after(Span, [&Loop] { Loop.stop(); });
  Loop.run();
  return (cpuMicros() - Before) / static_cast<double>(Renewals);
}

/// Returns the heap size in bytes that \p Count idle connections of callers
/// use at the server, each after one request. Socket buffers of the kernel
/// are not included.
double connectionHeapBytes(std::size_t Count) {
  EventLoop Loop;
  BusyTarget Target;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Target);
  if (!Server)
    return 0;
  const sockaddr_in Address = [&] {
    sockaddr_in Out{};
    Out.sin_family = AF_INET;
    Out.sin_port = htons((*Server)->endpoint().Port);
    Out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return Out;
  }();
  const std::string Request = "POST /statement HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 0\r\n\r\n";
  std::vector<int> Sockets;
  Sockets.reserve(Count);
  const double Before = heapBytes();
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto *SocketAddress = reinterpret_cast<const sockaddr *>(&Address);
    if (::connect(Socket, SocketAddress, sizeof(Address)) != 0 ||
        ::send(Socket, Request.data(), Request.size(), 0) < 0)
      std::abort();
    Sockets.push_back(Socket);
    // Accepts the connection now because the backlog of the listener is short.
    event_base_loop(Loop.base(), EVLOOP_NONBLOCK);
  }
  while (Target.Answers < Count)
    event_base_loop(Loop.base(), EVLOOP_ONCE);
  const double UsedBytes = heapBytes() - Before;
  for (const int Socket : Sockets)
    ::close(Socket);
  return UsedBytes;
}

} // namespace

void measureLoopback(Slopes &Into) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto Add = [&Into](const char *Name, const char *Unit, const char *Per,
                           const std::vector<std::size_t> &Sizes,
                           double (*Measure)(std::size_t)) {
    std::vector<Point> Points;
    Points.reserve(Sizes.size());
    for (const std::size_t Size : Sizes)
      Points.push_back({static_cast<double>(Size), Measure(Size)});
    Into.emplace(Name, Slope(Name, Unit, Per, std::move(Points)));
  };
  Add("watch-micros", "us", "target", {9, 45, 90}, &microsPerWatch);
  Add("renewal-wire-micros", "us", "reported target", {0, 8, 64, 256},
      &microsPerRenewal);
  Add("connection-heap-bytes", "B", "connection", {100, 400, 800},
      &connectionHeapBytes);
}

} // namespace corianderdyke
