/// \file
/// Claims a range by listening at an address in it that is used for nothing
/// else.

#include "LoopbackNetwork.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace corianderdyke {

namespace {

/// Below the ephemeral ports of the kernel.
constexpr std::uint16_t ClaimPort = 4999;

// SO_REUSEADDR is not set, so that no second process can bind the address.
// SOCK_CLOEXEC: the range belongs to the soak test, not to its child processes.
int listenAt(const std::string &Address) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(ClaimPort);
  inet_pton(AF_INET, Address.c_str(), &At.sin_addr);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0 &&
      listen(Socket, 1) == 0)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

LoopbackNetwork LoopbackNetwork::claim(unsigned Preferred) {
  for (unsigned Tried = 0; Tried < Count; ++Tried) {
    std::string Prefix =
        "127." + std::to_string(First + (Preferred + Tried) % Count);
    const int Socket = listenAt(Prefix + ".255.1");
    if (Socket >= 0)
      return {std::move(Prefix), Socket};
  }
  throw std::runtime_error("all ranges of loopback addresses are taken");
}

LoopbackNetwork::LoopbackNetwork(LoopbackNetwork &&Other) noexcept
    : Prefix(std::move(Other.Prefix)), Socket(std::exchange(Other.Socket, -1)) {
}

LoopbackNetwork::~LoopbackNetwork() {
  if (Socket >= 0)
    close(Socket);
}

} // namespace corianderdyke
