/// \file
/// HTTP server on libevent's evhttp.

#include "Http/EventHttpServer.h"

#include "Http/EventHttpSupport.h"
#include "Loop/EventLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string_view>
#include <strings.h>

namespace corianderdyke {

namespace {

constexpr int StatusBadRequest = 400;

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

/// True for the characters of a header's name.
bool isNameCharacter(char Each) {
  return std::isalnum(static_cast<unsigned char>(Each)) != 0 ||
         (Each != '\0' && std::strchr("!#$%&'*+-.^_`|~", Each) != nullptr);
}

/// True if the headers state the end of the request more than once or in a way
/// that other HTTP parsers read differently. A body that is taken for shorter
/// than it is would be read as further requests.
bool isFramingAmbiguous(const evkeyvalq *Headers) {
  std::size_t Lengths = 0;
  std::size_t Encodings = 0;
  for (const evkeyval *Each = Headers->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next) {
    const std::string_view Name = Each->key;
    const std::string_view Value = Each->value;
    if (Name.empty() || !std::all_of(Name.begin(), Name.end(), isNameCharacter))
      return true;
    if (Value.find_first_of("\r\n") != std::string_view::npos)
      return true;
    if (strcasecmp(Each->key, "Content-Length") == 0) {
      ++Lengths;
      if (Value.find_first_not_of("0123456789") != std::string_view::npos)
        return true;
    } else if (strcasecmp(Each->key, "Transfer-Encoding") == 0) {
      ++Encodings;
      if (strcasecmp(Each->value, "chunked") != 0)
        return true;
    }
  }
  return Lengths + Encodings > 1;
}

/// True if \p Uri holds a blank or a control character. evhttp accepts them,
/// and ids in paths are sent on in lines of other protocols.
bool isUriInvalid(std::string_view Uri) {
  return std::any_of(Uri.begin(), Uri.end(), [](char Each) {
    return Each == ' ' || std::iscntrl(static_cast<unsigned char>(Each)) != 0;
  });
}

/// True if the request states a body that evhttp does not read.
bool hasUnreadBody(evhttp_request *Raw) {
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  return evhttp_request_get_command(Raw) == EVHTTP_REQ_HEAD &&
         (evhttp_find_header(Headers, "Transfer-Encoding") != nullptr ||
          evhttp_find_header(Headers, "Content-Length") != nullptr);
}

/// Keeps reading from the connection while a request waits for its response, to
/// detect a disconnect. evhttp itself does not read during this time: without
/// this a statement would run after its caller has disconnected, and a
/// transaction would keep its connection until its idle timeout. Pipelined
/// requests stay in the buffer, which is bounded; evhttp's own read callback
/// does not expect them and would end the process.
void watchForDisconnect(evhttp_connection *Connection) {
  bufferevent *Raw = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb OnWritten = nullptr;
  bufferevent_event_cb OnEvent = nullptr;
  void *Argument = nullptr;
  bufferevent_getcb(Raw, nullptr, &OnWritten, &OnEvent, &Argument);
  bufferevent_setcb(Raw, nullptr, OnWritten, OnEvent, Argument);
  bufferevent_setwatermark(Raw, EV_READ, 0, MaxHttpHeaderBytes);
  bufferevent_enable(Raw, EV_READ);
}

/// Removes the read limit before the response is sent; evhttp then sets its own
/// callbacks.
void stopWatchingForDisconnect(evhttp_connection *Connection) {
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                           EV_READ, 0, 0);
}

class EventHttpExchange final : public HttpExchange {
public:
  EventHttpExchange(evhttp_request *Raw, std::function<bool()> ShouldClose)
      : Raw(Raw), ShouldClose(std::move(ShouldClose)) {}

  ~EventHttpExchange() override {
    // Without a response the caller would wait for ever.
    if (Raw != nullptr)
      respond(HttpResponse{500, {}, "dropped without an answer\n"});
  }

  void respond(HttpResponse Response) override {
    if (Raw == nullptr)
      return;
    evhttp_request *Request = std::exchange(Raw, nullptr);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    for (const auto &[Name, Value] : Response.Headers)
      evhttp_add_header(Headers, Name.c_str(), Value.c_str());
    if (ShouldClose())
      evhttp_add_header(Headers, "Connection", "close");
    stopWatchingForDisconnect(evhttp_request_get_connection(Request));
    evbuffer *Body = evbuffer_new();
    evbuffer_add(Body, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Request, Response.Status, nullptr, Body);
    evbuffer_free(Body);
  }

  void onDisconnect(std::function<void()> Action) override {
    DisconnectAction = std::move(Action);
  }

