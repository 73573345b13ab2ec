/// \file
/// The entry point that libFuzzer calls.

#include "FuzzSupport.h"

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzOne(std::string(Data, Data + Size));
  return 0;
}
