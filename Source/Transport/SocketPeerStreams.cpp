/// \file
/// Streams of frames between processes, over TCP with libevent.

#include "Transport/SocketPeerStreams.h"

#include "Common/Cryptography.h"
#include "Loop/EventLoop.h"
#include "Transport/SocketOptions.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace corianderdyke {

namespace {

constexpr std::size_t LengthBytes = 4;
/// Maximum size of the output queue. A peer that stops reading is disconnected
/// before its frames exhaust the memory.
constexpr std::size_t MaxQueuedBytes = 8U << 20U;
/// Timeout of unacknowledged data. Data that is unacknowledged for this long is
/// unlikely to arrive before the deadline of a caller. The value is well above
/// the round-trip time between regions.
constexpr Millis UnackedDataTimeout(800);
/// Number of proxies that may connect at the same moment after a simultaneous
/// restart.
constexpr int Backlog = 512;

/// State of one stream, used by its callbacks. It outlives the stream while a
/// callback runs, since handlers may destroy the stream.
struct StreamState {
  bufferevent *Buffer = nullptr;
  PeerStreamEvents Handlers;
  std::string Key;
  bool IsEnded = false; ///< Set once no handler may run.

  ~StreamState() {
    if (Buffer != nullptr)
      bufferevent_free(Buffer);
  }

  void end() {
    if (std::exchange(IsEnded, true))
      return;
    bufferevent_disable(Buffer, EV_READ | EV_WRITE);
    const auto Handler = std::exchange(Handlers, {}).OnClose;
    if (Handler)
      Handler();
  }

  /// Delivers the next frame. Returns false if it is not complete yet or the
  /// stream was closed.
  bool takeFrame() {
    evbuffer *In = bufferevent_get_input(Buffer);
    if (evbuffer_get_length(In) < LengthBytes)
      return false;
    std::uint32_t Length = 0;
    evbuffer_copyout(In, &Length, LengthBytes);
    Length = ntohl(Length);
    if (Length < TruncatedHmacBytes ||
        Length > SocketPeerStreams::MaxFrameBytes) {
      end();
      return false;
    }
    if (evbuffer_get_length(In) < LengthBytes + Length)
      return false;
    std::string Digest(TruncatedHmacBytes, '\0');
    std::string Frame(Length - TruncatedHmacBytes, '\0');
    evbuffer_drain(In, LengthBytes);
    evbuffer_remove(In, Digest.data(), Digest.size());
    evbuffer_remove(In, Frame.data(), Frame.size());
    if (!equalsInConstantTime(Digest, truncatedHmac(Key, Frame))) {
      end();
      return false;
    }
    const auto Handler = Handlers.OnFrame;
    if (Handler)
      Handler(Frame);
    return true;
  }

  void read() {
    while (!IsEnded && takeFrame()) {
    }
  }
};

using StreamStatePtr = std::shared_ptr<StreamState>;

class SocketPeerStream final : public PeerStream {
public:
  SocketPeerStream(EventLoop &Loop, int Socket, std::string Key)
      : Loop(Loop), State(std::make_shared<StreamState>()),
        Argument(std::make_shared<StreamStatePtr>(State)) {
    State->Key = std::move(Key);
    State->Buffer =
        bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(State->Buffer, &onRead, nullptr, &onEvent,
                      Argument.get());
  }

  ~SocketPeerStream() override {
    State->IsEnded = true;
    bufferevent_setcb(State->Buffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(State->Buffer, EV_READ);
    // The stream may be destroyed inside its own callback.
    Loop.defer([Held = State, Kept = Argument] { Kept->reset(); });
  }

  void start(PeerStreamEvents Events) {
    State->Handlers = std::move(Events);
    bufferevent_enable(State->Buffer, EV_READ | EV_WRITE);
  }

  void connect(const Endpoint &To) {
    const sockaddr_in Address = socketAddress(To);
    if (bufferevent_socket_connect(State->Buffer,
                                   reinterpret_cast<const sockaddr *>(&Address),
                                   sizeof(Address)) != 0)
      Loop.defer([Held = State] { Held->end(); });
  }

  void send(const std::string &Frame) override {
    if (State->IsEnded)
      return;
    evbuffer *Queue = bufferevent_get_output(State->Buffer);
    if (evbuffer_get_length(Queue) > MaxQueuedBytes) {
      Loop.defer([Held = State] { Held->end(); });
      return;
    }
    const std::uint32_t Length =
        htonl(static_cast<std::uint32_t>(TruncatedHmacBytes + Frame.size()));
    const std::string Digest = truncatedHmac(State->Key, Frame);
    evbuffer_add(Queue, &Length, LengthBytes);
    evbuffer_add(Queue, Digest.data(), Digest.size());
    evbuffer_add(Queue, Frame.data(), Frame.size());
  }

private:
  static void onRead(bufferevent *, void *Raw) {
    const StreamStatePtr Held = *static_cast<StreamStatePtr *>(Raw);
    Held->read();
  }

  static void onEvent(bufferevent *, short Events, void *Raw) {
    if ((Events & BEV_EVENT_CONNECTED) != 0)
      return;
    const StreamStatePtr Held = *static_cast<StreamStatePtr *>(Raw);
    // Data that the peer sent before it closed may still be in the buffer.
    Held->read();
    Held->end();
  }

  EventLoop &Loop;
  StreamStatePtr State;
  /// Argument of the libevent callbacks. It keeps the state alive while a
  /// callback runs.
  std::shared_ptr<StreamStatePtr> Argument;
};

} // namespace

Expected<std::unique_ptr<SocketPeerStreams>>
SocketPeerStreams::listen(EventLoop &Loop, const Endpoint &At,
                          std::string Key) {
  std::unique_ptr<SocketPeerStreams> Streams(
      new SocketPeerStreams(Loop, std::move(Key)));
  auto Listener = makeListener(
      Loop.base(), At, Backlog,
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) {
        static_cast<SocketPeerStreams *>(Self)->accepted(Socket);
      },
      Streams.get());
  if (!Listener)
    return tl::unexpected(Listener.error());
  Streams->Listener = *Listener;
  return Streams;
}

SocketPeerStreams::~SocketPeerStreams() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

std::shared_ptr<PeerStream>
SocketPeerStreams::connect(const Endpoint &To, PeerStreamEvents Events) {
  auto Stream = std::make_shared<SocketPeerStream>(
      Loop, makeTcpSocket(UnackedDataTimeout), Key);
  Stream->start(std::move(Events));
  Stream->connect(To);
  return Stream;
}

void SocketPeerStreams::accepted(int Socket) {
  setTcpOptions(Socket, UnackedDataTimeout);
  auto Stream = std::make_shared<SocketPeerStream>(Loop, Socket, Key);
  if (AcceptHandler)
    Stream->start(AcceptHandler(Stream));
}

} // namespace corianderdyke
