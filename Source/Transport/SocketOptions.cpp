/// \file
/// Socket addresses, options and listeners shared by all TCP connections of a
/// process.

#include "Transport/SocketOptions.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace corianderdyke {

sockaddr_in socketAddress(const Endpoint &Of) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Of.Port);
  inet_pton(AF_INET, Of.Address.c_str(), &Out.sin_addr);
  return Out;
}

void setTcpOptions(int Socket, Millis UserTimeout) {
  const int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  const auto TimeoutMs = static_cast<unsigned>(UserTimeout.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs,
             sizeof(TimeoutMs));
}

Expected<evconnlistener *> makeListener(event_base *Base, const Endpoint &At,
                                        int Backlog, evconnlistener_cb Handler,
                                        void *Argument) {
  const sockaddr_in Address = socketAddress(At);
  evconnlistener *Listener = evconnlistener_new_bind(
      Base, Handler, Argument,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      Backlog, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (Listener == nullptr)
    return fail(ErrorCode::System,
                "can't listen on " + At.text() + ": " + std::strerror(errno));
  return Listener;
}

int makeTcpSocket(Millis UserTimeout) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket >= 0)
    setTcpOptions(Socket, UserTimeout);
  return Socket;
}

} // namespace corianderdyke
