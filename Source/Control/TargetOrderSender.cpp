/// \file
/// Sends orders to targets by their published HTTP protocol.

#include "Control/TargetOrderSender.h"

namespace corianderdyke {

namespace {

constexpr Millis OrderTimeout(300);
constexpr int StatusOk = 200;

std::string formatForks(const std::vector<Fork> &Forks) {
  std::string Out;
  for (const Fork &Each : Forks)
    Out += (Out.empty() ? "" : ",") + std::to_string(Each.Term) + ":" +
           std::to_string(Each.Position);
  return Out;
}

HttpRequest makeRequest(const TargetOrderRequest &Order) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Query["term"] = std::to_string(Order.Term);
  // An order is addressed to one incarnation. A target that restarted with no
  // data, and whose new announcement is still in transit, must not resume its
  // former role.
  Out.Query["sequence"] = std::to_string(Order.Target.Sequence);
  switch (Order.Kind) {
  case TargetOrderKind::Fence:
    Out.Path = "/v1/fence";
    return Out;
  case TargetOrderKind::Promote:
    Out.Path = "/v1/promote";
    break;
  case TargetOrderKind::Follow:
    Out.Path = "/v1/follow";
    Out.Query["primary"] = Order.Primary.text();
    break;
  }
  Out.Query["forks"] = formatForks(Order.Forks);
  return Out;
}

} // namespace

void TargetOrderSender::send(const TargetOrderRequest &Order, Handler OnDone) {
  Link &To = Links[Order.Target.Name];
  // A new order does not wait for an unanswered one: it uses a new connection.
  if (!To.Connection || To.Address != Order.Target.Address || To.Busy)
    To = Link{Order.Target.Address, Connector.connect(Order.Target.Address),
              false};
  To.Busy = true;
  To.Connection->request(
      makeRequest(Order), OrderTimeout,
      [this, Name = Order.Target.Name,
       OnDone = std::move(OnDone)](Expected<HttpResponse> Answer) {
        Link &From = Links[Name];
        From.Busy = false;
        if (!Answer) {
          From.Connection.reset();
          return;
        }
        if (Answer->Status != StatusOk)
          return;
        OnDone({numberOr(Answer->header("Target-Term"), 0),
                numberOr(Answer->header("Target-Log-Term"), 0),
                numberOr(Answer->header("Target-Position"), 0)});
      });
}

} // namespace corianderdyke
