/// \file
/// The program's exit codes; Help/command/exit-codes.md lists the same.

#ifndef CORIANDERDYKE_APP_EXITCODE_H
#define CORIANDERDYKE_APP_EXITCODE_H

namespace corianderdyke {

enum ExitCode : int {
  Success = 0,
  Failure = 1,     ///< The command was tried and failed.
  InvalidFile = 2, ///< A file has findings or cannot be read.
  Refused = 3,     ///< The system refused the request.
  Unreachable = 4, ///< No process that can answer did in time.
  NotInForce = 5,  ///< Accepted, but not in force in time.
  UsageError = 64, ///< The command line is wrong.
};

} // namespace corianderdyke

#endif
