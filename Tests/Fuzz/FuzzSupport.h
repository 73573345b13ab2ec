/// \file
/// Entry point and check shared by all fuzz targets.

#ifndef CORIANDERDYKE_TESTS_FUZZ_FUZZSUPPORT_H
#define CORIANDERDYKE_TESTS_FUZZ_FUZZSUPPORT_H

#include <cstdint>
#include <cstdlib>
#include <string>

/// Processes one input. Each fuzz target defines it.
void fuzzOne(const std::string &Input);

/// Aborts if \p Holds is false, so that libFuzzer saves the input.
inline void expect(bool Holds) {
  if (!Holds)
    std::abort();
}

#endif
