/// \file
/// The stream of a proxy to a gateway that does not answer.

#include "FakeLoop.h"
#include "Relay/RelayClient.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Streams to a frozen host: they stay open, and nothing arrives.
class SilentStreams final : public PeerStreams {
public:
  std::shared_ptr<PeerStream> connect(const Endpoint &,
                                      PeerStreamEvents) override {
    class Stream final : public PeerStream {
      void send(const std::string &) override {}
    };
    return std::make_shared<Stream>();
  }
  void setAcceptHandler(OnAccept) override {}
};

} // namespace

TEST_CASE("A read retried through a silent gateway does not hide its silence",
          "[relay]") {
  // Each notification of the silence retries the read, as a pipeline does.
  // Guards against a gateway that is never given up while reads are retried.
  FakeLoop Loop;
  FakeHost Host(Loop, "proxy");
  SilentStreams Streams;
  RelayCodec Frames;
  FloorTable Floors;
  RelayClient Client(Host, Host, Streams, Frames, Floors, {"gateway", 7001});
  std::unique_ptr<TargetLink> Link;
  std::size_t Closed = 0;
  std::function<void()> Send = [&] {
    Link = Client.open(
        {"ledger", "a", {"a", 5000}},
        {[] {}, [](const StatementAnswer &) {},
         [&Closed](const std::optional<StatementRefusal> &) { ++Closed; },
         [&] {
           if (Client.isAvailable())
             Send();
         }});
    Link->send({TargetCommand{.Text = "FETCH x"}});
  };
  Send();
  Loop.runFor(Millis(300));
  CHECK_FALSE(Client.isAvailable());
  Loop.runFor(Millis(300));
  CHECK(Closed == 1);
  Loop.clear();
}
