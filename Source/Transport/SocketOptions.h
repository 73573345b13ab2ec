/// \file
/// Socket addresses, options and listeners shared by all TCP connections of a
/// process.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H
#define CORIANDERDYKE_TRANSPORT_SOCKETOPTIONS_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <event2/listener.h>
#include <netinet/in.h>

namespace corianderdyke {

sockaddr_in socketAddress(const Endpoint &Of);

/// Disables delays of small messages, and ends a connection whose peer has not
/// acknowledged data for \p UserTimeout. Otherwise a connection across a
/// partition would stay open and hold back its bytes for seconds after the
/// partition ends, or forever.
void setTcpOptions(int Socket, Millis UserTimeout);

/// Creates a TCP socket for an outgoing connection and sets these options
/// before it connects. Returns a negative value on failure.
int makeTcpSocket(Millis UserTimeout);

/// Listens for TCP connections and calls \p Handler with \p Argument for each.
/// Returns System if it cannot listen on the address.
Expected<evconnlistener *> makeListener(event_base *Base, const Endpoint &At,
                                        int Backlog, evconnlistener_cb Handler,
                                        void *Argument);

} // namespace corianderdyke

#endif
