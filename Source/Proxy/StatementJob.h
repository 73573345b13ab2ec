/// \file
/// The state of a caller's statement while the proxy processes it.

#ifndef CORIANDERDYKE_PROXY_STATEMENTJOB_H
#define CORIANDERDYKE_PROXY_STATEMENTJOB_H

#include "Http/HttpServer.h"
#include "Loop/Scheduler.h"
#include "Proxy/ConnectionPool.h"
#include "Proxy/DurabilityGate.h"
#include "Proxy/StatementRequest.h"
#include "Proxy/TransactionTable.h"
#include "Routing/Router.h"

namespace corianderdyke {

struct StatementJob {
  /// The stage of processing, which determines the outcome of a refusal.
  enum class Stage : std::uint8_t {
    Choosing,
    Queued,
    Acquiring,
    Sent,
    Finished
  };

  std::uint64_t Id = 0;
  StatementRequest Statement;
  std::shared_ptr<HttpExchange> Exchange;
  Route ChosenRoute;
  Millis DeadlineAt;
  Millis SentAt;
  Scheduler::TimerId DeadlineTimer = 0;
  Scheduler::TimerId PrimaryWaitTimer = 0;
  Stage CurrentStage = Stage::Choosing;
  unsigned Attempts = 0;
  bool IsAdmitted = false; ///< Admission has let it run.
  /// Some attempt was sent and got no answer: the statement may have run,
  /// whatever the result of later attempts.
  bool AnswerLost = false;
  /// Targets that failed this statement.
  std::set<std::string> ExcludedTargets;
  std::weak_ptr<ConnectionPool> Pool;
  ConnectionPool::Ticket PoolTicket = 0;
  DurabilityGate::Ticket GateTicket = 0;
  TransactionPtr OwnTransaction;

  bool mayHaveRun() const { return AnswerLost || CurrentStage == Stage::Sent; }
};

} // namespace corianderdyke

#endif
