/// \file
/// HTTP client on libevent's evhttp.

#include "Http/EventHttpConnector.h"

#include "Http/EventHttpSupport.h"
#include "Loop/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <utility>

namespace corianderdyke {

namespace {

evhttp_cmd_type commandOf(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  case HttpMethod::Get:
    break;
  }
  return EVHTTP_REQ_GET;
}

std::string requestTarget(const HttpRequest &Request) {
  std::string Out = Request.Path;
  char Separator = '?';
  for (const auto &[Name, Value] : Request.Query) {
    Out += Separator + uriEncoded(Name) + "=" + uriEncoded(Value);
    Separator = '&';
  }
  return Out;
}

class EventHttpConnection final : public HttpConnection {
public:
  EventHttpConnection(EventLoop &Loop, const Endpoint &To)
      : Loop(Loop), To(To), State(std::make_shared<ConnectionState>()) {
    State->Connection = newConnection();
  }

  ~EventHttpConnection() override {
    State->OnAnswer = nullptr;
    // The connection may be destroyed inside its own callback.
    Loop.defer([Held = State] { evhttp_connection_free(Held->Connection); });
  }

  void request(HttpRequest Request, Millis Timeout, Handler OnAnswer) override {
    State->OnAnswer = std::move(OnAnswer);
    discardUnrequested();
    evhttp_request *Raw =
        evhttp_request_new(&EventHttpConnection::handleCompletion, State.get());
    evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
    evhttp_add_header(Headers, "Host", To.text().c_str());
    for (const auto &[Name, Value] : Request.Headers)
      evhttp_add_header(Headers, Name.c_str(), Value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Raw), Request.Body.data(),
                 Request.Body.size());
    constexpr std::int64_t MillisPerSecond = 1000;
    constexpr std::int64_t MicrosPerMilli = 1000;
    const timeval TimeoutValue{Timeout.count() / MillisPerSecond,
                               (Timeout.count() % MillisPerSecond) *
                                   MicrosPerMilli};
    evhttp_connection_set_timeout_tv(State->Connection, &TimeoutValue);
    // On failure libevent has freed the request and runs no callback.
    if (evhttp_make_request(State->Connection, Raw, commandOf(Request.Method),
                            requestTarget(Request).c_str()) != 0)
      Loop.defer([Held = State] {
        Held->finish(
            fail(ErrorCode::Unavailable, "the request couldn't be sent"));
      });
  }

private:
  /// Outlives the owner until libevent no longer uses the connection.
  struct ConnectionState {
    evhttp_connection *Connection = nullptr;
    Handler OnAnswer;

    void finish(Expected<HttpResponse> Response) {
      if (const Handler Callback = std::exchange(OnAnswer, nullptr))
        Callback(std::move(Response));
    }
  };

  evhttp_connection *newConnection() {
    evhttp_connection *Out = evhttp_connection_base_new(
        Loop.base(), nullptr, To.Address.c_str(), To.Port);
    evhttp_connection_set_max_body_size(Out, MaxHttpBodyBytes);
    evhttp_connection_set_max_headers_size(Out, MaxHttpHeaderBytes);
    // No retries: a statement that is sent twice could run twice.
    evhttp_connection_set_retries(Out, 0);
    return Out;
  }

  /// Replaces a connection on which more than the last response has arrived.
  /// evhttp would take a repeated response for that of the next request.
  void discardUnrequested() {
    bufferevent *Buffer = evhttp_connection_get_bufferevent(State->Connection);
    if (evbuffer_get_length(bufferevent_get_input(Buffer)) == 0)
      return;
    // The request may be sent inside a callback of the connection.
    Loop.defer([Old = std::exchange(State->Connection, newConnection())] {
      evhttp_connection_free(Old);
    });
  }

  static void handleCompletion(evhttp_request *Raw, void *Argument) {
    static_cast<ConnectionState *>(Argument)->finish(responseOf(Raw));
  }

  static Expected<HttpResponse> responseOf(evhttp_request *Raw) {
    if (Raw == nullptr || evhttp_request_get_response_code(Raw) == 0)
      return fail(ErrorCode::Unavailable, "no answer");
    HttpResponse Out;
    Out.Status = evhttp_request_get_response_code(Raw);
    Out.Headers = headersOf(evhttp_request_get_input_headers(Raw));
    Out.Body = bytesOf(evhttp_request_get_input_buffer(Raw));
    return Out;
  }

  EventLoop &Loop;
  Endpoint To;
  std::shared_ptr<ConnectionState> State;
};

} // namespace

std::unique_ptr<HttpConnection>
EventHttpConnector::connect(const Endpoint &To) {
  return std::make_unique<EventHttpConnection>(Loop, To);
}

} // namespace corianderdyke
