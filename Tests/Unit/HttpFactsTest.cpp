/// \file
/// What the product relies on in evhttp, on real sockets on loopback. Each
/// test waits for a condition; the bound only ends a hopeless one.

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

constexpr Millis Hopeless(10000);

/// Runs the loop until the condition holds.
bool runUntil(EventLoop &Loop, const std::function<bool()> &Condition) {
  const SystemClock Time;
  const Millis Last = Time.now() + Hopeless;
  while (!Condition() && Time.now() < Last) {
    Loop.after(Millis(1), [&Loop] { Loop.stop(); });
    Loop.run();
  }
  return Condition();
}

/// A peer that speaks raw bytes: it lets a test answer late, in pieces, or
/// close at the worst moment.
class RawServer {
public:
  explicit RawServer(EventLoop &Loop) : Loop(Loop) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Listener = evconnlistener_new_bind(
        Loop.base(), &RawServer::accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&At), sizeof(At));
    socklen_t Size = sizeof(At);
    getsockname(evconnlistener_get_fd(Listener),
                reinterpret_cast<sockaddr *>(&At), &Size);
    Address = {"127.0.0.1", ntohs(At.sin_port)};
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
  /// Whole requests that came, counted by their first line.
  std::size_t requests() const {
    std::size_t Count = 0;
    for (std::size_t At = Seen.find("POST "); At != std::string::npos;
         At = Seen.find("POST ", At + 1))
      ++Count;
    return Count;
  }

  Endpoint Address;
  std::vector<bufferevent *> Open;
  std::string Seen;

private:
  static void accepted(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    bufferevent *Made = bufferevent_socket_new(Self->Loop.base(), Socket,
                                               BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Made, &RawServer::arrived, nullptr, nullptr, Self);
    bufferevent_enable(Made, EV_READ | EV_WRITE);
    Self->Open.push_back(Made);
  }
  static void arrived(bufferevent *From, void *Argument) {
    static_cast<RawServer *>(Argument)->Seen +=
        bytesOf(bufferevent_get_input(From));
    evbuffer_drain(bufferevent_get_input(From),
                   evbuffer_get_length(bufferevent_get_input(From)));
  }

  EventLoop &Loop;
  evconnlistener *Listener = nullptr;
};

std::string wholeAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

void connectTo(bufferevent *Caller, const Endpoint &To) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(To.Port);
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(Caller, reinterpret_cast<sockaddr *>(&At),
                             sizeof(At));
  bufferevent_enable(Caller, EV_READ | EV_WRITE);
}

/// One connection to a raw peer and the answers that its user received.
struct Client {
  Client(EventLoop &Loop, const Endpoint &To)
      : Connection(EventHttpConnector(Loop).connect(To)) {}

  void send(Millis Timeout = Hopeless) {
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

/// Keeps exchanges and notes who hung up.
struct KeepingService final : HttpService {
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override {
    Bodies.push_back(Request.Body);
    Exchange->onDisconnect([this] { ++HangUps; });
    Exchanges.push_back(std::move(Exchange));
  }
  void handleDisconnect(const std::string &) override { ++Disconnects; }

  std::vector<std::string> Bodies;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  int HangUps = 0;
  int Disconnects = 0;
};

} // namespace

TEST_CASE("A request goes out once, though its connection closes", "[http]") {
  // A kept connection is closed by the target just as the next statement
  // goes out. A client that sent it again by itself would run a handover
  // twice; the proxy must get the error and decide.
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 1; }));
  Server.write(0, wholeAnswer("first"));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK(Caller.Answers[0]->Body == "first");
  SECTION("closed before the request is read") {
    Server.close(0);
    Caller.send();
  }
  SECTION("closed when the request was read") {
    Caller.send();
    REQUIRE(runUntil(Loop, [&] { return Server.requests() == 2; }));
    Server.close(0);
  }
  SECTION("closed in mid-answer") {
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

TEST_CASE("An answer in pieces arrives whole", "[http]") {
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 1; }));
  for (const char Each : wholeAnswer("a bale from Riga"))
    Server.write(0, std::string(1, Each));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK(Caller.Answers[0]->Body == "a bale from Riga");
}

TEST_CASE("A late answer doesn't answer the next request", "[http]") {
  // The target answers the first statement after its timeout, when the
  // second has gone out over the same object. The second caller must not get
  // the first one's rows.
  EventLoop Loop;
  RawServer Server(Loop);
  Client Caller(Loop, Server.Address);
  Caller.send(Millis(30));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 1; }));
  CHECK_FALSE(Caller.Answers[0].has_value());
  Caller.send();
  REQUIRE(runUntil(Loop, [&] { return Server.requests() == 2; }));
  REQUIRE(Server.Open.size() == 2);
  Server.write(0, wholeAnswer("of the first"));
  Server.write(1, wholeAnswer("of the second"));
  REQUIRE(runUntil(Loop, [&] { return Caller.Answers.size() == 2; }));
  CHECK(Caller.Answers[1]->Body == "of the second");
}

TEST_CASE("Answers given in another order reach their own callers", "[http]") {
  EventLoop Loop;
  KeepingService Service;
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

TEST_CASE("A caller who hangs up while it waits is noticed", "[http]") {
  EventLoop Loop;
  KeepingService Service;
  const auto Server = EventHttpServer::listen(Loop, {"127.0.0.1", 0}, Service);
  REQUIRE(Server);
  {
    Client Caller(Loop, (*Server)->endpoint());
    Caller.send();
    REQUIRE(runUntil(Loop, [&] { return Service.Exchanges.size() == 1; }));
    CHECK(Service.HangUps == 0);
  }
  CHECK(runUntil(Loop, [&] { return Service.HangUps == 1; }));
  CHECK(Service.Disconnects == 1);
  // The answer has nowhere to go; sending it is harmless.
  Service.Exchanges[0]->respond({200, {}, "late"});
}

TEST_CASE("Requests sent ahead are answered in turn, whole", "[http]") {
  // A caller writes its next requests without waiting. Each gets its own
  // answer, and the bytes that wait do no harm.
  EventLoop Loop;
  KeepingService Service;
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

TEST_CASE("A listener refuses what is too large and cuts what is too slow",
          "[http]") {
  // What a hostile or broken caller sends must neither reach the service nor
  // hold memory or a socket for long.
  EventLoop Loop;
  KeepingService Service;
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
  SECTION("no HTTP at all") { Sent = "\x16\x03\x01 hello\r\n\r\n"; }
  SECTION("half a request, then silence") {
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
