/// \file
/// A loopback proxy that stands before a real address and harms what passes.

#ifndef CORIANDERDYKE_TESTS_SOAK_FAULTYLINK_H
#define CORIANDERDYKE_TESTS_SOAK_FAULTYLINK_H

#include "Common/Identity.h"
#include "Loop/EventLoop.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace corianderdyke::soak {

/// What happens to connections through a link.
enum class Harm : std::uint8_t {
  None,
  Delayed, ///< Each piece arrives later.
  Silent,  ///< Nothing passes either way; everything stays open.
  OneWay,  ///< What the dialler sends passes, answers don't.
  Refused, ///< New connections are reset at once.
};

class FaultyLink {
public:
  /// Throws std::runtime_error where \p At can't be listened on.
  FaultyLink(EventLoop &Loop, const Endpoint &At, Endpoint To);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;

  const Endpoint &at() const { return At; }
  void harm(Harm New) { Now = New; }
  /// Resets every connection that stands.
  void reset();

private:
  struct Pair;

  void accepted(int Socket);

  EventLoop &Loop;
  Endpoint At;
  Endpoint To;
  Harm Now = Harm::None;
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<Pair>> Pairs;
};

} // namespace corianderdyke::soak

#endif
