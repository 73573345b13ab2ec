/// \file
/// The statements of transactions: they stay with the connection on which
/// their transaction was opened.

#include "Proxy/StatementService.h"

#include "Proxy/TargetProtocol.h"
#include "Proxy/TargetRequest.h"

namespace corianderdyke {

void StatementService::startInTransaction(const JobPtr &Each) {
  const StatementRequest &Statement = Each->Statement;
  auto Claimed = Transactions.claim(Statement.Transaction, Statement.Peer);
  // A commit whose transaction isn't open here may be sent again because its
  // answer was lost. The target knows by the key; a plain refusal would leave
  // the caller without an answer for ever.
  if (!Claimed && Statement.What == Verb::Commit &&
      Claimed.error().Code == ErrorCode::NotFound)
    return dispatch(Each);
  if (!Claimed)
    return reject(Each, reply_status::Conflict, Claimed.error().Message);
  Each->Within = *Claimed;
  Each->Way = Each->Within->Way;
  if (Each->Within->Database != Statement.Database) {
    Transactions.unclaim(Each->Within, View.Current->Limits.TransactionIdle);
    return reject(Each, reply_status::Conflict,
                  "the transaction is one of database '" +
                      Each->Within->Database + "'");
  }
  const GroupRecord *Group = View.group(Statement.Database);
  if (Group == nullptr || Group->Term != Each->Way.Term) {
    Transactions.abandon(Each->Within);
    return reject(Each, reply_status::Conflict,
                  "the transaction ended with the change of primary");
  }
  sendInTransaction(Each);
}

void StatementService::sendInTransaction(const JobPtr &Each) {
  Each->At = Job::Stage::Sent;
  Each->SentAt = Outside.Time.now();
  Each->Within->Connection->request(
      requestFor(Each->Statement, Each->Way, true), timeLeft(Each),
      [this,
       Weak = std::weak_ptr<Job>(Each)](const Expected<HttpResponse> &Answer) {
        if (const JobPtr Asker = Weak.lock())
          answeredInTransaction(Asker, Answer);
      });
}

void StatementService::answeredInTransaction(
    const JobPtr &Each, const Expected<HttpResponse> &Answer) {
  const Verdict What = judge(Answer);
  const TransactionPtr Within = Each->Within;
  const Verb Asked = Each->Statement.What;
  if (What != Verdict::Lost)
    observe(Each, *Answer);
  // Only an answer that says what became of the transaction leaves the
  // connection fit for use, in this transaction or after it.
  const bool Whole = What == Verdict::Ran || What == Verdict::Failed;
  if (!Whole)
    Transactions.abandon(Within);
  else if (Asked == Verb::Run)
    Transactions.unclaim(Within, View.Current->Limits.TransactionIdle);
  else
    Transactions.ended(Within);
  if (Each->At == Job::Stage::Finished)
    return;
  if (What == Verdict::Lost)
    return giveUp(Each, "the connection to the target was lost; the "
                        "transaction has ended");
  if (!Whole) {
    Each->At = Job::Stage::Choosing;
    return reject(Each, reply_status::Conflict,
                  "the transaction has ended: " +
                      Answer->header(target_header::Reason));
  }
  if (What == Verdict::Failed)
    return done(Each, {Answer->Status, {}, Answer->Body});
  if (Asked == Verb::Commit)
    return holdWrite(Each, *Answer);
  done(Each, {Answer->Status, {}, Answer->Body});
}

void StatementService::openTransaction(const JobPtr &Each,
                                       PooledConnection Connection) {
  const TransactionPtr Made = Transactions.open(
      Each->Statement.Database, Each->Way, Each->Statement.Peer,
      std::move(Connection), View.Current->Limits.TransactionIdle);
  HttpResponse Out{reply_status::Ok, {}, ""};
  Out.Headers[caller_header::Transaction] = Made->Id;
  done(Each, std::move(Out));
}

} // namespace corianderdyke
