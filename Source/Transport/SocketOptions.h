/// \file
/// What all TCP connections of a process have in common.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H
#define CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <event2/listener.h>
#include <netinet/in.h>

namespace corianderdyke {

sockaddr_in socketAddress(const Endpoint &Of);

/// Sends small messages at once, and ends a connection whose peer hasn't
/// confirmed anything for \p UserTimeout. Behind a partition it would else
/// stay open and hold its bytes back for seconds after the partition is over,
/// or for good.
void setTcpOptions(int Socket, Millis UserTimeout);

/// A TCP socket for a connection of our own, with these options set before it
/// connects; negative where there's none to be had.
int makeTcpSocket(Millis UserTimeout);

/// Listens for TCP connections; \p Handler is called with \p Argument. System
/// where the address can't be listened on.
Expected<evconnlistener *> makeListener(event_base *Base, const Endpoint &At,
                                        int Backlog, evconnlistener_cb Handler,
                                        void *Argument);

} // namespace corianderdyke

#endif
