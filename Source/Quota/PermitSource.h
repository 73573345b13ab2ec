/// \file
/// Where permits to begin operations come from.

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
  /// Nothing with a permit; else when to come back.
  using Handler = std::function<void(std::optional<Millis>)>;

  virtual ~PermitSource() = default;

  virtual bool isLimited(const std::string &Organisation) const = 0;
  /// Asks for one permit, which is refused once it can't be had before
  /// \p Until. The handler may run at once.
  virtual std::uint64_t requestPermit(const std::string &Organisation,
                                      Millis Until, Handler OnAnswer) = 0;
  /// Its operation doesn't need it any more; the handler won't run.
  virtual void cancel(std::uint64_t Number) = 0;
};

} // namespace corianderdyke

#endif
