/// \file
/// Blocking sockets, lines and small HTTP messages for the stand-ins. Each
/// connection has its own thread.

#ifndef CORIANDERDYKE_REVIEW_NET_H
#define CORIANDERDYKE_REVIEW_NET_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  std::string text() const { return Host + ":" + std::to_string(Port); }
  /// Parses "host:port", also with "http://" before it and a path behind it.
  static std::optional<Endpoint> parse(std::string Text);
};

/// One TCP connection. It may be closed by another thread.
class Stream {
public:
  explicit Stream(int Descriptor) : Descriptor(Descriptor) {}
  ~Stream();
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  /// Returns null if the connection is refused or not accepted in time.
  static std::shared_ptr<Stream> connect(const Endpoint &To, int TimeoutMs);

  /// Returns the next line without its end; nothing at the end of the stream
  /// or after \p TimeoutMs. A negative time waits without a limit.
  std::optional<std::string> readLine(int TimeoutMs);
  /// Returns exactly \p Count bytes, or nothing.
  std::optional<std::string> readBytes(std::size_t Count, int TimeoutMs);
  bool write(const std::string &Bytes) const;
  /// Closes the connection; with \p IsReset the other side sees a reset.
  void end(bool IsReset = false) const;
  /// True if the last read ended because of its time limit.
  bool hasTimedOut() const { return TimedOut; }

private:
  bool fill(int TimeoutMs);

  int Descriptor;
  std::string Buffer;
  bool TimedOut = false;
};

/// Accepts connections until it is closed.
class Listener {
public:
  using Handler = std::function<void(std::shared_ptr<Stream>)>;

  /// Listens at \p At; throws if that is not possible. The handler runs in a
  /// thread for each connection.
  Listener(const Endpoint &At, Handler OnStream);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  int Descriptor;
};

struct HttpMessage {
  std::string Method;
  std::string Path;
  int Status = 0; ///< Of a response; 0 if none arrived.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
};

/// Sends a request and returns the response. Follows redirects twice.
HttpMessage callHttp(Endpoint To, HttpMessage Request, int TimeoutMs);
/// Reads a request from a stream; nothing if it ends before.
std::optional<HttpMessage> readRequest(Stream &From);
void writeResponse(const Stream &To, int Status, const std::string &Body);

/// Returns the text value of a field of a flat JSON object.
std::string jsonField(const std::string &Document, const std::string &Name);

} // namespace review

#endif
