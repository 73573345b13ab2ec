/// \file
/// The open connections of one proxy to one target.

#include "Proxy/ConnectionPool.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr Millis OpenTimeout(1000);
constexpr int StatusOk = 200;

} // namespace

void PooledConnection::close() {
  if (Connection)
    Pool->release(std::move(Connection), Reusable);
}

ConnectionPool::Ticket ConnectionPool::acquire(Handler OnReady) {
  const Ticket Id = NextId++;
  Waiting.push_back({Id, std::move(OnReady)});
  OpeningFailed = false;
  serveWaiters();
  return Id;
}

void ConnectionPool::cancel(Ticket Id) {
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [Id](const Waiter &Each) { return Each.Id == Id; });
  if (Found != Waiting.end())
    Waiting.erase(Found);
}

void ConnectionPool::release(std::unique_ptr<HttpConnection> Used,
                             bool Reusable) {
  --Busy;
  OpeningFailed = false;
  if (Reusable && total() < Limit)
    Idle.push_back(std::move(Used));
  serveWaiters();
}

void ConnectionPool::setLimit(std::size_t NewLimit) {
  Limit = NewLimit;
  while (total() > Limit && !Idle.empty())
    Idle.pop_back();
  serveWaiters();
}

void ConnectionPool::serveWaiters() {
  const auto Self = shared_from_this();
  while (!Waiting.empty() && !Idle.empty()) {
    const Handler Next = std::move(Waiting.front().OnReady);
    Waiting.pop_front();
    ++Busy;
    std::unique_ptr<HttpConnection> Free = std::move(Idle.back());
    Idle.pop_back();
    Next(PooledConnection(Self, std::move(Free)));
  }
  while (!OpeningFailed && Opening.size() < Waiting.size() && total() < Limit)
    openConnection();
}

void ConnectionPool::openConnection() {
  const std::uint64_t Id = NextId++;
  const auto &Made = Opening[Id] = Connector.connect(To);
  HttpRequest Handshake;
  Handshake.Method = HttpMethod::Post;
  Handshake.Path = "/v1/connect";
  Made->request(
      std::move(Handshake), OpenTimeout,
      [Weak = weak_from_this(), Id](const Expected<HttpResponse> &Answer) {
        if (const auto Self = Weak.lock())
          Self->handleOpened(Id, Answer);
      });
}

void ConnectionPool::handleOpened(std::uint64_t Id,
                                  const Expected<HttpResponse> &Answer) {
  std::unique_ptr<HttpConnection> Connection = std::move(Opening[Id]);
  Opening.erase(Id);
  if (Answer && Answer->Status == StatusOk) {
    Idle.push_back(std::move(Connection));
    serveWaiters();
    return;
  }
  OpeningFailed = true;
  if (total() != 0)
    return;
  // No connection is open and none will be released, so the waiters would wait
  // for ever.
  const Error Failure =
      Answer ? Error{ErrorCode::Unavailable,
                     "the target takes no more connections"}
             : Error{ErrorCode::System, "the target doesn't answer"};
  for (const Waiter &Each : std::exchange(Waiting, {}))
    Each.OnReady(tl::unexpected(Failure));
}

} // namespace corianderdyke
