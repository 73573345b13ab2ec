/// \file
/// The log lines about statements: one for each decision that touches one.

#ifndef CORIANDERDYKE_APP_STATEMENTLOGS_H
#define CORIANDERDYKE_APP_STATEMENTLOGS_H

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

/// A refusal's code as logs and metrics have it.
const char *refusalCodeName(RefusalCode Code);

/// Writes a line with the caller's id for each refusal, move and result that
/// \p Pipeline tells, within the bounds of the catalogue.
void subscribeStatementLogs(SessionPipeline &Pipeline, const Clock &Time);

} // namespace corianderdyke

#endif
