/// \file
/// Address ranges of soak tests that run at the same time on one machine.

#include "LoopbackNetwork.h"

#include <catch2/catch.hpp>
#include <optional>
#include <unistd.h>

using namespace corianderdyke;

// Two soak tests prefer the same address range if their process ids are equal
// modulo the number of ranges. Guards against the later one failing to listen,
// which reports a failure without a fault in the product.
TEST_CASE("Soak tests that prefer the same addresses get different ones") {
  const auto Preferred = static_cast<unsigned>(getpid());
  std::optional<LoopbackNetwork> First = LoopbackNetwork::claim(Preferred);
  const LoopbackNetwork Second =
      LoopbackNetwork::claim(Preferred + LoopbackNetwork::Count);
  CHECK(First->prefix() != Second.prefix());

  const std::string Freed = First->prefix();
  First.reset();
  CHECK(LoopbackNetwork::claim(Preferred).prefix() == Freed);
}
