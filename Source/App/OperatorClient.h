/// \file
/// The command line's way to the operators' ports.

#ifndef CORIANDERDYKE_APP_OPERATORCLIENT_H
#define CORIANDERDYKE_APP_OPERATORCLIENT_H

#include "Http/HttpClient.h"

#include <vector>

namespace corianderdyke {

/// Asks the control hosts one after another until one that leads answers;
/// Unavailable where none does within \p Patience.
Expected<HttpResponse> askLeader(const std::vector<Endpoint> &Hosts,
                                 const HttpRequest &Request, Millis Patience);

} // namespace corianderdyke

#endif
