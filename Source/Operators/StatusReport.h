/// \file
/// Reports of the control state for operators, as JSON.

#ifndef CORIANDERDYKE_OPERATORS_STATUSREPORT_H
#define CORIANDERDYKE_OPERATORS_STATUSREPORT_H

#include "Common/Finding.h"
#include "Control/ControlNode.h"

#include <nlohmann/json.hpp>

namespace corianderdyke {

/// Groups, targets, proxies and the manifest, as the leader knows them.
nlohmann::json statusReport(const ControlNode &Control,
                            const ControlState &State, Millis Now);

/// The audit records after revision \p Since, of one subject or, if
/// \p Subject is empty, of all.
nlohmann::json auditReport(const ControlState &State, std::uint64_t Since,
                           const std::string &Subject);

nlohmann::json manifestReport(const ControlNode &Control,
                              const ControlState &State);

/// The accepted manifests, the latest last, without their texts.
nlohmann::json manifestHistoryReport(const ControlState &State);

/// The result that applying \p New would have now; \p Text is its source.
nlohmann::json manifestDifferenceReport(const ControlState &State,
                                        const Manifest &New,
                                        const std::string &Text);

nlohmann::json findingsReport(const Findings &All);

} // namespace corianderdyke

#endif
