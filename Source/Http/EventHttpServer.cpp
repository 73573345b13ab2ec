/// \file
/// A listener for HTTP through libevent's evhttp.

#include "Http/EventHttpServer.h"

#include "Http/EventHttpSupport.h"
#include "Loop/EventLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace corianderdyke {

namespace {

timeval timevalOf(Millis Span) {
  constexpr std::int64_t MillisPerSecond = 1000;
  constexpr std::int64_t MicrosPerMilli = 1000;
  return {Span.count() / MillisPerSecond,
          (Span.count() % MillisPerSecond) * MicrosPerMilli};
}

HttpMethod methodOf(evhttp_request *Raw) {
  switch (evhttp_request_get_command(Raw)) {
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  case EVHTTP_REQ_PUT:
    return HttpMethod::Put;
  case EVHTTP_REQ_DELETE:
    return HttpMethod::Delete;
  default:
    return HttpMethod::Get;
  }
}

HttpRequest requestOf(evhttp_request *Raw) {
  HttpRequest Out;
  Out.Method = methodOf(Raw);
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Raw);
  const char *Path = evhttp_uri_get_path(Uri);
  Out.Path = Path == nullptr ? "/" : Path;
  if (const char *Query = evhttp_uri_get_query(Uri); Query != nullptr) {
    evkeyvalq Parsed;
    if (evhttp_parse_query_str(Query, &Parsed) == 0) {
      for (const auto &[Name, Value] : headersOf(&Parsed))
        Out.Query[Name] = Value;
      evhttp_clear_headers(&Parsed);
    }
  }
  Out.Headers = headersOf(evhttp_request_get_input_headers(Raw));
  Out.Body = bytesOf(evhttp_request_get_input_buffer(Raw));
  return Out;
}

/// evhttp stops reading while a request waits for its answer, so it wouldn't
/// notice that the caller hung up: a statement would be run for nobody and a
/// transaction would keep its connection until its bound. Reading goes on
/// here, for the sake of the end alone. Bytes that come meanwhile (the next
/// request of a caller who doesn't wait) stay in the buffer, which is
/// bounded; evhttp's own callback isn't made for them and would end the
/// process.
void watchForHangUp(evhttp_connection *Connection) {
  bufferevent *Raw = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb OnWritten = nullptr;
  bufferevent_event_cb OnEvent = nullptr;
  void *Argument = nullptr;
  bufferevent_getcb(Raw, nullptr, &OnWritten, &OnEvent, &Argument);
  bufferevent_setcb(Raw, nullptr, OnWritten, OnEvent, Argument);
  bufferevent_setwatermark(Raw, EV_READ, 0, MaxHttpHeaderBytes);
  bufferevent_enable(Raw, EV_READ);
}

/// Undone before the answer: evhttp sets its own callbacks with it.
void endWatch(evhttp_connection *Connection) {
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                           EV_READ, 0, 0);
}

class EventHttpExchange final : public HttpExchange {
public:
  EventHttpExchange(evhttp_request *Raw, std::function<bool()> Closes)
      : Raw(Raw), Closes(std::move(Closes)) {}

  ~EventHttpExchange() override {
    // A request that nobody will answer would hold its caller for ever.
    if (Raw != nullptr)
      respond(HttpResponse{500, {}, "dropped without an answer\n"});
  }

  void respond(HttpResponse Response) override {
    if (Raw == nullptr)
      return;
    evhttp_request *Answered = std::exchange(Raw, nullptr);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Answered);
    for (const auto &[Name, Value] : Response.Headers)
      evhttp_add_header(Headers, Name.c_str(), Value.c_str());
    if (Closes())
      evhttp_add_header(Headers, "Connection", "close");
    endWatch(evhttp_request_get_connection(Answered));
    evbuffer *Body = evbuffer_new();
    evbuffer_add(Body, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Answered, Response.Status, nullptr, Body);
    evbuffer_free(Body);
  }

  void onDisconnect(std::function<void()> Action) override {
    HangUp = std::move(Action);
  }

  /// The connection is gone. libevent frees the request with it, unless it
  /// has let go of it because its answer was outstanding.
  void closed() {
    evhttp_request *Left = std::exchange(Raw, nullptr);
    if (Left == nullptr)
      return;
    if (evhttp_request_get_connection(Left) == nullptr)
      evhttp_request_free(Left);
    if (auto Action = std::exchange(HangUp, nullptr))
      Action();
  }

