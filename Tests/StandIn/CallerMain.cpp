/// \file
/// A caller for tests and demonstrations: sends one statement, measures the
/// failover gap under continuous writes, or finds free ports.

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Loop/EventLoop.h"
#include "Proxy/StatementRequest.h"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

using namespace corianderdyke;

namespace {

constexpr Millis AnswerTimeout(10000);

struct CallerOptions {
  std::vector<std::string> Proxies;
  std::string Database;
  std::string Organisation;
  std::string Kind;
  std::string Session;
  std::string Key;
  std::string Body;
  std::int64_t PatienceMs = 20000;
  std::int64_t PauseMs = 2;
};

/// Returns \p Name if it is an issued idempotency key, else a key issued now.
std::string issuedKey(const std::string &Name) {
  if (Name.empty() || IdempotencyKey::parse(Name))
    return Name;
  return std::to_string(SystemClock().wallTime().count()) + "-" + Name;
}

/// Sends one statement to one proxy and waits for the answer.
Expected<HttpResponse> call(EventLoop &Loop, const std::string &Proxy,
                            const CallerOptions &Options,
                            const std::string &Key) {
  const auto At = Endpoint::parse(Proxy);
  if (!At)
    return tl::unexpected(At.error());
  EventHttpConnector Connector(Loop);
  const auto Connection = Connector.connect(*At);
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/statement";
  Request.Headers = {{caller_header::Database, Options.Database},
                     {caller_header::Organisation, Options.Organisation},
                     {caller_header::Kind, Options.Kind}};
  if (!Options.Session.empty())
    Request.Headers[caller_header::Session] = Options.Session;
  if (!Key.empty())
    Request.Headers[caller_header::Key] = Key;
  Request.Body = Options.Body;
  Expected<HttpResponse> Out = fail(ErrorCode::Unavailable, "no answer");
  Connection->request(std::move(Request), AnswerTimeout,
                      [&](Expected<HttpResponse> Answer) {
                        Out = std::move(Answer);
                        Loop.stop();
                      });
  Loop.run();
  return Out;
}

void print(const HttpResponse &Answer) {
  std::cout << "outcome " << Answer.header(caller_header::Outcome) << "\n"
            << "served-by " << Answer.header(caller_header::ServedBy) << " "
            << Answer.header(caller_header::Target) << "\n"
            << "session " << Answer.header(caller_header::Session) << "\n"
            << "body " << Answer.Body << "\n";
}

void pause(EventLoop &Loop, std::int64_t Span) {
  Loop.after(Millis(Span), [&Loop] { Loop.stop(); });
  Loop.run();
}

/// Retries a statement with the same key until its outcome is "done".
int sendUntilDone(const CallerOptions &Options) {
  const SystemClock Time;
  EventLoop Loop;
  const Millis Until = Time.now() + Millis(Options.PatienceMs);
  const std::string Key = issuedKey(Options.Key);
  std::size_t Turn = 0;
  std::string Last = "nothing answered";
  while (Time.now() < Until) {
    const auto Answer = call(
        Loop, Options.Proxies[Turn++ % Options.Proxies.size()], Options, Key);
    if (Answer && Answer->header(caller_header::Outcome) == "done") {
      print(*Answer);
      return 0;
    }
    if (Answer)
      Last = Answer->header(caller_header::Outcome) + ": " + Answer->Body;
    pause(Loop, Options.PauseMs);
  }
  std::cerr << Last << "\n";
  return 1;
}

/// Sends a statement once and prints the answer or the error.
int sendOnce(const CallerOptions &Options) {
  EventLoop Loop;
  const auto Answer =
      call(Loop, Options.Proxies.front(), Options, issuedKey(Options.Key));
  if (!Answer) {
    std::cout << "no answer: " << Answer.error().Message << "\n";
    return 1;
  }
  std::cout << "status " << Answer->Status << "\n"
            << "outcome " << Answer->header(caller_header::Outcome) << "\n"
            << "body " << Answer->Body << "\n";
  return 0;
}

/// Writes continuously until the primary changes, then prints the time between
/// the last success before the change and the first one after it.
int measureGap(const CallerOptions &Options) {
  const SystemClock Time;
  EventLoop Loop;
  const Millis Until = Time.now() + Millis(Options.PatienceMs);
  std::uint64_t Count = 0;
  Millis LastDone;
  std::string LastTarget;
  while (Time.now() < Until) {
    const std::string Key = issuedKey(Options.Key + std::to_string(++Count));
    const auto Answer = call(
        Loop, Options.Proxies[Count % Options.Proxies.size()], Options, Key);
    const Millis Now = Time.now();
    if (Answer && Answer->header(caller_header::Outcome) == "done") {
      const std::string Target = Answer->header(caller_header::Target);
      if (!LastTarget.empty() && Target != LastTarget) {
        std::cout << "gap-ms " << (Now - LastDone).count() << "\n"
                  << "primary " << LastTarget << " -> " << Target << "\n";
        return 0;
      }
      if (LastTarget.empty())
        std::cout << "writing to " << Target << std::endl;
      LastTarget = Target;
      LastDone = Now;
    }
    pause(Loop, Options.PauseMs);
  }
  std::cerr << "the primary did not change within the time limit\n";
  return 1;
}

/// Below the ephemeral ports of the kernel, which start at 32768: a free
/// ephemeral port may be assigned to an outgoing connection before the listener
/// starts.
constexpr int FirstPort = 12000;
/// Concurrent sessions search different blocks, selected by process id.
constexpr int PortsInBlock = 20;
constexpr int Blocks = 1000;

bool isFree(int Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  At.sin_port = htons(static_cast<std::uint16_t>(Port));
  const auto *Raw = reinterpret_cast<const sockaddr *>(&At);
  const int Stream = socket(AF_INET, SOCK_STREAM, 0);
  const int Datagram = socket(AF_INET, SOCK_DGRAM, 0);
  const bool Out = bind(Stream, Raw, sizeof(At)) == 0 &&
                   bind(Datagram, Raw, sizeof(At)) == 0;
  close(Stream);
  close(Datagram);
  return Out;
}

/// Prints \p Wanted port numbers that are currently free for TCP and UDP.
int freePorts(int Wanted) {
  int Port = FirstPort + PortsInBlock * (getpid() % Blocks);
  for (int Found = 0; Found < Wanted; ++Port) {
    if (Port >= FirstPort + PortsInBlock * Blocks)
      Port = FirstPort;
    if (!isFree(Port))
      continue;
    std::cout << Port << "\n";
    ++Found;
  }
  return 0;
}

} // namespace

