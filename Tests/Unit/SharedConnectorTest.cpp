/// \file
/// Links that move between gateways whose streams end while they send.

#include "Relay/SharedConnector.h"
#include "FakeGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *GroupName = "ledger";
/// Messages after which a frame is sent at once.
constexpr std::size_t MessagesPerFrame = 16;

/// Streams that end inside the first sending.
class FailingStreams final : public PeerStreams {
public:
  std::shared_ptr<PeerStream> connect(const Endpoint &,
                                      PeerStreamEvents Events) override {
    class Failing final : public PeerStream {
    public:
      Failing(FailingStreams &Owner, PeerStreamEvents Events)
          : Owner(Owner), Events(std::move(Events)) {}
      void send(const std::string &) override {
        ++Owner.Sent;
        std::exchange(Events, {}).OnClose();
      }

    private:
      FailingStreams &Owner;
      PeerStreamEvents Events;
    };
    return std::make_shared<Failing>(*this, std::move(Events));
  }
  void setAcceptHandler(OnAccept) override {}

  std::size_t Sent = 0;
};

} // namespace

TEST_CASE("A gateway that is lost while it gets the session state runs nothing",
          "[relay]") {
  // Guards against a link that sends its commands through a gateway that the
  // state before them has shown to be lost.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a"});
  FakeHost Host(Loop, "self");
  TargetBroker Broker(Host, Host, Group);
  FailingStreams Streams;
  RelayCodec Frames;
  FloorTable Floors;
  SharedConnector Shared({Host, Host, Group, Broker, Streams, Frames, Floors},
                         "self");
  const auto Open = [&Shared](std::vector<StatementAnswer> &Answers) {
    return Shared.open(
        {GroupName, "a", {"a", 5000}},
        {[] {},
         [&Answers](const StatementAnswer &Each) { Answers.push_back(Each); },
         [](const std::optional<StatementRefusal> &) {}});
  };
  TargetCommand Read;
  Read.Text = "FETCH x";
  RoutePlan Plan = planOfThreeRoutes();
  Plan.Groups.front().MaxConnections = 1;
  Shared.setPlan(Plan);
  Shared.setProxies({{"p1", {"p1", 7000}, "here"},
                     {"p2", {"p2", 7000}, "here"},
                     {"p3", {"p3", 7000}, "here"}});
  REQUIRE(Shared.sharesConnections(GroupName));
  // No target is known yet, so the state is recorded without a gateway.
  std::vector<StatementAnswer> Answers;
  const auto Link = Open(Answers);
  Link->send({{.Operation = TargetCommand::Kind::SetValue,
               .Text = "1",
               .Name = "tenant"}});
  Loop.runFor(Millis(10));
  REQUIRE(Answers.size() == 1);
  Shared.updateTargets(Group.directory());
  // A target has two gateways, which links use in turn. Each link sends two
  // messages, as this one does before its statement: the second one fills the
  // frame.
  std::vector<StatementAnswer> Others;
  std::vector<std::unique_ptr<TargetLink>> Links;
  for (std::size_t Each = 0; Each < MessagesPerFrame - 2; ++Each) {
    Links.push_back(Open(Others));
    Links.back()->send({Read});
  }
  REQUIRE(Streams.Sent == 0);
  Link->send({Read});
  CHECK(Streams.Sent == 1);
  Loop.runFor(Millis(10));
  REQUIRE(Answers.size() == 2);
  REQUIRE(Answers[1].Refusal);
  CHECK(Answers[1].Refusal->Code == RefusalCode::Unreachable);
  Loop.clear();
}
