/// \file
/// The operators' JSON reports as text for people.

#ifndef CORIANDERDYKE_OPERATORS_HUMANREPORT_H
#define CORIANDERDYKE_OPERATORS_HUMANREPORT_H

#include <nlohmann/json.hpp>

namespace corianderdyke {

// Each takes the body of the path of the same name. A missing field shows as
// an empty cell, so that a command can ask an older or newer process.

std::string statusText(const nlohmann::json &Report);
std::string auditText(const nlohmann::json &Report);
std::string manifestText(const nlohmann::json &Report);
std::string manifestHistoryText(const nlohmann::json &Report);
std::string manifestDifferenceText(const nlohmann::json &Report);
std::string manifestAcceptedText(const nlohmann::json &Report);

/// The error of a refused request, with its findings one a line.
std::string errorText(const nlohmann::json &Report);

} // namespace corianderdyke

#endif
