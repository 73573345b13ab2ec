/// \file
/// Implements an operator's requests on blocking sockets.

#include "Operator.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace corianderdyke::replacement {

namespace {

using SteadyClock = std::chrono::steady_clock;

bool awaitEvent(int Socket, short Events, SteadyClock::time_point Until) {
  pollfd Waited{Socket, Events, 0};
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Until - SteadyClock::now());
  return Left.count() > 0 &&
         ::poll(&Waited, 1, static_cast<int>(Left.count())) > 0;
}

/// Receives until the peer closes the connection.
std::string exchange(int Socket, const sockaddr_in &To,
                     const std::string &Request,
                     SteadyClock::time_point Until) {
  // It goes on in the background, as the socket does not block.
  static_cast<void>(
      ::connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To));
  if (!awaitEvent(Socket, POLLOUT, Until) ||
      ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) !=
          static_cast<ssize_t>(Request.size()))
    return "";
  std::string Out;
  char Bytes[4096];
  while (awaitEvent(Socket, POLLIN, Until)) {
    const ssize_t Got = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Got <= 0)
      return Got == 0 ? Out : "";
    Out.append(Bytes, static_cast<std::size_t>(Got));
  }
  return "";
}

} // namespace

HttpAnswer call(const std::string &Address, std::uint16_t Port,
                const std::string &Method, const std::string &Path,
                const std::string &Body, Millis Timeout) {
  const auto Until =
      SteadyClock::now() + std::chrono::milliseconds(Timeout.count());
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &To.sin_addr);
  const std::string Text =
      exchange(Socket, To,
               Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
                   "\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(Body.size()) + "\r\n\r\n" + Body,
               Until);
  ::close(Socket);
  constexpr std::size_t StatusAt = 9; // After "HTTP/1.1 ".
  const std::size_t End = Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return {};
  return {std::atoi(Text.c_str() + StatusAt), Text.substr(End + 4)};
}

} // namespace corianderdyke::replacement
