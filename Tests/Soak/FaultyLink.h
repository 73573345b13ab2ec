/// \file
/// A loopback proxy in front of a real address that injects network faults.

#ifndef CORIANDERDYKE_TESTS_SOAK_FAULTYLINK_H
#define CORIANDERDYKE_TESTS_SOAK_FAULTYLINK_H

#include "Common/Identity.h"
#include "Loop/EventLoop.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace corianderdyke::soak {

/// Fault that a link applies to its connections.
enum class LinkFault : std::uint8_t {
  None,
  Delayed, ///< Data arrives late.
  Silent,  ///< Data is lost in both directions; connections stay open.
  OneWay,  ///< Requests pass, answers are lost.
  Refused, ///< New connections are reset immediately.
};

class FaultyLink {
public:
  /// Throws std::runtime_error if it cannot listen on \p At.
  FaultyLink(EventLoop &Loop, const Endpoint &At, Endpoint To);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;

  const Endpoint &at() const { return At; }
  void setFault(LinkFault New) { CurrentFault = New; }
  /// Resets all open connections.
  void reset();

private:
  struct Pair;

  void accepted(int Socket);

  EventLoop &Loop;
  Endpoint At;
  Endpoint To;
  LinkFault CurrentFault = LinkFault::None;
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<Pair>> Pairs;
  /// False once this link is destroyed.
  std::shared_ptr<bool> Exists = std::make_shared<bool>(true);
};

} // namespace corianderdyke::soak

#endif
