/// \file
/// An entry of a list that ends with its owner.

#ifndef CORIANDERDYKE_RELAY_QUEUEPLACE_H
#define CORIANDERDYKE_RELAY_QUEUEPLACE_H

#include <list>
#include <utility>

namespace corianderdyke {

/// Whoever waits owns its place, so that no list names one that has stopped
/// waiting. The list outlives its places.
template <class Waiter> class QueuePlace {
public:
  using Queue = std::list<Waiter *>;

  QueuePlace() = default;
  /// Puts \p Who before \p Next.
  QueuePlace(Queue &Into, typename Queue::iterator Next, Waiter &Who)
      : In(&Into), At(Into.insert(Next, &Who)) {}
  ~QueuePlace() { leave(); }
  QueuePlace(QueuePlace &&Other) noexcept
      : In(std::exchange(Other.In, nullptr)), At(Other.At) {}
  QueuePlace &operator=(QueuePlace &&Other) noexcept {
    leave();
    In = std::exchange(Other.In, nullptr);
    At = Other.At;
    return *this;
  }

  bool isTaken() const { return In != nullptr; }
  void leave() {
    if (Queue *Left = std::exchange(In, nullptr))
      Left->erase(At);
  }

private:
  Queue *In = nullptr; ///< Null while it waits in none.
  typename Queue::iterator At = {};
};

} // namespace corianderdyke

#endif
