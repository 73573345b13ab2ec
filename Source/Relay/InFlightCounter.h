/// \file
/// Counts the statements that a target has not answered yet.

#ifndef CORIANDERDYKE_RELAY_INFLIGHTCOUNTER_H
#define CORIANDERDYKE_RELAY_INFLIGHTCOUNTER_H

#include <cstddef>
#include <memory>
#include <variant>

namespace corianderdyke {

/// Each statement in flight holds a token, and the count is the number of
/// tokens. A token may outlive the counter: it then counts nowhere, also not at
/// a new counter for the same target.
class InFlightCounter {
public:
  /// Null for a command that takes no slot.
  using Token = std::shared_ptr<const std::monostate>;

  InFlightCounter() = default;
  // Copying or moving would make another token of the counter's own reference.
  InFlightCounter(const InFlightCounter &) = delete;
  InFlightCounter &operator=(const InFlightCounter &) = delete;

  Token begin() const { return Own; }
  std::size_t count() const {
    return static_cast<std::size_t>(Own.use_count()) - 1;
  }

private:
  const Token Own = std::make_shared<const std::monostate>(); ///< Never null.
};

} // namespace corianderdyke

#endif
