/// \file
/// Transport over UDP and TCP sockets with libevent.

#include "Transport/SocketTransport.h"

#include "Loop/EventLoop.h"
#include "Transport/SocketOptions.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <unistd.h>

namespace corianderdyke {

namespace {

constexpr std::size_t LengthBytes = 4;
/// Maximum size of the output queue. A peer that stops reading is disconnected
/// before its messages exhaust the memory.
constexpr std::size_t MaxQueuedBytes = 64U << 20U;

/// Timeout of unacknowledged data, after which the next message opens a new
/// stream. After a partition, the kernel would hold back messages for further
/// seconds, and a proxy would keep using an old plan. The value is well above
/// the round-trip time between regions.
constexpr Millis UnackedDataTimeout(800);

/// A connection attempt that takes longer than this was started while its peer
/// was down. The value is well above the round-trip time between regions.
constexpr Millis StalledConnectTimeout(60);

} // namespace

struct SocketTransport::Stream {
  SocketTransport *Owner = nullptr;
  bufferevent *Buffer = nullptr;
  bool IsConnected = false; ///< Outgoing streams only.
  Millis OpenedAt;

  ~Stream() { bufferevent_free(Buffer); }
};

SocketTransport::SocketTransport(EventLoop &Loop, Endpoint At, std::string Name,
                                 std::string Key)
    : Loop(Loop), At(std::move(At)), Name(std::move(Name)),
      Key(std::move(Key)) {}

Expected<std::unique_ptr<SocketTransport>>
SocketTransport::listen(EventLoop &Loop, const Endpoint &At, std::string Name,
                        std::string Key) {
  std::unique_ptr<SocketTransport> Result(
      new SocketTransport(Loop, At, std::move(Name), std::move(Key)));
  if (auto Bound = Result->bind(); !Bound)
    return tl::unexpected(Bound.error());
  return Result;
}

Expected<void> SocketTransport::bind() {
  const sockaddr_in Address = socketAddress(At);
  const auto *Raw = reinterpret_cast<const sockaddr *>(&Address);
  DatagramSocket =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (DatagramSocket < 0 || ::bind(DatagramSocket, Raw, sizeof(Address)) != 0)
    return fail(ErrorCode::System, "can't listen on UDP " + At.text() + ": " +
                                       std::strerror(errno));
  DatagramEvent = event_new(
      Loop.base(), DatagramSocket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<SocketTransport *>(Self)->readDatagrams();
      },
      this);
  event_add(DatagramEvent, nullptr);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Argument) {
        auto *Self = static_cast<SocketTransport *>(Argument);
        auto NewStream = std::make_unique<Stream>();
        NewStream->Owner = Self;
        NewStream->Buffer = bufferevent_socket_new(Self->Loop.base(), Socket,
                                                   BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            NewStream->Buffer,
            [](bufferevent *, void *From) {
              auto *Each = static_cast<Stream *>(From);
              Each->Owner->readFrames(*Each);
            },
            nullptr,
            [](bufferevent *, short, void *From) {
              auto *Each = static_cast<Stream *>(From);
              Each->Owner->closeStream(Each);
            },
            NewStream.get());
        bufferevent_enable(NewStream->Buffer, EV_READ | EV_WRITE);
        Self->Incoming.insert(std::move(NewStream));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      -1, Raw, sizeof(Address));
  if (Listener == nullptr)
    return fail(ErrorCode::System, "can't listen on TCP " + At.text() + ": " +
                                       std::strerror(errno));
  return {};
}

SocketTransport::~SocketTransport() {
  Outgoing.clear();
  Incoming.clear();
  if (Listener != nullptr)
    evconnlistener_free(Listener);
  if (DatagramEvent != nullptr)
    event_free(DatagramEvent);
  if (DatagramSocket >= 0)
    ::close(DatagramSocket);
}

std::string SocketTransport::signedBytes(Message Body) const {
  return signAndEncode({Envelope::CurrentVersion, Name, At, std::move(Body)},
                       Key);
}

void SocketTransport::send(const Endpoint &To, Delivery How, Message Body) {
  sendSigned(To, How, signedBytes(std::move(Body)));
}

PreparedMessage SocketTransport::prepare(Message Body) const {
  std::string Bytes = signedBytes(Body);
  return {std::move(Body), std::move(Bytes)};
}

void SocketTransport::send(const Endpoint &To, Delivery How,
                           const PreparedMessage &Prepared) {
  sendSigned(To, How, Prepared.SignedBytes);
}

void SocketTransport::sendSigned(const Endpoint &To, Delivery How,
                                 const std::string &Bytes) {
  SentBytes += Bytes.size();
  if (How == Delivery::Datagram && Bytes.size() <= MaxDatagramBytes)
    sendDatagram(To, Bytes);
  else
    sendFrame(To, Bytes);
}

