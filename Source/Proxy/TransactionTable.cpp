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
                                      const Route &Way, const std::string &Peer,
                                      PooledConnection Connection,
                                      Millis IdleTimeout) {
  auto Made = std::make_shared<Transaction>(
      Transaction{prefixOf(Self) + std::to_string(NextNumber++), Database, Way,
                  Peer, std::move(Connection)});
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
  const TransactionPtr &Each = Found->second;
  if (Each->CallerConnection != Peer)
    return fail(ErrorCode::Conflict,
                "the transaction belongs to another connection");
  if (Each->Busy)
    return fail(ErrorCode::Conflict,
                "another statement of the transaction is under way");
  Each->Busy = true;
  if (Each->IdleTimer != 0)
    Timers.cancel(std::exchange(Each->IdleTimer, 0));
  return Each;
}

void TransactionTable::release(const TransactionPtr &Each, Millis IdleBound) {
  if (!isOpen(Each->Id))
    return;
  Each->Busy = false;
  startIdleTimer(Each, IdleBound);
}

void TransactionTable::complete(const TransactionPtr &Each) {
  Each->Connection.setReusable(true);
  forget(Each);
}

void TransactionTable::abandon(const TransactionPtr &Each) {
  if (!isOpen(Each->Id))
    return;
  forget(Each);
  // With a statement under way the connection just closes when the last
  // holder lets go of it.
  if (!Each->Busy)
    rollBack(Each);
  else
    Each->Connection.close();
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

void TransactionTable::rollBack(const TransactionPtr &Each) {
  HttpRequest Order;
  Order.Method = HttpMethod::Post;
  Order.Path = "/v1/rollback";
  Ending[Each->Id] = Each;
  Each->Connection->request(
      std::move(Order), RollbackTimeout,
      [this, Id = Each->Id](const Expected<HttpResponse> &Answer) {
        const auto Found = Ending.extract(Id);
        Found.mapped()->Connection.setReusable(Answer &&
                                               Answer->Status == StatusOk);
      });
}

void TransactionTable::startIdleTimer(const TransactionPtr &Each,
                                      Millis Bound) {
  const std::weak_ptr<Transaction> Weak = Each;
  Each->IdleTimer = Timers.after(Bound, [this, Weak] {
    const TransactionPtr Idle = Weak.lock();
    if (!Idle)
      return;
    Idle->IdleTimer = 0;
    abandon(Idle);
  });
}

void TransactionTable::forget(const TransactionPtr &Each) {
  if (Each->IdleTimer != 0)
    Timers.cancel(std::exchange(Each->IdleTimer, 0));
  Open.erase(Each->Id);
}

} // namespace corianderdyke
