/// \file
/// Log lines about statements: one for each decision about a statement.

#ifndef CORIANDERDYKE_APP_STATEMENTLOGS_H
#define CORIANDERDYKE_APP_STATEMENTLOGS_H

#include "Pipeline/SessionPipeline.h"
#include "Steering/ProtocolAdapter.h"

namespace corianderdyke {

/// The name of a refusal's code in logs and metrics.
const char *refusalCodeName(RefusalCode Code);

/// Why an answer belongs to no statement, in logs and metrics.
const char *outcomeName(const UnexpectedAnswer &What);

/// Writes a line about an answer that belongs to no statement.
void logUnexpectedAnswer(const UnexpectedAnswer &What);
/// Writes a line about a malformed line of a caller.
void logMalformedLine(const MalformedLine &What);

/// Writes a line with the caller's id for each refusal, retry and result that
/// \p Pipeline signals, within the rate limits of the event catalogue.
void subscribeStatementLogs(SessionPipeline &Pipeline, const Clock &Time);

} // namespace corianderdyke

#endif
