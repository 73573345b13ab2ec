/// \file
/// What each case implements, and its exit codes.

#ifndef CORIANDERDYKE_REVIEW_MAIN_H
#define CORIANDERDYKE_REVIEW_MAIN_H

#include "Record.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// Keeps an object until the process exits, because threads of the stand-ins
/// still use it then.
template <class T> T &keep(std::unique_ptr<T> Made) {
  static std::vector<std::unique_ptr<T>> All;
  All.push_back(std::move(Made));
  return *All.back();
}

struct Arguments {
  std::string Program;
  std::string Folder;     ///< For settings, data and logs.
  bool HasTrouble = true; ///< False: the same without the disruption.
};

/// Runs the case and returns one of the codes above. All that it started ends
/// before it returns or with the process.
int run(const Arguments &Given, Record &Log);

} // namespace review

#endif
