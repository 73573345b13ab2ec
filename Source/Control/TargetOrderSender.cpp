/// \file
/// Sends orders to targets by their published protocol.

#include "Control/TargetOrderSender.h"

namespace corianderdyke {

namespace {

constexpr Millis OrderTimeout(300);
constexpr int StatusOk = 200;

std::string refusalText(const std::vector<Fork> &Forks) {
  std::string Out;
  for (const Fork &Each : Forks)
    Out += (Out.empty() ? "" : ",") + std::to_string(Each.Term) + ":" +
           std::to_string(Each.Position);
  return Out;
}

HttpRequest requestFor(const TargetOrderRequest &Call) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Query["term"] = std::to_string(Call.Term);
  // An order is for one life. A target that restarted empty, and whose new
  // announcement is still under way, must not take up its former role.
  Out.Query["sequence"] = std::to_string(Call.Target.Sequence);
  switch (Call.Kind) {
  case TargetOrderKind::Fence:
    Out.Path = "/v1/fence";
    return Out;
  case TargetOrderKind::Promote:
    Out.Path = "/v1/promote";
    break;
  case TargetOrderKind::Follow:
    Out.Path = "/v1/follow";
    Out.Query["primary"] = Call.Primary.text();
    break;
  }
  Out.Query["forks"] = refusalText(Call.Forks);
  return Out;
}

} // namespace

void TargetOrderSender::send(const TargetOrderRequest &Call, Handler OnDone) {
  Link &To = Links[Call.Target.Name];
  // A new order overtakes one that hangs: the connection is made anew.
  if (!To.Connection || To.Address != Call.Target.Address || To.Busy)
    To = Link{Call.Target.Address, Connector.connect(Call.Target.Address),
              false};
  To.Busy = true;
  To.Connection->request(
      requestFor(Call), OrderTimeout,
      [this, Name = Call.Target.Name,
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
