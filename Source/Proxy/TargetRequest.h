/// \file
/// The HTTP request that sends a statement to a target.

#ifndef CORIANDERDYKE_PROXY_TARGETREQUEST_H
#define CORIANDERDYKE_PROXY_TARGETREQUEST_H

#include "Proxy/StatementRequest.h"
#include "Routing/Router.h"

namespace corianderdyke {

/// Builds the request in the targets' published protocol. \p InTransaction is
/// true if it belongs to the transaction of its connection.
HttpRequest requestFor(const StatementRequest &Statement, const Route &Chosen,
                       bool InTransaction);

} // namespace corianderdyke

#endif
