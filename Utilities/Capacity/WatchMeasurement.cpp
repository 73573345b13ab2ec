/// \file
/// What a target watch costs over real loopback sockets.

#include "Measurements.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Loop/EventLoop.h"
#include "Proxy/TargetWatcher.h"
#include "Samples.h"

#include <csignal>
#include <ctime>

namespace corianderdyke {

namespace {

/// Answers every watch at once with a position that rises, as a busy target
/// would, and counts the answers.
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

double cpuMicros() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

/// Microseconds of processor time a watch, both ends and the kernel's part of
/// them together, with \p Targets watches under way.
double microsPerWatch(std::size_t Targets) {
  const SystemClock Time;
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

} // namespace

void measureWatch(Slopes &Into) {
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Point> Points;
  for (const std::size_t Targets : {9U, 45U, 90U})
    Points.push_back({static_cast<double>(Targets), microsPerWatch(Targets)});
  Into.emplace("watch-micros",
               Slope("watch-micros", "us", "target", std::move(Points)));
}

} // namespace corianderdyke
