/// \file
/// What all fuzz targets share: the entry point and a check.

#ifndef CORIANDERDYKE_TESTS_FUZZ_FUZZSUPPORT_H
#define CORIANDERDYKE_TESTS_FUZZ_FUZZSUPPORT_H

#include <cstdint>
#include <cstdlib>
#include <string>

/// One input of a target, defined by its file.
void fuzzOne(const std::string &Input);

/// Ends the run with the input kept where something doesn't hold.
inline void expect(bool Holds) {
  if (!Holds)
    std::abort();
}

#endif
