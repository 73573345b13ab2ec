/// \file
/// Blocking sockets, lines and small HTTP messages for the stand-ins.

#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 16384;
constexpr int Backlog = 128;

sockaddr_in addressOf(const Endpoint &Of) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Of.Port);
  inet_pton(AF_INET, Of.Host.c_str(), &Out.sin_addr);
  return Out;
}

void setNoDelay(int Descriptor) {
  const int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
}

std::string lowerCase(std::string Text) {
  std::transform(
      Text.begin(), Text.end(), Text.begin(),
      [](unsigned char Each) { return static_cast<char>(std::tolower(Each)); });
  return Text;
}

/// Reads header lines and the body that they announce into \p Out.
bool readRest(Stream &From, HttpMessage &Out, int TimeoutMs) {
  while (auto Line = From.readLine(TimeoutMs)) {
    if (Line->empty()) {
      const auto Length = Out.Headers.find("content-length");
      const std::size_t Count =
          Length == Out.Headers.end()
              ? 0
              : std::strtoull(Length->second.c_str(), nullptr, 10);
      auto Body = From.readBytes(Count, TimeoutMs);
      if (!Body)
        return false;
      Out.Body = std::move(*Body);
      return true;
    }
    const std::size_t Colon = Line->find(':');
    if (Colon == std::string::npos)
      return false;
    const std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
    Out.Headers[lowerCase(Line->substr(0, Colon))] =
        Value == std::string::npos ? "" : Line->substr(Value);
  }
  return false;
}

HttpMessage callOnce(const Endpoint &To, const HttpMessage &Request,
                     int TimeoutMs) {
  HttpMessage Out;
  const auto Connection = Stream::connect(To, TimeoutMs);
  if (!Connection)
    return Out;
  std::string Bytes = Request.Method + " " + Request.Path + " HTTP/1.1\r\n" +
                      "Host: " + To.text() + "\r\nConnection: close\r\n" +
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(Request.Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Request.Headers)
    Bytes += Name + ": " + Value + "\r\n";
  if (!Connection->write(Bytes + "\r\n" + Request.Body))
    return Out;
  const auto First = Connection->readLine(TimeoutMs);
  if (!First || First->size() < 12)
    return Out;
  if (readRest(*Connection, Out, TimeoutMs))
    Out.Status = std::atoi(First->substr(9, 3).c_str());
  return Out;
}

} // namespace

std::optional<Endpoint> Endpoint::parse(std::string Text) {
  const std::string Scheme = "http://";
  if (Text.rfind(Scheme, 0) == 0)
    Text = Text.substr(Scheme.size());
  Text = Text.substr(0, Text.find('/'));
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  return Endpoint{Text.substr(0, Colon),
                  static_cast<std::uint16_t>(
                      std::strtoul(Text.c_str() + Colon + 1, nullptr, 10))};
}

Stream::~Stream() { ::close(Descriptor); }

std::shared_ptr<Stream> Stream::connect(const Endpoint &To, int TimeoutMs) {
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Descriptor < 0)
    return nullptr;
  auto Out = std::make_shared<Stream>(Descriptor);
  setNoDelay(Descriptor);
  const sockaddr_in Address = addressOf(To);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    if (errno != EINPROGRESS)
      return nullptr;
    pollfd Wait{Descriptor, POLLOUT, 0};
    int Failure = 0;
    socklen_t Size = sizeof Failure;
    if (::poll(&Wait, 1, TimeoutMs) != 1 ||
        getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0 ||
        Failure != 0)
      return nullptr;
  }
  fcntl(Descriptor, F_SETFL, fcntl(Descriptor, F_GETFL) & ~O_NONBLOCK);
  return Out;
}

bool Stream::fill(int TimeoutMs) {
  pollfd Wait{Descriptor, POLLIN, 0};
  const int Ready = ::poll(&Wait, 1, TimeoutMs);
  TimedOut = Ready == 0;
  if (Ready != 1)
    return false;
  std::string Bytes(ReadBytes, '\0');
  const ssize_t Count = ::recv(Descriptor, Bytes.data(), Bytes.size(), 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, 0, static_cast<std::size_t>(Count));
  return true;
}

std::optional<std::string> Stream::readLine(int TimeoutMs) {
  std::size_t End = 0;
  while ((End = Buffer.find('\n')) == std::string::npos)
    if (!fill(TimeoutMs))
      return std::nullopt;
  std::string Out = Buffer.substr(0, End);
  Buffer.erase(0, End + 1);
  if (!Out.empty() && Out.back() == '\r')
    Out.pop_back();
  return Out;
}

std::optional<std::string> Stream::readBytes(std::size_t Count, int TimeoutMs) {
  while (Buffer.size() < Count)
    if (!fill(TimeoutMs))
      return std::nullopt;
  std::string Out = Buffer.substr(0, Count);
  Buffer.erase(0, Count);
  return Out;
}

bool Stream::write(const std::string &Bytes) const {
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

void Stream::end(bool IsReset) const {
  if (IsReset) {
    const linger Abort{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  }
  ::shutdown(Descriptor, SHUT_RDWR);
}

Listener::Listener(const Endpoint &At, Handler OnStream)
    : Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int Enabled = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
  const sockaddr_in Address = addressOf(At);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Descriptor, Backlog) != 0)
    throw std::runtime_error("cannot listen at " + At.text());
  std::thread([Accepting = Descriptor, Handle = std::move(OnStream)] {
    while (true) {
      const int Accepted = ::accept4(Accepting, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      setNoDelay(Accepted);
      std::thread(Handle, std::make_shared<Stream>(Accepted)).detach();
    }
  }).detach();
}

Listener::~Listener() {
  ::shutdown(Descriptor, SHUT_RDWR);
  ::close(Descriptor);
}

HttpMessage callHttp(Endpoint To, HttpMessage Request, int TimeoutMs) {
  constexpr int MaxRedirects = 2;
  constexpr int Redirect = 307;
  HttpMessage Out = callOnce(To, Request, TimeoutMs);
  for (int Each = 0; Each < MaxRedirects && Out.Status == Redirect; ++Each) {
    const auto Next = Endpoint::parse(Out.Headers["location"]);
    if (!Next)
      return Out;
    To = *Next;
    Out = callOnce(To, Request, TimeoutMs);
  }
  return Out;
}

std::optional<HttpMessage> readRequest(Stream &From) {
  const auto First = From.readLine(-1);
  if (!First)
    return std::nullopt;
  HttpMessage Out;
  const std::size_t Space = First->find(' ');
  const std::size_t End = First->find(' ', Space + 1);
  if (Space == std::string::npos || End == std::string::npos)
    return std::nullopt;
  Out.Method = First->substr(0, Space);
  Out.Path = First->substr(Space + 1, End - Space - 1);
  if (!readRest(From, Out, -1))
    return std::nullopt;
  return Out;
}

void writeResponse(const Stream &To, int Status, const std::string &Body) {
  To.write("HTTP/1.1 " + std::to_string(Status) +
           " -\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

std::string jsonField(const std::string &Document, const std::string &Name) {
  const std::string Quoted = "\"" + Name + "\":\"";
  const std::size_t At = Document.find(Quoted);
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Quoted.size();
  return Document.substr(Begin, Document.find('"', Begin) - Begin);
}

} // namespace review
