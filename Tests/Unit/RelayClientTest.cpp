/// \file
/// Links through a gateway whose stream ends.

#include "Relay/RelayClient.h"
#include "FakeLoop.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Streams that the test closes.
class ClosableStreams final : public PeerStreams {
public:
  std::shared_ptr<PeerStream> connect(const Endpoint &,
                                      PeerStreamEvents Events) override {
    class Silent final : public PeerStream {
    public:
      void send(const std::string &) override {}
    };
    Current = std::move(Events);
    return std::make_shared<Silent>();
  }
  void setAcceptHandler(OnAccept) override {}

  void close() { std::exchange(Current, {}).OnClose(); }

private:
  PeerStreamEvents Current;
};

} // namespace

TEST_CASE("The end of a stream closes no link of the next stream", "[relay]") {
  // Guards against closing links that handlers open meanwhile, which need never
  // end.
  constexpr std::size_t Most = 100;
  FakeLoop Loop;
  FakeHost Host(Loop, "proxy");
  ClosableStreams Streams;
  RelayCodec Frames;
  FloorTable Floors;
  RelayClient Client(Host, Host, Streams, Frames, Floors, {"gateway", 7000});
  std::vector<std::unique_ptr<TargetLink>> Links;
  const std::function<void()> Open = [&] {
    if (Links.size() < Most)
      Links.push_back(Client.open(
          {"ledger", "a", {"a", 5000}},
          {[] {}, [](const StatementAnswer &) {},
           [&Open](const std::optional<StatementRefusal> &) { Open(); }}));
  };
  Open();
  Open();
  Streams.close();
  CHECK(Links.size() == 4);
  Streams.close();
  CHECK(Links.size() == 6);
  Links.clear();
  Loop.clear();
}

TEST_CASE("A handler of a stream's end may destroy any of its links",
          "[relay]") {
  // Guards against closing a link that another link's handler destroyed.
  FakeLoop Loop;
  FakeHost Host(Loop, "proxy");
  ClosableStreams Streams;
  RelayCodec Frames;
  FloorTable Floors;
  RelayClient Client(Host, Host, Streams, Frames, Floors, {"gateway", 7000});
  std::vector<std::unique_ptr<TargetLink>> Links(3);
  std::size_t Closed = 0;
  for (auto &Each : Links)
    Each = Client.open({"ledger", "a", {"a", 5000}},
                       {[] {}, [](const StatementAnswer &) {},
                        [&](const std::optional<StatementRefusal> &) {
                          ++Closed;
                          Links[1].reset();
                          Links[2].reset();
                        }});
  Streams.close();
  CHECK(Closed == 1);
  Links.clear();
  Loop.clear();
}
