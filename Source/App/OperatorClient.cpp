/// \file
/// The command line's way to the operators' ports.

#include "App/OperatorClient.h"

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Loop/EventLoop.h"

namespace corianderdyke {

namespace {

constexpr Millis AnswerTimeout(5000);
constexpr Millis Pause(50);
constexpr int StatusMisdirected = 421;

Expected<HttpResponse> ask(EventLoop &Loop, const Endpoint &Host,
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

} // namespace

Expected<HttpResponse> askLeader(const std::vector<Endpoint> &Hosts,
                                 const HttpRequest &Request, Millis Patience) {
  const SystemClock Time;
  const Millis Until = Time.now() + Patience;
  EventLoop Loop;
  while (true) {
    for (const Endpoint &Host : Hosts) {
      auto Answer = ask(Loop, Host, Request);
      if (Answer && Answer->Status != StatusMisdirected)
        return Answer;
    }
    if (Time.now() >= Until)
      return fail(ErrorCode::Unavailable,
                  "no control host that leads could be reached");
    Loop.after(Pause, [&Loop] { Loop.stop(); });
    Loop.run();
  }
}

} // namespace corianderdyke
