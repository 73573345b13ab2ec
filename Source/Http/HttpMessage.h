/// \file
/// HTTP requests and responses as values.

#ifndef CORIANDERDYKE_HTTP_HTTPMESSAGE_H
#define CORIANDERDYKE_HTTP_HTTPMESSAGE_H

#include <cstdint>
#include <map>
#include <string>

namespace corianderdyke {

/// Compares header names without regard to case.
struct HeaderLess {
  bool operator()(const std::string &Left, const std::string &Right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderLess>;

enum class HttpMethod { Get, Post, Put, Delete };

struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Path; ///< As it was sent, without the query.
  std::map<std::string, std::string> Query;
  HttpHeaders Headers;
  std::string Body;
  /// "address:port" of the sender, the same for all requests of a connection.
  std::string Peer;

  bool operator==(const HttpRequest &) const = default;

  /// The value of a header; empty if the header is missing.
  const std::string &header(const std::string &Name) const;
  /// The value of a query parameter; empty if the parameter is missing.
  const std::string &parameter(const std::string &Name) const;
};

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;

  bool operator==(const HttpResponse &) const = default;

  const std::string &header(const std::string &Name) const;
};

/// The unsigned integer in \p Text, or \p Default if it is not one.
std::uint64_t numberOr(const std::string &Text, std::uint64_t Default);

} // namespace corianderdyke

#endif
