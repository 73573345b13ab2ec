/// \file
/// The statements of transactions: they stay with the connection on which
/// their transaction was opened.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"
#include "Proxy/TargetRequest.h"

namespace corianderdyke {

void StatementService::startInTransaction(const JobPtr &Each) {
  const StatementRequest &Statement = Each->Statement;
  auto Claimed =
      Transactions.claim(Statement.Transaction, Statement.CallerConnection);
  // A commit whose transaction isn't open here may be sent again because its
  // answer was lost. The target knows by the key; a plain refusal would leave
  // the caller without an answer for ever.
  if (!Claimed && Statement.Operation == StatementOperation::Commit &&
      Claimed.error().Code == ErrorCode::NotFound)
    return dispatch(Each);
  if (!Claimed)
    return reject(Each, reply_status::Conflict, Claimed.error().Message);
  Each->OwnTransaction = *Claimed;
  Each->ChosenRoute = Each->OwnTransaction->ChosenRoute;
  if (Each->OwnTransaction->Database != Statement.Database) {
    Transactions.release(Each->OwnTransaction,
                         View.CurrentManifest->Limits.TransactionIdleTimeout);
    return reject(Each, reply_status::Conflict,
                  "the transaction is one of database '" +
                      Each->OwnTransaction->Database + "'");
  }
  const GroupRecord *Group = View.group(Statement.Database);
  if (Group == nullptr || Group->Term != Each->ChosenRoute.Term) {
    Transactions.abandon(Each->OwnTransaction);
    return reject(Each, reply_status::Conflict,
                  "the transaction ended with the change of primary");
  }
  sendInTransaction(Each);
}

void StatementService::sendInTransaction(const JobPtr &Each) {
  Each->CurrentStage = Job::Stage::Sent;
  Each->SentAt = Deps.Time.now();
  Each->OwnTransaction->Connection->request(
      requestFor(Each->Statement, Each->ChosenRoute, true), timeLeft(Each),
      [this,
       Weak = std::weak_ptr<Job>(Each)](const Expected<HttpResponse> &Answer) {
        if (const JobPtr Asker = Weak.lock())
          handleTransactionAnswer(Asker, Answer);
      });
}

void StatementService::handleTransactionAnswer(
    const JobPtr &Each, const Expected<HttpResponse> &Answer) {
  const AnswerClass What = classifyAnswer(Answer);
  const TransactionPtr Within = Each->OwnTransaction;
  const StatementOperation Asked = Each->Statement.Operation;
  if (What != AnswerClass::NoAnswer)
    recordObservation(Each, *Answer);
  // Only an answer that says what became of the transaction leaves the
  // connection fit for use, in this transaction or after it.
  const bool Whole = What == AnswerClass::Ran || What == AnswerClass::Failed;
  if (!Whole)
    Transactions.abandon(Within);
  else if (Asked == StatementOperation::Run)
    Transactions.release(Within,
                         View.CurrentManifest->Limits.TransactionIdleTimeout);
  else
    Transactions.complete(Within);
  if (Each->CurrentStage == Job::Stage::Finished)
    return;
  if (What == AnswerClass::NoAnswer)
    return rejectWithRetry(Each, "the connection to the target was lost; the "
                                 "transaction has ended");
  if (!Whole) {
    Each->CurrentStage = Job::Stage::Choosing;
    return reject(Each, reply_status::Conflict,
                  "the transaction has ended: " +
                      Answer->header(target_header::Reason));
  }
  if (What == AnswerClass::Failed)
    return finishDone(Each, {Answer->Status, {}, Answer->Body});
  if (Asked == StatementOperation::Commit)
    return holdWrite(Each, *Answer);
  finishDone(Each, {Answer->Status, {}, Answer->Body});
}

void StatementService::openTransaction(const JobPtr &Each,
                                       PooledConnection Connection) {
  const TransactionPtr Made =
      Transactions.open(Each->Statement.Database, Each->ChosenRoute,
                        Each->Statement.CallerConnection, std::move(Connection),
                        View.CurrentManifest->Limits.TransactionIdleTimeout);
  HttpResponse Out{reply_status::Ok, {}, ""};
  Out.Headers[caller_header::Transaction] = Made->Id;
  finishDone(Each, std::move(Out));
}

} // namespace corianderdyke
