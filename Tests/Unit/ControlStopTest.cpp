/// \file
/// The stop of a control host that has a request of an operator in progress.

#include "App/SteeringProcess.h"
#include "LoopbackNetwork.h"
#include "PlatformAdapter.h"
#include "Transport/SocketOptions.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace corianderdyke;

namespace {

/// Asks its process to stop as soon as it has received a request, and answers
/// the request later.
class SlowDirectory final : public HttpService {
public:
  SlowDirectory(EventLoop &Loop, Millis AnswerAfter)
      : Loop(Loop), AnswerAfter(AnswerAfter) {}

  void handle(const HttpRequest &,
              std::shared_ptr<HttpExchange> Exchange) override {
    std::raise(SIGTERM);
    Loop.after(AnswerAfter, [Exchange] {
      Exchange->respond({200, {}, "accepted"});
    });
  }

private:
  EventLoop &Loop;
  Millis AnswerAfter;
};

/// The platform's adapter with a SlowDirectory.
class SlowAdapter final : public ProtocolAdapter {
public:
  std::unique_ptr<TargetConnector> makeTargetConnector(EventLoop &Of) override {
    Loop = &Of;
    return Platform->makeTargetConnector(Of);
  }
  std::unique_ptr<TargetCommandPort>
  makeTargetCommandPort(EventLoop &Of, TargetConnector &Targets) override {
    return Platform->makeTargetCommandPort(Of, Targets);
  }
  std::unique_ptr<PromotionPort>
  makePromotionPort(EventLoop &Of, HttpConnector &Connector,
                    const PromotionAccess &Access) override {
    return Platform->makePromotionPort(Of, Connector, Access);
  }
  Expected<std::unique_ptr<CallerListener>>
  listenForCallers(EventLoop &Of, const Endpoint &At,
                   SessionPipeline &Pipeline) override {
    return Platform->listenForCallers(Of, At, Pipeline);
  }
  std::unique_ptr<HttpService> makeDirectoryService(SteeringNode &,
                                                    const Endpoint &) override {
    return std::make_unique<SlowDirectory>(*Loop, Millis(300));
  }
  std::unique_ptr<HttpService>
  makeReadinessService(std::function<bool()> IsReady) override {
    return Platform->makeReadinessService(std::move(IsReady));
  }

private:
  std::unique_ptr<ProtocolAdapter> Platform = platform::makeProtocolAdapter();
  EventLoop *Loop = nullptr;
};

/// Sends a request and returns everything that arrives until the end of the
/// connection.
std::string exchange(const Endpoint &To) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in At = socketAddress(To);
  std::string Out;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) ==
      0) {
    const std::string Request = "GET /-/Config.Describe HTTP/1.1\r\n"
                                "Host: control\r\n\r\n";
    (void)::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
    char Bytes[1000];
    ssize_t Got = 0;
    while ((Got = ::recv(Socket, Bytes, sizeof(Bytes), 0)) > 0)
      Out.append(Bytes, static_cast<std::size_t>(Got));
  }
  ::close(Socket);
  return Out;
}

} // namespace

TEST_CASE("A stopping control host answers the requests that it has received",
          "[stop][platform-socket]") {
  // Guards against an operator whose change may be in force, and whose
  // connection ends without an answer because the host that took it stops.
  std::string Folder =
      (std::filesystem::temp_directory_path() / "control-stop-XXXXXX").string();
  REQUIRE(::mkdtemp(Folder.data()) != nullptr);
  const LoopbackNetwork Network =
      LoopbackNetwork::claim(static_cast<unsigned>(::getpid()));
  Settings Options;
  Options.Name = "control-1";
  Options.IsControl = true;
  Options.DataFolder = Folder;
  Options.PeerKey = "a key for tests alone";
  Options.PeerEndpoint = {Network.prefix() + ".0.1", 7440};
  Options.DirectoryEndpoint = {Network.prefix() + ".0.1", 7441};
  Options.MayBootstrap = true;
  Options.StopTimeout = Millis(6000);
  auto Process =
      SteeringProcess::make(Options, "", std::make_unique<SlowAdapter>());
  REQUIRE(Process);
  std::string Answer;
  std::thread Operator([&] { Answer = exchange(Options.DirectoryEndpoint); });
  CHECK((*Process)->run() == 0);
  Process->reset();
  Operator.join();
  std::filesystem::remove_all(Folder);
  CHECK(Answer.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(Answer.find("accepted") != std::string::npos);
}
