/// \file
/// Conversions and limits shared by the HTTP client and server on evhttp.

#ifndef CORIANDERDYKE_HTTP_EVENTHTTPSUPPORT_H
#define CORIANDERDYKE_HTTP_EVENTHTTPSUPPORT_H

#include "Http/HttpMessage.h"

#include <cstddef>

struct evbuffer;
struct evkeyvalq;

namespace corianderdyke {

/// The largest body and header block that a server or client accepts.
constexpr std::size_t MaxHttpBodyBytes = 4U << 20U;
constexpr std::size_t MaxHttpHeaderBytes = 16U << 10U;

HttpHeaders headersOf(const evkeyvalq *Raw);
std::string bytesOf(evbuffer *Raw);
std::string uriEncoded(const std::string &Text);

} // namespace corianderdyke

#endif
