/// \file
/// The open connections of one proxy to one target.

#include "Proxy/ConnectionPool.h"

namespace corianderdyke {

namespace {

constexpr Millis OpenTimeout(1000);
constexpr int StatusOk = 200;

} // namespace

void ConnectionPool::acquire(Handler OnReady) {
  Waiting.push_back(std::move(OnReady));
  serve();
}

void ConnectionPool::release(Lent Used, bool Reusable) {
  --Busy;
  if (Reusable && open() < Limit)
    Idle.push_back(std::move(Used.Connection));
  serve();
}

void ConnectionPool::setLimit(std::size_t NewLimit) {
  Limit = NewLimit;
  while (open() > Limit && !Idle.empty())
    Idle.pop_back();
  serve();
}

void ConnectionPool::serve() {
  while (!Waiting.empty() && (!Idle.empty() || open() < Limit)) {
    Handler Next = std::move(Waiting.front());
    Waiting.pop_front();
    ++Busy;
    if (Idle.empty()) {
      openOne(std::move(Next));
      continue;
    }
    Lent Out{std::move(Idle.back())};
    Idle.pop_back();
    Next(std::move(Out));
  }
}

void ConnectionPool::openOne(Handler OnReady) {
  auto Made = std::make_shared<Lent>(Lent{Connector.connect(To)});
  HttpRequest Hello;
  Hello.Method = HttpMethod::Post;
  Hello.Path = "/v1/connect";
  HttpConnection *Raw = Made->Connection.get();
  Raw->request(
      std::move(Hello), OpenTimeout,
      [this, Made,
       OnReady = std::move(OnReady)](const Expected<HttpResponse> &Answer) {
        if (Answer && Answer->Status == StatusOk) {
          OnReady(std::move(*Made));
          return;
        }
        --Busy;
        OnReady(fail(ErrorCode::Unavailable, "the target takes no connection"));
        serve();
      });
}

} // namespace corianderdyke
