/// \file
/// The properties of evhttp that the code relies on, on real loopback sockets.
/// Each test waits for a condition; the timeout only ends a failed test.

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Http/EventHttpSupport.h"
#include "Loop/EventLoop.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <unistd.h>

using namespace corianderdyke;

namespace {

constexpr Millis WaitTimeout(10000);

/// Runs \p Loop until \p Condition holds or the timeout expires. Returns
/// whether the condition holds.
bool runUntil(EventLoop &Loop, const std::function<bool()> &Condition) {
  const SystemClock Time;
  const Millis Last = Time.now() + WaitTimeout;
  while (!Condition() && Time.now() < Last) {
    Loop.after(Millis(1), [&Loop] { Loop.stop(); });
    Loop.run();
  }
  return Condition();
}

/// A server on raw bytes, so that a test can respond late or in pieces, or
/// close a connection at a chosen moment.
class RawServer {
public:
  explicit RawServer(EventLoop &Loop) : Loop(Loop) {
    sockaddr_in SocketAddress{};
    SocketAddress.sin_family = AF_INET;
    SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Listener = evconnlistener_new_bind(
        Loop.base(), &RawServer::accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&SocketAddress), sizeof(SocketAddress));
    socklen_t Size = sizeof(SocketAddress);
    getsockname(evconnlistener_get_fd(Listener),
                reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
    Address = {"127.0.0.1", ntohs(SocketAddress.sin_port)};
  }
  ~RawServer() {
    for (bufferevent *Each : Open)
      bufferevent_free(Each);
    evconnlistener_free(Listener);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  void write(std::size_t Connection, const std::string &Bytes) {
    bufferevent_write(Open[Connection], Bytes.data(), Bytes.size());
  }
  void close(std::size_t Connection) {
    bufferevent_free(Open[Connection]);
    Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Connection));
  }
  /// Returns the number of received requests, counted by their request lines.
  std::size_t requests() const {
    std::size_t Count = 0;
    for (std::size_t Offset = Received.find("POST ");
         Offset != std::string::npos;
         Offset = Received.find("POST ", Offset + 1))
      ++Count;
    return Count;
  }

  Endpoint Address;
  std::vector<bufferevent *> Open;
  std::string Received;

private:
  static void accepted(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    bufferevent *Accepted = bufferevent_socket_new(Self->Loop.base(), Socket,
                                                   BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Accepted, &RawServer::arrived, nullptr, nullptr, Self);
    bufferevent_enable(Accepted, EV_READ | EV_WRITE);
    Self->Open.push_back(Accepted);
  }
  static void arrived(bufferevent *From, void *Argument) {
    static_cast<RawServer *>(Argument)->Received +=
        bytesOf(bufferevent_get_input(From));
    evbuffer_drain(bufferevent_get_input(From),
                   evbuffer_get_length(bufferevent_get_input(From)));
  }

  EventLoop &Loop;
  evconnlistener *Listener = nullptr;
};

std::string okResponse(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

void connectTo(bufferevent *Caller, const Endpoint &To) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(To.Port);
  SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(Caller,
                             reinterpret_cast<sockaddr *>(&SocketAddress),
                             sizeof(SocketAddress));
  bufferevent_enable(Caller, EV_READ | EV_WRITE);
}

/// A client connection and the responses that it received.
struct Client {
  Client(EventLoop &Loop, const Endpoint &To)
      : Connection(EventHttpConnector(Loop).connect(To)) {}

  void send(Millis Timeout = WaitTimeout) {
    HttpRequest Request;
    Request.Method = HttpMethod::Post;
    Request.Path = "/v1/statement";
    Request.Body = "put bale haulier";
    Connection->request(std::move(Request), Timeout,
                        [this](Expected<HttpResponse> Answer) {
                          Answers.push_back(std::move(Answer));
                        });
  }

  std::unique_ptr<HttpConnection> Connection;
  std::vector<Expected<HttpResponse>> Answers;
};

/// Keeps the exchanges open and counts disconnects.
struct HoldingService final : HttpService {
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override {
    Bodies.push_back(Request.Body);
    Exchange->onDisconnect([this] { ++ExchangeDisconnects; });
    Exchanges.push_back(std::move(Exchange));
  }
  void handleDisconnect(const std::string &) override { ++Disconnects; }

  std::vector<std::string> Bodies;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  int ExchangeDisconnects = 0;
  int Disconnects = 0;
};

} // namespace

TEST_CASE("A request is sent once even if its connection closes", "[http]") {
  // A persistent connection is closed by the target when the next statement is
  // sent. An automatic retry by the HTTP client could run a write twice; the
  // proxy must receive the error and decide.
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 1; }));
  Server.write(0, okResponse("first"));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK(Caller.Answers[0]->Body == "first");
  SECTION("closed before the request is read") {
    Server.close(0);
    Caller.send();
  }
  SECTION("closed after the request is read") {
    Caller.send();
    REQUIRE(runUntil(Loop, [&] { return Server.requests() == 2; }));
    Server.close(0);
  }
  SECTION("closed within a response") {
    Caller.send();
    REQUIRE(runUntil(Loop, [&] { return Server.requests() == 2; }));
    Server.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    REQUIRE(runUntil(Loop, [&] {
      return evbuffer_get_length(bufferevent_get_output(Server.Open[0])) == 0;
    }));
    Server.close(0);
  }
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 2; }));
  CHECK_FALSE(Caller.Answers[1].has_value());
  const std::size_t Sent = Server.requests();
  Loop.after(Millis(50), [&Loop] { Loop.stop(); });
  Loop.run();
  CHECK(Server.requests() == Sent);
  CHECK(Sent <= 2);
  CHECK(Caller.Answers.size() == 2);
}

