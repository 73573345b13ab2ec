/// \file
/// Sockets, lines and HTTP for the stand-ins of the review's cases. It uses the
/// C library alone.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_WIRE_H
#define CORIANDERDYKE_REVIEW_STANDIN2_WIRE_H

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review2 {

using SteadyClock = std::chrono::steady_clock;
using Moment = SteadyClock::time_point;
using Ms = std::chrono::milliseconds;

struct Address {
  std::string Host;
  int Port = 0;

  std::string text() const { return Host + ":" + std::to_string(Port); }
  bool operator==(const Address &Other) const {
    return Host == Other.Host && Port == Other.Port;
  }
};

inline std::optional<Address> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  return Address{Text.substr(0, Colon), std::atoi(Text.c_str() + Colon + 1)};
}

inline sockaddr_in socketAddress(const Address &Of) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Of.Port));
  inet_pton(AF_INET, Of.Host.c_str(), &Out.sin_addr);
  return Out;
}

/// An open TCP connection; closes it at the end of its life.
class Socket {
public:
  explicit Socket(int Descriptor = -1) : Descriptor(Descriptor) {}
  ~Socket() { close(); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  Socket(Socket &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  Socket &operator=(Socket &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    return *this;
  }

  bool isOpen() const { return Descriptor >= 0; }
  int descriptor() const { return Descriptor; }

  void close() {
    if (Descriptor >= 0)
      ::close(std::exchange(Descriptor, -1));
  }

  /// Ends both directions; a thread that waits on the socket returns.
  void shutDown() const {
    if (Descriptor >= 0)
      ::shutdown(Descriptor, SHUT_RDWR);
  }

  bool write(const std::string &Bytes) const {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Count = ::send(Descriptor, Bytes.data() + Done,
                                   Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }

  enum class Outcome { Data, Timeout, End };

  /// Appends what arrives to \p Into.
  Outcome read(std::string &Into, Ms Timeout) const {
    pollfd Wanted{Descriptor, POLLIN, 0};
    const int Ready = ::poll(&Wanted, 1, static_cast<int>(Timeout.count()));
    if (Ready <= 0)
      return Ready == 0 || errno == EINTR ? Outcome::Timeout : Outcome::End;
    char Piece[16384];
    const ssize_t Count = ::recv(Descriptor, Piece, sizeof(Piece), 0);
    if (Count <= 0)
      return Outcome::End;
    Into.append(Piece, static_cast<std::size_t>(Count));
    return Outcome::Data;
  }

private:
  int Descriptor;
};

inline void setNoDelay(int Descriptor) {
  const int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
}

/// Listens on \p At; not open if the address is in use.
inline Socket listenOn(const Address &At) {
  Socket Out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int Enabled = 1;
  setsockopt(Out.descriptor(), SOL_SOCKET, SO_REUSEADDR, &Enabled,
             sizeof(Enabled));
  const sockaddr_in Raw = socketAddress(At);
  if (::bind(Out.descriptor(), reinterpret_cast<const sockaddr *>(&Raw),
             sizeof(Raw)) != 0 ||
      ::listen(Out.descriptor(), 256) != 0)
    Out.close();
  return Out;
}

/// Waits for the next connection; not open if none arrives in time.
inline Socket acceptFrom(const Socket &Listener, Ms Timeout) {
  pollfd Wanted{Listener.descriptor(), POLLIN, 0};
  if (::poll(&Wanted, 1, static_cast<int>(Timeout.count())) <= 0)
    return Socket();
  Socket Out(::accept4(Listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  if (Out.isOpen())
    setNoDelay(Out.descriptor());
  return Out;
}

/// Connects on loopback, where the outcome is known at once.
inline Socket connectTo(const Address &To) {
  Socket Out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Raw = socketAddress(To);
  if (::connect(Out.descriptor(), reinterpret_cast<const sockaddr *>(&Raw),
                sizeof(Raw)) != 0)
    Out.close();
  else
    setNoDelay(Out.descriptor());
  return Out;
}

/// Removes the first word from \p Text and returns it.
inline std::string takeWord(std::string &Text) {
  const std::size_t End = Text.find(' ');
  std::string First = Text.substr(0, End);
  Text = End == std::string::npos ? "" : Text.substr(End + 1);
  return First;
}

/// A connection that carries lines ending with CR LF.
class LineConnection {
public:
  explicit LineConnection(Socket Carrier) : Carrier(std::move(Carrier)) {}

  const Socket &socket() const { return Carrier; }
  bool write(const std::string &Bytes) const { return Carrier.write(Bytes); }
  void close() { Carrier.close(); }

  bool isClosedByPeer() const {
    char Next = 0;
    return ::recv(Carrier.descriptor(), &Next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  /// Reads the next line into \p Line.
  Socket::Outcome next(std::string &Line, Moment Until) {
    while (true) {
      const std::size_t End = Bytes.find("\r\n");
      if (End != std::string::npos) {
        Line = Bytes.substr(0, End);
        Bytes.erase(0, End + 2);
        return Socket::Outcome::Data;
      }
      const auto Left = std::chrono::duration_cast<Ms>(
          Until - SteadyClock::now() + std::chrono::microseconds(999));
      if (Left.count() <= 0)
        return Socket::Outcome::Timeout;
      const Socket::Outcome Got = Carrier.read(Bytes, Left);
      if (Got == Socket::Outcome::End)
        return Got;
    }
  }

private:
  Socket Carrier;
  std::string Bytes;
};

struct HttpReply {
  int Status = 0; ///< 0: no response.
  std::string Location;
  std::string Body;
};

struct HttpCall {
  std::string Method = "POST";
  std::string Path;
  std::string Body;
};

/// Value of a header of a message's \p Head; empty if it has none.
inline std::string headerOf(const std::string &Head, const std::string &Name) {
  for (std::size_t At = Head.find("\r\n"); At != std::string::npos;
       At = Head.find("\r\n", At + 2)) {
    const std::size_t Start = At + 2;
    if (strncasecmp(Head.c_str() + Start, Name.c_str(), Name.size()) != 0 ||
        Head[Start + Name.size()] != ':')
      continue;
    const std::size_t Value =
        Head.find_first_not_of(' ', Start + Name.size() + 1);
    return Head.substr(Value, Head.find("\r\n", Value) - Value);
  }
  return "";
}

/// Reads one HTTP message; false if it does not arrive whole in time.
inline bool readHttp(const Socket &From, std::string &Head, std::string &Body,
                     Moment Until) {
  std::string Bytes;
  std::size_t End = std::string::npos;
  while (true) {
    if (End == std::string::npos)
      End = Bytes.find("\r\n\r\n");
    if (End != std::string::npos) {
      Head = Bytes.substr(0, End + 2);
      const std::size_t Length = static_cast<std::size_t>(
          std::atol(headerOf(Head, "Content-Length").c_str()));
      if (Bytes.size() >= End + 4 + Length) {
        Body = Bytes.substr(End + 4, Length);
        return true;
      }
    }
    const auto Left =
        std::chrono::duration_cast<Ms>(Until - SteadyClock::now());
    if (Left.count() <= 0 || From.read(Bytes, Left) != Socket::Outcome::Data)
      return false;
  }
}

/// Sends one request on a connection of its own.
inline HttpReply call(const Address &To, const HttpCall &What, Ms Timeout) {
  HttpReply Out;
  const Moment Until = SteadyClock::now() + Timeout;
  const Socket Carrier = connectTo(To);
  if (!Carrier.isOpen() ||
      !Carrier.write(What.Method + " " + What.Path + " HTTP/1.1\r\nHost: " +
                     To.text() + "\r\nContent-Type: application/json\r\n" +
                     "Content-Length: " + std::to_string(What.Body.size()) +
                     "\r\nConnection: close\r\n\r\n" + What.Body))
    return Out;
  std::string Head;
  if (!readHttp(Carrier, Head, Out.Body, Until))
    return Out;
  Out.Status = std::atoi(Head.c_str() + Head.find(' ') + 1);
  Out.Location = headerOf(Head, "Location");
  return Out;
}

/// The address in a URL like http://127.0.0.1:80/path.
inline std::optional<Address> addressOfUrl(const std::string &Url) {
  const std::size_t Start = Url.find("//");
  if (Start == std::string::npos)
    return std::nullopt;
  const std::size_t End = Url.find('/', Start + 2);
  return parseAddress(Url.substr(Start + 2, End == std::string::npos
                                                ? std::string::npos
                                                : End - Start - 2));
}

/// Sends a request as callers of control do: follows a 307 twice.
inline HttpReply callControl(Address To, const HttpCall &What, Ms Timeout) {
  HttpReply Out;
  for (int Redirects = 0; Redirects <= 2; ++Redirects) {
    Out = call(To, What, Timeout);
    if (Out.Status != 307)
      return Out;
    const auto Next = addressOfUrl(Out.Location);
    if (!Next)
      return Out;
    To = *Next;
  }
  return Out;
}

} // namespace review2

#endif
