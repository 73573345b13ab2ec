/// \file
/// A list entry that is removed when its owner is destroyed.

#ifndef CORIANDERDYKE_RELAY_QUEUEENTRY_H
#define CORIANDERDYKE_RELAY_QUEUEENTRY_H

#include <list>
#include <utility>

namespace corianderdyke {

/// The waiting object owns its entry, so that no list refers to an object that
/// has stopped waiting. The list must outlive its entries.
template <class Waiter> class QueueEntry {
public:
  using Queue = std::list<Waiter *>;

  QueueEntry() = default;
  /// Inserts \p Owner before \p Next.
  QueueEntry(Queue &Into, typename Queue::iterator Next, Waiter &Owner)
      : In(&Into), At(Into.insert(Next, &Owner)) {}
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
    if (Queue *Current = std::exchange(In, nullptr))
      Current->erase(At);
  }

private:
  Queue *In = nullptr; ///< Null while not queued.
  typename Queue::iterator At = {};
};

} // namespace corianderdyke

#endif
