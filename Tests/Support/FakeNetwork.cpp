/// \file
/// Implements the simulated network.

#include "FakeNetwork.h"

namespace corianderdyke {

class FakeNetwork::Port final : public Transport {
public:
  Port(FakeNetwork &Net, FakeHost &Host, Endpoint At)
      : Net(Net), Host(Host), At(std::move(At)) {}
  ~Port() override {
    const auto Known = Net.Receivers.find(At);
    if (Known != Net.Receivers.end() && Known->second.At == this)
      Net.Receivers.erase(Known);
  }
  void send(const Endpoint &To, Delivery How, Message Body) override {
    ++Net.BuiltMessages[Body.index()];
    Net.send(Host, To, How,
             {Envelope::CurrentVersion, Host.name(), At, std::move(Body)});
  }
  PreparedMessage prepare(Message Body) const override {
    ++Net.BuiltMessages[Body.index()];
    return {std::move(Body), ""};
  }
  void send(const Endpoint &To, Delivery How,
            const PreparedMessage &What) override {
    Net.send(Host, To, How,
             {Envelope::CurrentVersion, Host.name(), At, What.Body});
  }

private:
  FakeNetwork &Net;
  FakeHost &Host;
  Endpoint At;
};

/// One request in flight. The first of answer, timeout and close completes it.
struct FakeNetwork::Call {
  HttpConnection::Handler OnAnswer;
  FakeHost *Client = nullptr;
  FakeLoop::Id Timeout;
  /// Notifies the server if the client disconnects.
  std::function<void()> HangUp;

  void finish(Expected<HttpResponse> Answer) {
    if (!OnAnswer)
      return;
    Client->loop().cancel(Timeout);
    const auto Waiting = std::exchange(OnAnswer, nullptr);
    Client->run([Waiting, Answer] { Waiting(Answer); });
  }
};

class FakeNetwork::Connection final : public HttpConnection {
public:
  Connection(FakeNetwork &Net, FakeHost &Client, Endpoint To)
      : Net(Net), Client(Client), To(std::move(To)),
        Peer("10.0.0.1:" + std::to_string(Net.NextPeer++)) {}

  ~Connection() override { *Closed ? void() : close(); }

  void request(HttpRequest Request, Millis Timeout, Handler OnAnswer) override {
    // The kernel closes the connections of a killed process.
    if (!std::exchange(Used, true))
      Client.onKill([this, Gone = Closed] { *Gone ? void() : close(); });
    Request.Peer = Peer;
    Current = std::make_shared<Call>();
    Current->OnAnswer = std::move(OnAnswer);
    Current->Client = &Client;
    Current->Timeout = Net.Loop.at(Net.Loop.now() + Timeout, [Each = Current] {
      Each->finish(fail(ErrorCode::Unavailable, "timeout"));
    });
    FakeNetwork *Wire = &Net;
    FakeHost *From = &Client;
    Net.Loop.at(Net.Loop.now() + Net.latency(Client.name()),
                [Wire, From, Each = Current, At = To, Request] {
                  arrive(*Wire, *From, Each, At, Request);
                });
  }

private:
  /// Notifies the server, as the end of a TCP connection does.
  void close() {
    *Closed = true;
    if (Current)
      Current->OnAnswer = nullptr;
    const auto Found = Net.Services.find(To);
    if (!Used || Found == Net.Services.end())
      return;
    Net.Loop.at(Net.Loop.now() + Net.latency(), [Server = Found->second,
                                                 Gone = Peer, Each = Current] {
      Server.Host->run([Server, Gone, Each] {
        if (const auto HangUp = std::exchange(Each->HangUp, nullptr))
          HangUp();
        Server.Handler->handleDisconnect(Gone);
      });
    });
  }

  /// The path of the answer; the answer is lost if the path is cut by then.
  struct Exchange final : HttpExchange {
    FakeNetwork *Wire = nullptr;
    FakeHost *Server = nullptr;
    std::string Client;
    std::shared_ptr<Call> Each;
    bool Answered = false;

    void respond(HttpResponse Response) override {
      Each->HangUp = nullptr;
      if (std::exchange(Answered, true) || Wire->isCut(Server->name(), Client))
        return;
      Wire->Loop.at(Wire->Loop.now() + Wire->latency(Client),
                    [Held = Each, Response] { Held->finish(Response); });
    }
    void onDisconnect(std::function<void()> Action) override {
      Each->HangUp = std::move(Action);
    }
  };

