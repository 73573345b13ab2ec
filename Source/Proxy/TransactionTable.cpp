/// \file
/// The transactions that are open at this proxy.

#include "Proxy/TransactionTable.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr Millis RollbackTimeout(1000);
constexpr int StatusOk = 200;

std::string prefixOf(const ProcessId &Self) {
  return Self.Name + ":" + std::to_string(Self.Incarnation) + ":";
}

} // namespace

TransactionTable::~TransactionTable() {
  for (const auto &[Id, Each] : Open)
    if (Each->IdleTimer != 0)
      Timers.cancel(Each->IdleTimer);
}

std::set<std::string> TransactionTable::databases() const {
  std::set<std::string> Out;
  for (const auto &[Id, Each] : Open)
    Out.insert(Each->Database);
  return Out;
}

TransactionPtr TransactionTable::open(const std::string &Database,
                                      const Route &ChosenRoute,
                                      const std::string &Peer,
                                      PooledConnection Connection,
                                      Millis IdleTimeout) {
  auto Made = std::make_shared<Transaction>(
      Transaction{prefixOf(Self) + std::to_string(NextNumber++), Database,
                  ChosenRoute, Peer, std::move(Connection)});
  Made->Connection.setReusable(false);
  Open[Made->Id] = Made;
  startIdleTimer(Made, IdleTimeout);
  return Made;
}

Expected<TransactionPtr> TransactionTable::claim(const std::string &Id,
                                                 const std::string &Peer) {
  const auto Found = Open.find(Id);
  if (Found == Open.end()) {
    if (Id.rfind(prefixOf(Self), 0) == 0)
      return fail(ErrorCode::NotFound, "the transaction has ended");
    return fail(ErrorCode::NotFound,
                "the transaction lives at " + Id.substr(0, Id.find(':')));
  }
  const TransactionPtr &CurrentTransaction = Found->second;
  if (CurrentTransaction->CallerConnection != Peer)
    return fail(ErrorCode::Conflict,
                "the transaction belongs to another connection");
  if (CurrentTransaction->Busy)
    return fail(ErrorCode::Conflict,
                "another statement of the transaction is under way");
  CurrentTransaction->Busy = true;
  if (CurrentTransaction->IdleTimer != 0)
    Timers.cancel(std::exchange(CurrentTransaction->IdleTimer, 0));
  return CurrentTransaction;
}

void TransactionTable::release(const TransactionPtr &CurrentTransaction,
                               Millis IdleTimeout) {
  if (!isOpen(CurrentTransaction->Id))
    return;
  CurrentTransaction->Busy = false;
  startIdleTimer(CurrentTransaction, IdleTimeout);
}

void TransactionTable::complete(const TransactionPtr &CurrentTransaction) {
  CurrentTransaction->Connection.setReusable(true);
  forget(CurrentTransaction);
}

void TransactionTable::abandon(const TransactionPtr &CurrentTransaction) {
  if (!isOpen(CurrentTransaction->Id))
    return;
  forget(CurrentTransaction);
  // A transaction that a statement has claimed gets no rollback request, since
  // an answer may be pending on its connection. The connection is closed
  // instead, upon which the target rolls back by itself.
  if (!CurrentTransaction->Busy)
    rollBack(CurrentTransaction);
  else
    CurrentTransaction->Connection.close();
}

void TransactionTable::handleDisconnect(const std::string &Peer) {
  const auto Known = Open;
  for (const auto &[Id, Each] : Known)
    if (Each->CallerConnection == Peer)
      abandon(Each);
}

bool TransactionTable::isBound(const std::string &Peer) const {
  return std::any_of(Open.begin(), Open.end(), [&Peer](const auto &Each) {
    return Each.second->CallerConnection == Peer;
  });
}

void TransactionTable::abandonIdle() {
  const auto Known = Open;
  for (const auto &[Id, Each] : Known)
    if (!Each->Busy)
      abandon(Each);
}

void TransactionTable::rollBack(const TransactionPtr &CurrentTransaction) {
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/v1/rollback";
  Ending[CurrentTransaction->Id] = CurrentTransaction;
  CurrentTransaction->Connection->request(
      std::move(Request), RollbackTimeout,
      [this,
       Id = CurrentTransaction->Id](const Expected<HttpResponse> &Answer) {
        const auto Found = Ending.extract(Id);
        Found.mapped()->Connection.setReusable(Answer &&
                                               Answer->Status == StatusOk);
      });
}

void TransactionTable::startIdleTimer(const TransactionPtr &CurrentTransaction,
                                      Millis IdleTimeout) {
  const std::weak_ptr<Transaction> Weak = CurrentTransaction;
  CurrentTransaction->IdleTimer = Timers.after(IdleTimeout, [this, Weak] {
    const TransactionPtr Idle = Weak.lock();
    if (!Idle)
      return;
    Idle->IdleTimer = 0;
    abandon(Idle);
  });
}

void TransactionTable::forget(const TransactionPtr &CurrentTransaction) {
  if (CurrentTransaction->IdleTimer != 0)
    Timers.cancel(std::exchange(CurrentTransaction->IdleTimer, 0));
  Open.erase(CurrentTransaction->Id);
}

} // namespace corianderdyke
