/// \file
/// What operators see of the control state, as JSON.

#ifndef CORIANDERDYKE_OPERATORS_STATUSREPORT_H
#define CORIANDERDYKE_OPERATORS_STATUSREPORT_H

#include "Control/ControlNode.h"

#include <nlohmann/json.hpp>

namespace corianderdyke {

/// Groups, targets, proxies and the manifest, as a leader sees them.
nlohmann::json statusReport(const ControlNode &Control,
                            const ControlState &State);

nlohmann::json auditReport(const ControlState &State);

nlohmann::json manifestReport(const ControlNode &Control,
                              const ControlState &State);

} // namespace corianderdyke

#endif