TEST_CASE("A response in pieces is received complete", "[http]") {
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 1; }));
  for (const char Each : okResponse("a bale from Riga"))
    Server.write(0, std::string(1, Each));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK(Caller.Answers[0]->Body == "a bale from Riga");
}

TEST_CASE("A late response is not matched to the next request", "[http]") {
  // The target responds to the first statement after its timeout, when the
  // second has been sent through the same HttpConnection. The second caller
  // must not receive the rows of the first.
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send(Millis(30));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK_FALSE(Caller.Answers[0].has_value());
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 2; }));
  REQUIRE(Server.Open.size() == 2);
  Server.write(0, okResponse("of the first"));
  Server.write(1, okResponse("of the second"));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 2; }));
  CHECK(Caller.Answers[1]->Body == "of the second");
}

TEST_CASE("Responses in another order reach their own callers", "[http]") {
  EventLoop Loop;
  HoldingService Service;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Service);
  REQUIRE(Server);
  Client One(Loop, (*Server)->endpoint());
  Client Other(Loop, (*Server)->endpoint());
  One.send();
  REQUIRE(runUntil(Loop, [&] { return Service.Exchanges.size() == 1; }));
  Other.send();
  REQUIRE(runUntil(Loop, [&] { return Service.Exchanges.size() == 2; }));
  Service.Exchanges[1]->respond({200, {}, "other"});
  Service.Exchanges[0]->respond({200, {}, "one"});
  REQUIRE(runUntil(Loop, [&] {
    return One.Answers.size() == 1 && Other.Answers.size() == 1;
  }));
  CHECK(One.Answers[0]->Body == "one");
  CHECK(Other.Answers[0]->Body == "other");
}

TEST_CASE("A disconnect of a waiting caller is detected", "[http]") {
  EventLoop Loop;
  HoldingService Service;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Service);
  REQUIRE(Server);
  {
    Client Caller(Loop, (*Server)->endpoint());
    Caller.send();
    REQUIRE(runUntil(Loop, [&] { return Service.Exchanges.size() == 1; }));
    CHECK(Service.ExchangeDisconnects == 0);
  }
  CHECK(runUntil(Loop, [&] { return Service.ExchangeDisconnects == 1; }));
  CHECK(Service.Disconnects == 1);
  // The client is gone; sending the response must be harmless.
  Service.Exchanges[0]->respond({200, {}, "late"});
}

TEST_CASE("Pipelined requests are answered in order", "[http]") {
  // A caller pipelines its requests. Each must receive its own response, and
  // the buffered bytes must not disturb the request in progress.
  EventLoop Loop;
  HoldingService Service;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Service);
  REQUIRE(Server);
  bufferevent *Caller =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const std::string Each = "POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
  const std::string First = Each + "a" + Each + "b";
  const std::string Last = Each + "c";
  connectTo(Caller, (*Server)->endpoint());
  bufferevent_write(Caller, First.data(), First.size());
  REQUIRE(runUntil(Loop, [&] { return Service.Bodies.size() == 1; }));
  bufferevent_write(Caller, Last.data(), Last.size());
  REQUIRE(runUntil(Loop, [&] {
    return evbuffer_get_length(bufferevent_get_output(Caller)) == 0;
  }));
  Loop.after(Millis(5), [&Loop] { Loop.stop(); });
  Loop.run();
  std::string Got;
  for (std::size_t Turn = 0; Turn < 3; ++Turn) {
    REQUIRE(runUntil(Loop, [&] { return Service.Bodies.size() == Turn + 1; }));
    const std::string Body = "<" + Service.Bodies[Turn] + ">";
    Service.Exchanges[Turn]->respond({200, {}, Body});
    REQUIRE(runUntil(Loop, [&] {
      Got = bytesOf(bufferevent_get_input(Caller));
      return Got.find(Body) != std::string::npos;
    }));
  }
  CHECK(Got.find("<a>") < Got.find("<b>"));
  CHECK(Got.find("<b>") < Got.find("<c>"));
  bufferevent_free(Caller);
}

TEST_CASE("A listener refuses oversized input and closes idle connections",
          "[http]") {
  // Invalid input from a hostile or faulty caller must neither reach the
  // service nor occupy memory or a socket for long.
  EventLoop Loop;
  HoldingService Service;
  HttpLimits Limits;
  std::string Sent;
  SECTION("a body too large") {
    Sent = "POST /x HTTP/1.1\r\nContent-Length: " +
           std::to_string(MaxHttpBodyBytes + 1) + "\r\n\r\n";
  }
  SECTION("headers too large") {
    Sent =
        "POST /x HTTP/1.1\r\nA: " + std::string(MaxHttpHeaderBytes + 1, 'x') +
        "\r\n\r\n";
  }
  SECTION("not HTTP") { Sent = "\x16\x03\x01 hello\r\n\r\n"; }
  SECTION("an incomplete request") {
    Sent = "POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf";
    Limits.IdleTimeout = Millis(100);
  }
  const auto Server =
      EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Service, Limits);
  REQUIRE(Server);
  bufferevent *Caller =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bool Ended = false;
  bufferevent_setcb(
      Caller, nullptr, nullptr,
      [](bufferevent *, short What, void *Flag) {
        if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          *static_cast<bool *>(Flag) = true;
      },
      &Ended);
  connectTo(Caller, (*Server)->endpoint());
  bufferevent_write(Caller, Sent.data(), Sent.size());
  CHECK(runUntil(Loop, [&] { return Ended; }));
  CHECK(Service.Bodies.empty());
  bufferevent_free(Caller);
}
