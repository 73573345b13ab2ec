/// \file
/// Log lines about statements: one for each decision about a statement.

#ifndef CORIANDERDYKE_APP_STATEMENTLOGS_H
#define CORIANDERDYKE_APP_STATEMENTLOGS_H

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

/// The name of a refusal's code in logs and metrics.
const char *refusalCodeName(RefusalCode Code);

/// Writes a line with the caller's id for each refusal, retry and result that
/// \p Pipeline signals, within the rate limits of the event catalogue.
void subscribeStatementLogs(SessionPipeline &Pipeline, const Clock &Time);

} // namespace corianderdyke

#endif