private:
  evhttp_request *Raw;
  std::function<bool()> Closes; ///< The server's; it outlives its requests.
  std::function<void()> HangUp;
};

std::string peerOf(evhttp_connection *Connection) {
  char *Address = nullptr;
  ev_uint16_t Port = 0;
  evhttp_connection_get_peer(Connection, &Address, &Port);
  return Endpoint{Address == nullptr ? "" : Address, Port}.text();
}

} // namespace

struct EventHttpServer::Session {
  EventHttpServer *Owner = nullptr;
  evhttp_connection *Connection = nullptr;
  std::string Peer;
  std::weak_ptr<EventHttpExchange> Current;
  bool Busy = false;
};

EventHttpServer::EventHttpServer(HttpService &Service) : Service(Service) {}

void EventHttpServer::onRequest(evhttp_request *Raw) {
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  std::unique_ptr<Session> &Known = Sessions[Connection];
  if (!Known) {
    Known = std::make_unique<Session>();
    Known->Owner = this;
    Known->Connection = Connection;
    Known->Peer = peerOf(Connection);
    evhttp_connection_set_closecb(
        Connection,
        [](evhttp_connection *, void *Argument) {
          auto *Closed = static_cast<Session *>(Argument);
          EventHttpServer *Owner = Closed->Owner;
          const std::unique_ptr<Session> Held =
              std::move(Owner->Sessions[Closed->Connection]);
          Owner->Sessions.erase(Held->Connection);
          if (const auto Exchange = Held->Current.lock())
            Exchange->closed();
          Owner->Service.handleDisconnect(Held->Peer);
        },
        Known.get());
  }
  HttpRequest Request = requestOf(Raw);
  Request.Peer = Known->Peer;
  const auto Exchange = std::make_shared<EventHttpExchange>(
      Raw, [this, Peer = Known->Peer] { return closesAfterAnswer(Peer); });
  Known->Busy = true;
  evhttp_request_set_on_complete_cb(
      Raw,
      [](evhttp_request *, void *Argument) {
        static_cast<Session *>(Argument)->Busy = false;
      },
      Known.get());
  Known->Current = Exchange;
  watchForHangUp(Connection);
  Service.handle(Request, Exchange);
}

Expected<std::unique_ptr<EventHttpServer>>
EventHttpServer::listen(EventLoop &Loop, const Endpoint &At,
                        HttpService &Service, HttpLimits Limits) {
  std::unique_ptr<EventHttpServer> Made(new EventHttpServer(Service));
  Made->Http = evhttp_new(Loop.base());
  evhttp_set_max_body_size(Made->Http, MaxHttpBodyBytes);
  evhttp_set_max_headers_size(Made->Http, MaxHttpHeaderBytes);
  const timeval Silence = timevalOf(Limits.IdleTimeout);
  evhttp_set_timeout_tv(Made->Http, &Silence);
  evhttp_set_gencb(
      Made->Http,
      [](evhttp_request *Raw, void *Argument) {
        static_cast<EventHttpServer *>(Argument)->onRequest(Raw);
      },
      Made.get());
  Made->Socket =
      evhttp_bind_socket_with_handle(Made->Http, At.Address.c_str(), At.Port);
  if (Made->Socket == nullptr)
    return fail(ErrorCode::System,
                "can't listen on " + At.text() + ": " + std::strerror(errno));
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(Made->Socket),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  Made->At = Endpoint{At.Address, ntohs(Bound.sin_port)};
  return Made;
}

EventHttpServer::~EventHttpServer() { evhttp_free(Http); }

std::size_t EventHttpServer::pendingRequests() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(),
                    [](const auto &Each) { return Each.second->Busy; }));
}

void EventHttpServer::stopListening() {
  if (Socket == nullptr)
    return;
  evhttp_del_accept_socket(Http, Socket);
  Socket = nullptr;
}

} // namespace corianderdyke
