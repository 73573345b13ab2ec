/// \file
/// What the program's exit code tells; Help/command/exit-codes.md lists the
/// same.

#ifndef CORIANDERDYKE_APP_EXITCODE_H
#define CORIANDERDYKE_APP_EXITCODE_H

namespace corianderdyke {

enum ExitCode : int {
  Success = 0,
  Failure = 1,     ///< It was tried and didn't work.
  InvalidFile = 2, ///< A file has findings or can't be read.
  Refused = 3,     ///< The system refused the request.
  Unreachable = 4, ///< No process that can answer did, within the bound.
  NotInForce = 5,  ///< Accepted, but not in force within the bound.
  UsageError = 64, ///< The command line is wrong.
};

} // namespace corianderdyke

#endif