int main(int Count, char **Words) {
  CLI::App App("A caller for tests", "standin-caller");
  App.require_subcommand(1);
  CallerOptions Options;
  int Result = 0;
  const auto Common = [&Options](CLI::App &To) {
    To.add_option("--proxy", Options.Proxies)->required();
    To.add_option("--database", Options.Database)->required();
    To.add_option("--organisation", Options.Organisation)->required();
    To.add_option("--kind", Options.Kind)->required();
    To.add_option("--session", Options.Session);
    To.add_option("--key", Options.Key);
    To.add_option("--body", Options.Body)->required();
    To.add_option("--patience-ms", Options.PatienceMs);
    To.add_option("--pause-ms", Options.PauseMs);
  };
  CLI::App *Send =
      App.add_subcommand("send", "Retries until the outcome is done");
  Common(*Send);
  Send->callback([&] { Result = sendUntilDone(Options); });
  CLI::App *Once = App.add_subcommand("once", "Sends a single time");
  Common(*Once);
  Once->callback([&] { Result = sendOnce(Options); });
  CLI::App *Gap = App.add_subcommand("gap", "Measures a failover gap");
  Common(*Gap);
  Gap->callback([&] { Result = measureGap(Options); });
  int Ports = 1;
  CLI::App *Free = App.add_subcommand("free-ports", "Finds free ports");
  Free->add_option("count", Ports)->required();
  Free->callback([&] { Result = freePorts(Ports); });
  CLI11_PARSE(App, Count, Words);
  return Result;
}