  /// Handles the close of the connection. libevent frees the request with the
  /// connection, unless it has detached the request because its response was
  /// outstanding.
  void handleClose() {
    evhttp_request *Unanswered = std::exchange(Raw, nullptr);
    if (Unanswered == nullptr)
      return;
    if (evhttp_request_get_connection(Unanswered) == nullptr)
      evhttp_request_free(Unanswered);
    if (auto Action = std::exchange(DisconnectAction, nullptr))
      Action();
  }

private:
  evhttp_request *Raw;
  std::function<bool()> ShouldClose; ///< Refers to the server, which outlives
                                     ///< its requests.
  std::function<void()> DisconnectAction;
};

std::string peerOf(evhttp_connection *Connection) {
  char *Address = nullptr;
  ev_uint16_t Port = 0;
  evhttp_connection_get_peer(Connection, &Address, &Port);
  return Endpoint{Address == nullptr ? "" : Address, Port}.text();
}

} // namespace

struct EventHttpServer::ConnectionState {
  EventHttpServer *Owner = nullptr;
  evhttp_connection *Connection = nullptr;
  std::string Peer;
  std::weak_ptr<EventHttpExchange> Current;
  bool Busy = false;
};

EventHttpServer::EventHttpServer(HttpService &Service) : Service(Service) {}

void EventHttpServer::onRequest(evhttp_request *Raw) {
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  std::unique_ptr<ConnectionState> &Entry = ConnectionStates[Connection];
  if (!Entry) {
    Entry = std::make_unique<ConnectionState>();
    Entry->Owner = this;
    Entry->Connection = Connection;
    Entry->Peer = peerOf(Connection);
    evhttp_connection_set_closecb(
        Connection,
        [](evhttp_connection *, void *Argument) {
          auto *Closed = static_cast<ConnectionState *>(Argument);
          EventHttpServer *Owner = Closed->Owner;
          const std::unique_ptr<ConnectionState> Released =
              std::move(Owner->ConnectionStates[Closed->Connection]);
          Owner->ConnectionStates.erase(Released->Connection);
          if (const auto Exchange = Released->Current.lock())
            Exchange->handleClose();
          Owner->Service.handleDisconnect(Released->Peer);
        },
        Entry.get());
  }
  HttpRequest Request = requestOf(Raw);
  Request.Peer = Entry->Peer;
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  const bool IsRejected =
      isFramingAmbiguous(Headers) || isUriInvalid(evhttp_request_get_uri(Raw));
  // What follows on the connection may not be a request.
  const bool IsLast = IsRejected || hasUnreadBody(Raw);
  const auto Exchange = std::make_shared<EventHttpExchange>(
      Raw, [this, Peer = Entry->Peer, IsLast] {
        return IsLast || closesAfterResponse(Peer);
      });
  Entry->Busy = true;
  evhttp_request_set_on_complete_cb(
      Raw,
      [](evhttp_request *, void *Argument) {
        static_cast<ConnectionState *>(Argument)->Busy = false;
      },
      Entry.get());
  Entry->Current = Exchange;
  watchForDisconnect(Connection);
  if (IsRejected)
    return Exchange->respond({StatusBadRequest, {}, "invalid request\n"});
  Service.handle(Request, Exchange);
}

Expected<std::unique_ptr<EventHttpServer>>
EventHttpServer::listen(EventLoop &Loop, const Endpoint &At,
                        HttpService &Service, HttpLimits Limits) {
  std::unique_ptr<EventHttpServer> Server(new EventHttpServer(Service));
  Server->Http = evhttp_new(Loop.base());
  evhttp_set_max_body_size(Server->Http, MaxHttpBodyBytes);
  evhttp_set_max_headers_size(Server->Http, MaxHttpHeaderBytes);
  const timeval IdleTimeoutValue = timevalOf(Limits.IdleTimeout);
  evhttp_set_timeout_tv(Server->Http, &IdleTimeoutValue);
  evhttp_set_gencb(
      Server->Http,
      [](evhttp_request *Raw, void *Argument) {
        static_cast<EventHttpServer *>(Argument)->onRequest(Raw);
      },
      Server.get());
  Server->Socket =
      evhttp_bind_socket_with_handle(Server->Http, At.Address.c_str(), At.Port);
  if (Server->Socket == nullptr)
    return fail(ErrorCode::System,
                "can't listen on " + At.text() + ": " + std::strerror(errno));
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(Server->Socket),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  Server->At = Endpoint{At.Address, ntohs(Bound.sin_port)};
  return Server;
}

EventHttpServer::~EventHttpServer() { evhttp_free(Http); }

std::size_t EventHttpServer::pendingRequests() const {
  return static_cast<std::size_t>(
      std::count_if(ConnectionStates.begin(), ConnectionStates.end(),
                    [](const auto &Each) { return Each.second->Busy; }));
}

void EventHttpServer::stopListening() {
  if (Socket == nullptr)
    return;
  evhttp_del_accept_socket(Http, Socket);
  Socket = nullptr;
}

} // namespace corianderdyke
