/// \file
/// Measures one proxy on loopback against the direct path to its target:
/// statements a second, latency, processor time and memory of connections.

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Loop/EventLoop.h"
#include "Proxy/StatementRequest.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace corianderdyke;

namespace {

constexpr Millis AnswerTimeout(5000);
constexpr double MicrosPerSecond = 1e6;

std::int64_t micros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Processor seconds that a process has used.
double processorSeconds(int Process) {
  std::ifstream In("/proc/" + std::to_string(Process) + "/stat");
  std::string Word;
  double Ticks = 0;
  constexpr int UserField = 14;
  constexpr int SystemField = 15;
  for (int Field = 1; Field <= SystemField && In >> Word; ++Field)
    if (Field >= UserField)
      Ticks += std::stod(Word);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident bytes of a process.
double residentBytes(int Process) {
  std::ifstream In("/proc/" + std::to_string(Process) + "/statm");
  double Pages = 0;
  In >> Pages >> Pages;
  return Pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

HttpRequest lookup(bool IsDirect, const std::string &Term) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Path = IsDirect ? "/v1/statement" : "/statement";
  Out.Body = "get bale";
  if (IsDirect)
    Out.Headers = {{"Statement-Access", "read"},
                   {"Statement-Term", Term},
                   {"Statement-Floor", "0"}};
  else
    Out.Headers = {{caller_header::Database, "bale-ledger-1"},
                   {caller_header::Organisation, "port-clerks"},
                   {caller_header::Kind, "lookup"}};
  return Out;
}

/// Callers who each send the next statement when they have their answer.
class ClosedLoop {
public:
  ClosedLoop(EventLoop &Loop, Endpoint To, bool IsDirect)
      : Loop(Loop), Connector(Loop), To(std::move(To)), IsDirect(IsDirect) {}

  /// Answers within the span; the connections are opened before it begins.
  std::size_t run(std::size_t Callers, Millis Span) {
    Connections.clear();
    Latencies.clear();
    for (std::size_t Index = 0; Index < Callers; ++Index)
      Connections.push_back(Connector.connect(To));
    for (const auto &Each : Connections)
      open(*Each);
    Loop.after(Warmth, [this] { IsCounting = true; });
    Loop.after(Warmth + Span, [this] { Loop.stop(); });
    Loop.run();
    IsCounting = false;
    Connections.clear();
    return Latencies.size();
  }

  double latency(double Part) {
    std::sort(Latencies.begin(), Latencies.end());
    return Latencies.empty()
               ? 0
               : static_cast<double>(Latencies[static_cast<std::size_t>(
                     Part * static_cast<double>(Latencies.size() - 1))]);
  }

  std::size_t failures() const { return Failures; }

private:
  static constexpr Millis Warmth = Millis(300);

  void open(HttpConnection &Each) {
    if (!IsDirect)
      return send(Each);
    HttpRequest Hello;
    Hello.Method = HttpMethod::Post;
    Hello.Path = "/v1/connect";
    Each.request(std::move(Hello), AnswerTimeout,
                 [this, &Each](const Expected<HttpResponse> &Answer) {
                   if (Answer)
                     Term = Answer->header("Target-Term");
                   send(Each);
                 });
  }

  void send(HttpConnection &Each) {
    const std::int64_t SentAt = micros();
    Each.request(lookup(IsDirect, Term), AnswerTimeout,
                 [this, &Each, SentAt](const Expected<HttpResponse> &Answer) {
                   if (IsCounting)
                     Latencies.push_back(micros() - SentAt);
                   if (!Answer || Answer->Status != 200)
                     ++Failures;
                   send(Each);
                 });
  }

  EventLoop &Loop;
  EventHttpConnector Connector;
  Endpoint To;
  bool IsDirect;
  bool IsCounting = false;
  std::string Term;
  std::vector<std::unique_ptr<HttpConnection>> Connections;
  std::vector<std::int64_t> Latencies;
  std::size_t Failures = 0;
};

/// Resident bytes that a process takes for each connection that was used
/// once and is kept.
double bytesPerConnection(EventLoop &Loop, const Endpoint &To, int Process,
                          std::size_t Number) {
  EventHttpConnector Connector(Loop);
  std::vector<std::unique_ptr<HttpConnection>> Kept;
  const double Before = residentBytes(Process);
  std::size_t Answered = 0;
  for (std::size_t Index = 0; Index < Number; ++Index) {
    Kept.push_back(Connector.connect(To));
    HttpRequest Request;
    Request.Path = "/nothing";
    Kept.back()->request(std::move(Request), AnswerTimeout,
                         [&](const Expected<HttpResponse> &) {
                           if (++Answered == Number)
                             Loop.stop();
                         });
  }
  Loop.run();
  return (residentBytes(Process) - Before) / static_cast<double>(Number);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Measures a proxy on loopback", "bench-proxy");
  std::string Proxy;
  std::string Target;
  int Process = 0;
  std::int64_t Seconds = 3;
  std::size_t Callers = 16;
  std::size_t Idle = 500;
  App.add_option("--proxy", Proxy, "Callers' address")->required();
  App.add_option("--target", Target, "A replica's address")->required();
  App.add_option("--proxy-process", Process, "Process number")->required();
  App.add_option("--seconds", Seconds, "Length of each of the four runs");
  App.add_option("--callers", Callers, "Callers at a time");
  App.add_option("--idle", Idle, "Idle connections to measure memory with");
  CLI11_PARSE(App, Count, Arguments);
  const Endpoint ProxyAt = Endpoint::parse(Proxy).value_or(Endpoint());
  const Endpoint TargetAt = Endpoint::parse(Target).value_or(Endpoint());
  const Millis Span(Seconds * 1000);
  EventLoop Loop;
  ClosedLoop Direct(Loop, TargetAt, true);
  ClosedLoop Through(Loop, ProxyAt, false);
  constexpr double Median = 0.5;
  constexpr double Tail = 0.99;
  std::cout << "path,callers,per_second,p50_us,p99_us,proxy_cores\n";
  const auto Measure = [&](const char *Name, ClosedLoop &Path,
                           std::size_t Number) {
    const double Before = processorSeconds(Process);
    const std::int64_t Start = micros();
    const std::size_t Done = Path.run(Number, Span);
    const double Took = static_cast<double>(micros() - Start) / MicrosPerSecond;
    const double Used = processorSeconds(Process) - Before;
    std::cout << Name << "," << Number << ","
              << static_cast<double>(Done) / static_cast<double>(Seconds) << ","
              << Path.latency(Median) << "," << Path.latency(Tail) << ","
              << Used / Took << "\n";
  };
  Measure("direct", Direct, 1);
  Measure("proxy", Through, 1);
  Measure("direct", Direct, Callers);
  Measure("proxy", Through, Callers);
  std::cout << "bytes_per_idle_connection,"
            << bytesPerConnection(Loop, ProxyAt, Process, Idle) << "\n"
            << "failures," << Direct.failures() + Through.failures() << "\n";
  return Direct.failures() + Through.failures() == 0 ? 0 : 1;
}
