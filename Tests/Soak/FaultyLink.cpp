/// \file
/// Implements the loopback proxy that injects network faults.

#include "FaultyLink.h"

#include "Transport/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>

namespace corianderdyke::soak {

namespace {

constexpr Millis Delay(40);
constexpr int Backlog = 256;

} // namespace

struct FaultyLink::Pair : std::enable_shared_from_this<Pair> {
  FaultyLink *Owner = nullptr;
  bufferevent *Client = nullptr;
  bufferevent *Other = nullptr;

  ~Pair() {
    bufferevent_free(Client);
    bufferevent_free(Other);
  }

  void pass(bufferevent *From) {
    const bool IsAnswer = From == Other;
    evbuffer *In = bufferevent_get_input(From);
    const LinkFault CurrentFault = Owner->CurrentFault;
    if (CurrentFault == LinkFault::Silent ||
        (CurrentFault == LinkFault::OneWay && IsAnswer)) {
      // Dropped permanently, as on a network path that has failed.
      evbuffer_drain(In, evbuffer_get_length(In));
      IsMuted = true;
      return;
    }
    std::string Bytes(evbuffer_get_length(In), '\0');
    evbuffer_remove(In, Bytes.data(), Bytes.size());
    if (IsMuted)
      return;
    if (CurrentFault == LinkFault::Delayed || Queued > 0) {
      ++Queued;
      Owner->Loop.after(Delay, [Held = shared_from_this(), IsAnswer,
                                Bytes = std::move(Bytes)] {
        --Held->Queued;
        Held->write(IsAnswer, Bytes);
      });
      return;
    }
    write(IsAnswer, Bytes);
  }

  void write(bool IsAnswer, const std::string &Bytes) const {
    bufferevent_write(IsAnswer ? Client : Other, Bytes.data(), Bytes.size());
  }

  void end() {
    if (IsMuted && Owner->CurrentFault != LinkFault::None)
      return;
    const auto Held = shared_from_this();
    // The loop may run this after the link, when it is destroyed itself.
    Owner->Loop.defer([Held, Exists = Owner->Exists] {
      if (*Exists)
        Held->Owner->Pairs.erase(Held);
    });
  }

  static void resetOnClose(bufferevent *Of) {
    const linger Hard{1, 0};
    setsockopt(bufferevent_getfd(Of), SOL_SOCKET, SO_LINGER, &Hard,
               sizeof(Hard));
  }

  bool IsMuted = false; ///< Bytes were lost, so later bytes are dropped too.
  int Queued = 0;
};

FaultyLink::FaultyLink(EventLoop &Loop, const Endpoint &At, Endpoint To)
    : Loop(Loop), At(At), To(std::move(To)) {
  const sockaddr_in Address = socketAddress(At);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) { static_cast<FaultyLink *>(Self)->accepted(Socket); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      Backlog, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (Listener == nullptr)
    throw std::runtime_error("cannot listen on " + At.text());
}

FaultyLink::~FaultyLink() {
  *Exists = false;
  Pairs.clear();
  evconnlistener_free(Listener);
}

void FaultyLink::accepted(int Socket) {
  if (CurrentFault == LinkFault::Refused) {
    const linger Hard{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    evutil_closesocket(Socket);
    return;
  }
  auto Made = std::make_shared<Pair>();
  Made->Owner = this;
  Made->Client =
      bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  Made->Other = bufferevent_socket_new(Loop.base(), makeTcpSocket(Millis(5000)),
                                       BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent *Each : {Made->Client, Made->Other}) {
    bufferevent_setcb(
        Each,
        [](bufferevent *From, void *Raw) {
          static_cast<Pair *>(Raw)->shared_from_this()->pass(From);
        },
        nullptr,
        [](bufferevent *, short Events, void *Raw) {
          if ((Events & BEV_EVENT_CONNECTED) == 0)
            static_cast<Pair *>(Raw)->shared_from_this()->end();
        },
        Made.get());
    bufferevent_enable(Each, EV_READ | EV_WRITE);
  }
  const sockaddr_in Address = socketAddress(To);
  bufferevent_socket_connect(Made->Other,
                             reinterpret_cast<const sockaddr *>(&Address),
                             sizeof(Address));
  Pairs.insert(std::move(Made));
}

void FaultyLink::reset() {
  for (const auto &Each : Pairs) {
    Pair::resetOnClose(Each->Client);
    Pair::resetOnClose(Each->Other);
  }
  Pairs.clear();
}

} // namespace corianderdyke::soak
