/// \file
/// Formats the operators' JSON reports as text for people.

#ifndef CORIANDERDYKE_OPERATORS_HUMANREPORT_H
#define CORIANDERDYKE_OPERATORS_HUMANREPORT_H

#include <nlohmann/json.hpp>

namespace corianderdyke {

// Each formats the response body of the path of the same name. A missing field
// is shown as an empty cell, so that a command works with an older or newer
// process.

std::string statusText(const nlohmann::json &Report);
std::string auditText(const nlohmann::json &Report);
std::string manifestText(const nlohmann::json &Report);
std::string manifestHistoryText(const nlohmann::json &Report);
std::string manifestDifferenceText(const nlohmann::json &Report);
std::string manifestAcceptedText(const nlohmann::json &Report);

/// The error of a refused request, with one finding per line.
std::string errorText(const nlohmann::json &Report);

} // namespace corianderdyke

#endif
