/// \file
/// Conversions and limits that both sides of evhttp share.

#ifndef CORIANDERDYKE_HTTP_EVENTHTTPSUPPORT_H
#define CORIANDERDYKE_HTTP_EVENTHTTPSUPPORT_H

#include "Http/HttpMessage.h"

#include <cstddef>

struct evbuffer;
struct evkeyvalq;

namespace corianderdyke {

/// The largest body and header block that a listener or client takes.
constexpr std::size_t MaxHttpBodyBytes = 4U << 20U;
constexpr std::size_t MaxHttpHeaderBytes = 16U << 10U;

HttpHeaders headersOf(const evkeyvalq *Raw);
std::string bytesOf(evbuffer *Raw);
std::string uriEncoded(const std::string &Text);

} // namespace corianderdyke

#endif
