/// \file
/// Interface for getting permits to begin operations.

#ifndef CORIANDERDYKE_QUOTA_PERMITSOURCE_H
#define CORIANDERDYKE_QUOTA_PERMITSOURCE_H

#include "Common/Millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace corianderdyke {

class PermitSource {
public:
  /// Receives nothing with a permit; else the time after which to retry.
  using Handler = std::function<void(std::optional<Millis>)>;

  virtual ~PermitSource() = default;

  virtual bool isLimited(const std::string &Organisation) const = 0;
  /// Requests one permit. The request is refused once no permit can be
  /// available before \p Until. The handler may run before this returns.
  virtual std::uint64_t requestPermit(const std::string &Organisation,
                                      Millis Until, Handler OnAnswer) = 0;
  /// Cancels a request; its handler will not run.
  virtual void cancel(std::uint64_t Number) = 0;
};

} // namespace corianderdyke

#endif
