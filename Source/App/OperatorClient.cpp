/// \file
/// Sends the command line's requests to operators' ports.

#include "App/OperatorClient.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"

namespace corianderdyke {

namespace {

constexpr Millis AnswerTimeout(5000);
constexpr Millis RetryInterval(50);
constexpr int StatusMisdirected = 421;

} // namespace

Expected<HttpResponse> OperatorClient::sendTo(const Endpoint &Host,
                                              const HttpRequest &Request) {
  EventHttpConnector Connector(Loop);
  const auto Connection = Connector.connect(Host);
  Expected<HttpResponse> Out = fail(ErrorCode::Unavailable, "no answer");
  Connection->request(Request, AnswerTimeout,
                      [&](Expected<HttpResponse> Answer) {
                        Out = std::move(Answer);
                        Loop.stop();
                      });
  Loop.run();
  return Out;
}

Expected<HttpResponse> OperatorClient::send(const HttpRequest &Request) {
  const SystemClock Time;
  const Millis DeadlineAt = Time.now() + Timeout;
  std::string LastFailure;
  while (true) {
    for (const Endpoint &Host : Hosts) {
      auto Answer = sendTo(Host, Request);
      if (Answer && Answer->Status != StatusMisdirected)
        return Answer;
      LastFailure = Host.text() + ": " +
                    (Answer ? "doesn't lead" : Answer.error().Message);
    }
    if (Time.now() >= DeadlineAt)
      return fail(ErrorCode::Unavailable,
                  "no process answered that can; the last one asked was " +
                      LastFailure);
    runLoopFor(RetryInterval);
  }
}

void OperatorClient::runLoopFor(Millis Duration) {
  Loop.after(Duration, [this] { Loop.stop(); });
  Loop.run();
}

} // namespace corianderdyke
