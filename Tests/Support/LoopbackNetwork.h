/// \file
/// A range of loopback addresses, 127.N.0.0/16, that one process has to itself.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_LOOPBACKNETWORK_H
#define CORIANDERDYKE_TESTS_SUPPORT_LOOPBACKNETWORK_H

#include <string>

namespace corianderdyke {

/// Two processes that listen at fixed ports meet where they picked the same
/// addresses: the later one can't listen. A number drawn for each, by process
/// id or at random, only makes that rare. Here the range is claimed by a socket
/// that listens in it, so the kernel lets one process have it, and lets it go
/// when that process ends, however it ends.
class LoopbackNetwork {
public:
  static constexpr unsigned First = 20; ///< Below it are hand-picked addresses.
  static constexpr unsigned Count = 200;

  /// Takes the first range that is free, from \p Preferred on (any number).
  /// Throws std::runtime_error if all are taken.
  static LoopbackNetwork claim(unsigned Preferred);

  LoopbackNetwork(LoopbackNetwork &&Other) noexcept;
  LoopbackNetwork(const LoopbackNetwork &) = delete;
  LoopbackNetwork &operator=(const LoopbackNetwork &) = delete;
  LoopbackNetwork &operator=(LoopbackNetwork &&) = delete;
  ~LoopbackNetwork();

  /// The first two numbers of its addresses: "127.N".
  const std::string &prefix() const { return Prefix; }

private:
  LoopbackNetwork(std::string Prefix, int Socket)
      : Prefix(std::move(Prefix)), Socket(Socket) {}

  std::string Prefix;
  int Socket; ///< Listens as long as the range is held; -1 once moved from.
};

} // namespace corianderdyke

#endif
