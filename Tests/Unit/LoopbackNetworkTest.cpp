/// \file
/// Soaks that run at the same time, on one machine or in one CI run.

#include "LoopbackNetwork.h"

#include <catch2/catch.hpp>
#include <optional>
#include <unistd.h>

using namespace corianderdyke;

// Two soaks of one run, or of two, prefer the same addresses where their
// process ids are alike modulo the number of ranges. The later one couldn't
// listen and ended at once: a failed check without a fault of the product.
TEST_CASE("Soaks that prefer the same addresses get different ones") {
  const auto Preferred = static_cast<unsigned>(getpid());
  std::optional<LoopbackNetwork> First = LoopbackNetwork::claim(Preferred);
  const LoopbackNetwork Second =
      LoopbackNetwork::claim(Preferred + LoopbackNetwork::Count);
  CHECK(First->prefix() != Second.prefix());

  const std::string Freed = First->prefix();
  First.reset();
  CHECK(LoopbackNetwork::claim(Preferred).prefix() == Freed);
}
