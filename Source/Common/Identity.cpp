/// \file
/// Parsing of addresses.

#include "Common/Identity.h"

#include <arpa/inet.h>
#include <charconv>

namespace corianderdyke {

Expected<Endpoint> Endpoint::parse(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return fail(ErrorCode::BadInput, "'" + Text + "' isn't address:port");
  Endpoint Out;
  Out.Address = Text.substr(0, Colon);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Out.Address.c_str(), &Parsed) != 1)
    return fail(ErrorCode::BadInput,
                "'" + Out.Address + "' isn't an IPv4 number");
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(First, Last, Out.Port);
  if (Code != std::errc() || End != Last)
    return fail(ErrorCode::BadInput, "'" + Text + "' has no port of 0-65535");
  return Out;
}

} // namespace corianderdyke
