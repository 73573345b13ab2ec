/// \file
/// What all TCP connections of a process have in common.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H
#define CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <netinet/in.h>

namespace corianderdyke {

sockaddr_in socketAddress(const Endpoint &Of);

/// Sends small messages at once, and ends a connection whose peer hasn't
/// confirmed anything for \p SilenceBorne. Behind a partition it would else
/// stay open and hold its bytes back for seconds after the partition is over,
/// or for good.
void tuneSocket(int Socket, Millis SilenceBorne);

/// A TCP socket for a connection of our own, with these options set before it
/// connects; negative where there's none to be had.
int makeTunedSocket(Millis SilenceBorne);

} // namespace corianderdyke

#endif
