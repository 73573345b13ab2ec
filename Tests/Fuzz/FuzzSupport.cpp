/// \file
/// The entry point that libFuzzer calls.

#include "FuzzSupport.h"

// The name is the library's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzOne(std::string(Data, Data + Size));
  return 0;
}
