/// \file
/// Conversions and limits shared by the HTTP client and server on evhttp.

#include "Http/EventHttpSupport.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace corianderdyke {

HttpHeaders headersOf(const evkeyvalq *Raw) {
  HttpHeaders Out;
  for (const evkeyval *Each = Raw->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Out[Each->key] = Each->value;
  return Out;
}

std::string bytesOf(evbuffer *Raw) {
  std::string Out(evbuffer_get_length(Raw), '\0');
  evbuffer_copyout(Raw, Out.data(), Out.size());
  return Out;
}

std::string uriEncoded(const std::string &Text) {
  char *Raw =
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0);
  std::string Out(Raw);
  std::free(Raw);
  return Out;
}

} // namespace corianderdyke
