/// \file
/// An entry of a list that ends with its owner.

#ifndef CORIANDERDYKE_RELAY_QUEUEENTRY_H
#define CORIANDERDYKE_RELAY_QUEUEENTRY_H

#include <list>
#include <utility>

namespace corianderdyke {

/// Whoever waits owns its place, so that no list names one that has stopped
/// waiting. The list outlives its places.
template <class Waiter> class QueueEntry {
public:
  using Queue = std::list<Waiter *>;

  QueueEntry() = default;
  /// Puts \p Who before \p Next.
  QueueEntry(Queue &Into, typename Queue::iterator Next, Waiter &Who)
      : In(&Into), At(Into.insert(Next, &Who)) {}
  ~QueueEntry() { remove(); }
  QueueEntry(QueueEntry &&Other) noexcept
      : In(std::exchange(Other.In, nullptr)), At(Other.At) {}
  QueueEntry &operator=(QueueEntry &&Other) noexcept {
    remove();
    In = std::exchange(Other.In, nullptr);
    At = Other.At;
    return *this;
  }

  bool isQueued() const { return In != nullptr; }
  void remove() {
    if (Queue *Left = std::exchange(In, nullptr))
      Left->erase(At);
  }

private:
  Queue *In = nullptr; ///< Null while it waits in none.
  typename Queue::iterator At = {};
};

} // namespace corianderdyke

#endif
