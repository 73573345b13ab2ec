/// \file
/// An operator's requests to control hosts.

#ifndef CORIANDERDYKE_TESTS_REPLACEMENT_OPERATOR_H
#define CORIANDERDYKE_TESTS_REPLACEMENT_OPERATOR_H

#include "Common/Millis.h"

#include <string>

namespace corianderdyke::replacement {

struct HttpAnswer {
  int Status = 0; ///< 0 if there was no complete answer.
  std::string Body;
};

/// Sends one request on a connection of its own and waits for the answer.
HttpAnswer call(const std::string &Address, std::uint16_t Port,
                const std::string &Method, const std::string &Path,
                const std::string &Body, Millis Timeout);

} // namespace corianderdyke::replacement

#endif
