/// \file
/// The command line's way to the operators' ports.

#include "App/OperatorClient.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"

namespace corianderdyke {

namespace {

constexpr Millis AnswerTimeout(5000);
constexpr Millis Pause(50);
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
  const Millis Until = Time.now() + Timeout;
  std::string Last;
  while (true) {
    for (const Endpoint &Host : Hosts) {
      auto Answer = sendTo(Host, Request);
      if (Answer && Answer->Status != StatusMisdirected)
        return Answer;
      Last = Host.text() + ": " +
             (Answer ? "doesn't lead" : Answer.error().Message);
    }
    if (Time.now() >= Until)
      return fail(ErrorCode::Unavailable,
                  "no process answered that can; the last one asked was " +
                      Last);
    runLoopFor(Pause);
  }
}

void OperatorClient::runLoopFor(Millis Span) {
  Loop.after(Span, [this] { Loop.stop(); });
  Loop.run();
}

} // namespace corianderdyke
