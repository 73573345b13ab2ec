/// \file
/// What all TCP connections of a process have in common.

#include "Transport/SocketOptions.h"

#include <arpa/inet.h>
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

void tuneSocket(int Socket, Millis SilenceBorne) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  const auto Bound = static_cast<unsigned>(SilenceBorne.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Bound, sizeof(Bound));
}

int makeTunedSocket(Millis SilenceBorne) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket >= 0)
    tuneSocket(Socket, SilenceBorne);
  return Socket;
}

} // namespace corianderdyke