void SocketTransport::sendDatagram(const Endpoint &To,
                                   const std::string &Bytes) {
  const sockaddr_in Address = socketAddress(To);
  // A datagram that the kernel has no room for is lost like any other lost
  // datagram.
  ::sendto(DatagramSocket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
}

std::unique_ptr<SocketTransport::Stream>
SocketTransport::connect(const Endpoint &To) {
  auto NewStream = std::make_unique<Stream>();
  NewStream->Owner = this;
  NewStream->OpenedAt = Time.now();
  NewStream->Buffer = bufferevent_socket_new(
      Loop.base(), makeTcpSocket(UnackedDataTimeout), BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      NewStream->Buffer, nullptr, nullptr,
      [](bufferevent *, short Events, void *From) {
        auto *Each = static_cast<Stream *>(From);
        if ((Events & BEV_EVENT_CONNECTED) != 0)
          Each->IsConnected = true;
        else
          Each->Owner->closeStream(Each);
      },
      NewStream.get());
  const sockaddr_in Address = socketAddress(To);
  bufferevent_enable(NewStream->Buffer, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(NewStream->Buffer,
                                 reinterpret_cast<const sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    return nullptr;
  return NewStream;
}

// Hosts return one by one after a power loss. The first ones try to connect to
// hosts that are still down, and the kernel repeats a connection attempt only
// after a second. Votes for the first leader would wait for that although their
// receiver is up by then, which adds 440 ms to the time without service. A
// message from the peer therefore restarts the connection.
void SocketTransport::reconnectStalled(const Endpoint &To) {
  const auto Found = Outgoing.find(To);
  if (Found == Outgoing.end() || Found->second->IsConnected ||
      Time.now() - Found->second->OpenedAt < StalledConnectTimeout)
    return;
  std::unique_ptr<Stream> NewStream = connect(To);
  if (!NewStream)
    return;
  // None of the queued bytes were sent before the connection was established,
  // so only whole messages are moved.
  evbuffer *Old = bufferevent_get_output(Found->second->Buffer);
  evbuffer_unfreeze(Old, 1);
  evbuffer_add_buffer(bufferevent_get_output(NewStream->Buffer), Old);
  Found->second = std::move(NewStream);
}

void SocketTransport::sendFrame(const Endpoint &To, const std::string &Bytes) {
  std::unique_ptr<Stream> &Connection = Outgoing[To];
  if (!Connection)
    Connection = connect(To);
  if (!Connection) {
    Outgoing.erase(To);
    return;
  }
  evbuffer *Queue = bufferevent_get_output(Connection->Buffer);
  if (evbuffer_get_length(Queue) > MaxQueuedBytes) {
    Outgoing.erase(To);
    return;
  }
  const std::uint32_t Length = htonl(static_cast<std::uint32_t>(Bytes.size()));
  evbuffer_add(Queue, &Length, LengthBytes);
  evbuffer_add(Queue, Bytes.data(), Bytes.size());
}

void SocketTransport::readDatagrams() {
  std::string Bytes(MaxDatagramBytes + 1, '\0');
  while (true) {
    const ssize_t Count =
        ::recv(DatagramSocket, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
    if (Count < 0)
      return;
    deliver(Bytes.substr(0, static_cast<std::size_t>(Count)));
  }
}

void SocketTransport::readFrames(Stream &From) {
  evbuffer *In = bufferevent_get_input(From.Buffer);
  while (evbuffer_get_length(In) >= LengthBytes) {
    std::uint32_t Length = 0;
    evbuffer_copyout(In, &Length, LengthBytes);
    Length = ntohl(Length);
    if (Length > MaxFrameBytes) {
      ++Rejected;
      closeStream(&From);
      return;
    }
    if (evbuffer_get_length(In) < LengthBytes + Length)
      return;
    std::string Bytes(Length, '\0');
    evbuffer_drain(In, LengthBytes);
    evbuffer_remove(In, Bytes.data(), Length);
    deliver(Bytes);
  }
}

void SocketTransport::deliver(const std::string &Bytes) {
  ReceivedBytes += Bytes.size();
  const auto Verified = verifyAndDecode(Bytes, Key);
  if (!Verified) {
    ++Rejected;
    return;
  }
  reconnectStalled(Verified->ReplyTo);
  signalReceived().emit(*Verified);
}

void SocketTransport::closeStream(Stream *Closed) {
  for (auto Each = Outgoing.begin(); Each != Outgoing.end(); ++Each) {
    if (Each->second.get() == Closed) {
      Outgoing.erase(Each);
      return;
    }
  }
  for (auto Each = Incoming.begin(); Each != Incoming.end(); ++Each) {
    if (Each->get() == Closed) {
      Incoming.erase(Each);
      return;
    }
  }
}

} // namespace corianderdyke