  static void arrive(FakeNetwork &Wire, FakeHost &From,
                     const std::shared_ptr<Call> &Each, const Endpoint &At,
                     const HttpRequest &Request) {
    const auto Found = Wire.Services.find(At);
    const bool Listens =
        Found != Wire.Services.end() && !Found->second.Host->isKilled();
    // The kernel of a killed process still refuses connections.
    if (!Listens) {
      const bool Lost = Found != Wire.Services.end() &&
                        Wire.isCut(From.name(), Found->second.Host->name());
      if (!Lost)
        Each->finish(fail(ErrorCode::Unavailable, "refused"));
      return;
    }
    const Service Server = Found->second;
    if (Wire.isCut(From.name(), Server.Host->name()))
      return;
    auto Back = std::make_shared<Exchange>();
    Back->Wire = &Wire;
    Back->Server = Server.Host;
    Back->Client = From.name();
    Back->Each = Each;
    Server.Host->run(
        [Server, Request, Back] { Server.Handler->handle(Request, Back); });
    // Killing the server closes its connections.
    resetWhenKilled(Wire, Server.Host, Each);
  }

  static void resetWhenKilled(FakeNetwork &Wire, FakeHost *Server,
                              const std::shared_ptr<Call> &Each) {
    constexpr Millis Step(1);
    if (!Each->OnAnswer)
      return;
    if (Server->isKilled()) {
      Each->finish(fail(ErrorCode::Unavailable, "connection reset"));
      return;
    }
    FakeNetwork *Held = &Wire;
    Wire.Loop.at(Wire.Loop.now() + Step, [Held, Server, Each] {
      resetWhenKilled(*Held, Server, Each);
    });
  }

  FakeNetwork &Net;
  FakeHost &Client;
  Endpoint To;
  std::string Peer;
  std::shared_ptr<Call> Current;
  bool Used = false;
  std::shared_ptr<bool> Closed = std::make_shared<bool>(false);
};

class FakeNetwork::Connector final : public HttpConnector {
public:
  Connector(FakeNetwork &Net, FakeHost &Host) : Net(Net), Host(Host) {}
  std::unique_ptr<HttpConnection> connect(const Endpoint &To) override {
    return std::make_unique<Connection>(Net, Host, To);
  }

private:
  FakeNetwork &Net;
  FakeHost &Host;
};

std::unique_ptr<Transport> FakeNetwork::attach(FakeHost &Host,
                                               const Endpoint &At) {
  auto Made = std::make_unique<Port>(*this, Host, At);
  Receivers[At] = {&Host, Made.get()};
  return Made;
}

std::unique_ptr<HttpConnector> FakeNetwork::connector(FakeHost &Host) {
  return std::make_unique<Connector>(*this, Host);
}

void FakeNetwork::serve(FakeHost &Host, const Endpoint &At,
                        HttpService &Service) {
  Services[At] = {&Host, &Service};
}

void FakeNetwork::send(FakeHost &From, const Endpoint &To, Delivery How,
                       Envelope What) {
  static const std::string Key = "a key for the network in memory";
  const std::string Bytes = signAndEncode(What, Key);
  auto &Seen = Traffic[What.Body.index()];
  ++Seen.first;
  Seen.second += Bytes.size();
  const bool Lost =
      How == Delivery::Datagram &&
      std::uniform_int_distribution<int>(0, 999)(Random) < LossPerMille;
  if (Lost)
    return;
  Millis When = Loop.now() + latency();
  if (How == Delivery::Stream) {
    Millis &Earliest = StreamTimes[{From.name(), To}];
    When = std::max(When, Earliest);
    Earliest = When;
  }
  Loop.at(When, [this, Sender = From.name(), To, Bytes] {
    const auto Found = Receivers.find(To);
    if (Found == Receivers.end() || isCut(Sender, Found->second.Host->name()))
      return;
    Found->second.Host->run([this, To, Bytes] {
      // The real codec is used, so that tests cover its faults as well.
      const auto Opened = verifyAndDecode(Bytes, Key);
      const auto Again = Receivers.find(To);
      if (Opened && Again != Receivers.end())
        Again->second.At->signalReceived().emit(*Opened);
    });
  });
}

} // namespace corianderdyke
