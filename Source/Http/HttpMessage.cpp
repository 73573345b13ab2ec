/// \file
/// HTTP requests and responses as values.

#include "Http/HttpMessage.h"

#include <charconv>
#include <strings.h>

namespace corianderdyke {

namespace {

template <class Map>
const std::string &valueOrEmpty(const Map &In, const std::string &Name) {
  static const std::string Empty;
  const auto Found = In.find(Name);
  return Found == In.end() ? Empty : Found->second;
}

} // namespace

bool HeaderLess::operator()(const std::string &Left,
                            const std::string &Right) const {
  return strcasecmp(Left.c_str(), Right.c_str()) < 0;
}

const std::string &HttpRequest::header(const std::string &Name) const {
  return valueOrEmpty(Headers, Name);
}

const std::string &HttpRequest::parameter(const std::string &Name) const {
  return valueOrEmpty(Query, Name);
}

const std::string &HttpResponse::header(const std::string &Name) const {
  return valueOrEmpty(Headers, Name);
}

std::uint64_t numberOr(const std::string &Text, std::uint64_t Default) {
  std::uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value);
  return Code == std::errc() && End == Last && !Text.empty() ? Value : Default;
}

} // namespace corianderdyke
