/// \file
/// A range of loopback addresses, 127.N.0.0/16, reserved for one process.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_LOOPBACKNETWORK_H
#define CORIANDERDYKE_TESTS_SUPPORT_LOOPBACKNETWORK_H

#include <string>

namespace corianderdyke {

/// Processes that listen at fixed ports conflict if they use the same
/// addresses: the later one cannot bind. Deriving N from the process id or at
/// random only makes conflicts rare. A listening socket therefore claims the
/// range: the kernel grants it to one process and releases it whenever that
/// process ends.
class LoopbackNetwork {
public:
  static constexpr unsigned First =
      20; ///< Lower numbers are used by fixed addresses.
  static constexpr unsigned Count = 200;

  /// Claims the first free range, searching from \p Preferred (any number).
  /// Throws std::runtime_error if all ranges are in use.
  static LoopbackNetwork claim(unsigned Preferred);

  LoopbackNetwork(LoopbackNetwork &&Other) noexcept;
  LoopbackNetwork(const LoopbackNetwork &) = delete;
  LoopbackNetwork &operator=(const LoopbackNetwork &) = delete;
  LoopbackNetwork &operator=(LoopbackNetwork &&) = delete;
  ~LoopbackNetwork();

  /// Returns the first two octets of the addresses: "127.N".
  const std::string &prefix() const { return Prefix; }

private:
  LoopbackNetwork(std::string Prefix, int Socket)
      : Prefix(std::move(Prefix)), Socket(Socket) {}

  std::string Prefix;
  int Socket; ///< Listens while the range is claimed; -1 once moved from.
};

} // namespace corianderdyke

#endif
