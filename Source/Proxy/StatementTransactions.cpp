/// \file
/// Processes the statements of transactions, which use the connection on which
/// their transaction was opened.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"
#include "Proxy/TargetRequest.h"

namespace corianderdyke {

void StatementService::startInTransaction(const JobPtr &CurrentJob) {
  const StatementRequest &Statement = CurrentJob->Statement;
  auto Claimed =
      Transactions.claim(Statement.Transaction, Statement.CallerConnection);
  // A commit whose transaction is not open here may be a retry after a lost
  // answer. The target can tell by the key; a refusal would leave the caller
  // without the outcome for ever.
  if (!Claimed && Statement.Operation == StatementOperation::Commit &&
      Claimed.error().Code == ErrorCode::NotFound)
    return dispatch(CurrentJob);
  if (!Claimed)
    return reject(CurrentJob, reply_status::Conflict, Claimed.error().Message);
  CurrentJob->OwnTransaction = *Claimed;
  CurrentJob->ChosenRoute = CurrentJob->OwnTransaction->ChosenRoute;
  if (CurrentJob->OwnTransaction->Database != Statement.Database) {
    Transactions.release(CurrentJob->OwnTransaction,
                         View.CurrentManifest->Limits.TransactionIdleTimeout);
    return reject(CurrentJob, reply_status::Conflict,
                  "the transaction is one of database '" +
                      CurrentJob->OwnTransaction->Database + "'");
  }
  const GroupRecord *Group = View.group(Statement.Database);
  if (Group == nullptr || Group->Term != CurrentJob->ChosenRoute.Term) {
    Transactions.abandon(CurrentJob->OwnTransaction);
    return reject(CurrentJob, reply_status::Conflict,
                  "the transaction ended with the change of primary");
  }
  sendInTransaction(CurrentJob);
}

void StatementService::sendInTransaction(const JobPtr &CurrentJob) {
  CurrentJob->CurrentStage = Job::Stage::Sent;
  CurrentJob->SentAt = Deps.Time.now();
  CurrentJob->OwnTransaction->Connection->request(
      requestFor(CurrentJob->Statement, CurrentJob->ChosenRoute, true),
      timeLeft(CurrentJob),
      [this, Weak = std::weak_ptr<Job>(CurrentJob)](
          const Expected<HttpResponse> &Answer) {
        if (const JobPtr Owner = Weak.lock())
          handleTransactionAnswer(Owner, Answer);
      });
}

void StatementService::handleTransactionAnswer(
    const JobPtr &CurrentJob, const Expected<HttpResponse> &Answer) {
  const AnswerClass Class = classifyAnswer(Answer);
  const TransactionPtr CurrentTransaction = CurrentJob->OwnTransaction;
  const StatementOperation Operation = CurrentJob->Statement.Operation;
  if (Class != AnswerClass::NoAnswer)
    recordObservation(CurrentJob, *Answer);
  // The connection stays usable only after an answer that determines the state
  // of the transaction.
  const bool IsConclusive =
      Class == AnswerClass::Ran || Class == AnswerClass::Failed;
  if (!IsConclusive)
    Transactions.abandon(CurrentTransaction);
  else if (Operation == StatementOperation::Run)
    Transactions.release(CurrentTransaction,
                         View.CurrentManifest->Limits.TransactionIdleTimeout);
  else
    Transactions.complete(CurrentTransaction);
  if (CurrentJob->CurrentStage == Job::Stage::Finished)
    return;
  if (Class == AnswerClass::NoAnswer)
    return rejectWithRetry(CurrentJob,
                           "the connection to the target was lost; the "
                           "transaction has ended");
  if (!IsConclusive) {
    CurrentJob->CurrentStage = Job::Stage::Choosing;
    return reject(CurrentJob, reply_status::Conflict,
                  "the transaction has ended: " +
                      Answer->header(target_header::Reason));
  }
  if (Class == AnswerClass::Failed)
    return finishDone(CurrentJob, {Answer->Status, {}, Answer->Body});
  if (Operation == StatementOperation::Commit)
    return holdWrite(CurrentJob, *Answer);
  finishDone(CurrentJob, {Answer->Status, {}, Answer->Body});
}

void StatementService::openTransaction(const JobPtr &CurrentJob,
                                       PooledConnection Connection) {
  const TransactionPtr Opened = Transactions.open(
      CurrentJob->Statement.Database, CurrentJob->ChosenRoute,
      CurrentJob->Statement.CallerConnection, std::move(Connection),
      View.CurrentManifest->Limits.TransactionIdleTimeout);
  HttpResponse Out{reply_status::Ok, {}, ""};
  Out.Headers[caller_header::Transaction] = Opened->Id;
  finishDone(CurrentJob, std::move(Out));
}

} // namespace corianderdyke
