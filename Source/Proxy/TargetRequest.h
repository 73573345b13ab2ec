/// \file
/// A statement as it goes out to a target.

#ifndef CORIANDERDYKE_PROXY_TARGETREQUEST_H
#define CORIANDERDYKE_PROXY_TARGETREQUEST_H

#include "Proxy/StatementRequest.h"
#include "Routing/Router.h"

namespace corianderdyke {

/// The request by the targets' published protocol. \p InTransaction tells
/// that it belongs to the transaction of its connection.
HttpRequest requestFor(const StatementRequest &Statement, const Route &Chosen,
                       bool InTransaction);

} // namespace corianderdyke

#endif
