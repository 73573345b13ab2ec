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

Expected<HttpResponse> OperatorClient::askOne(const Endpoint &Host,
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

Expected<HttpResponse> OperatorClient::ask(const HttpRequest &Request) {
  const SystemClock Time;
  const Millis Until = Time.now() + Patience;
  std::string Last;
  while (true) {
    for (const Endpoint &Host : Hosts) {
      auto Answer = askOne(Host, Request);
      if (Answer && Answer->Status != StatusMisdirected)
        return Answer;
      Last = Host.text() + ": " +
             (Answer ? "doesn't lead" : Answer.error().Message);
    }
    if (Time.now() >= Until)
      return fail(ErrorCode::Unavailable,
                  "no process answered that can; the last one asked was " +
                      Last);
    pause(Pause);
  }
}

void OperatorClient::pause(Millis Span) {
  Loop.after(Span, [this] { Loop.stop(); });
  Loop.run();
}

} // namespace corianderdyke
