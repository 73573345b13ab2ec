/// \file
/// The operators' port of a process: status, manifest, audit and metrics.

#include "Operators/OperatorService.h"

#include "Manifest/ManifestFile.h"
#include "Operators/StatusReport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace corianderdyke {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

HttpResponse jsonResponse(const nlohmann::json &Body, int Status = 200) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump(2) + "\n"};
}

HttpResponse errorResponse(int Status, const std::string &Why) {
  return jsonResponse({{"error", Why}}, Status);
}

int statusOf(const Error &Of) {
  switch (Of.Code) {
  case ErrorCode::BadInput:
    return StatusBadRequest;
  case ErrorCode::Conflict:
    return StatusConflict;
  case ErrorCode::NotFound:
    return StatusNotFound;
  default:
    return StatusUnavailable;
  }
}

} // namespace

void OperatorService::handle(const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Path == "/healthz")
    return health(*Exchange);
  if (Request.Path == "/readyz")
    return readiness(*Exchange);
  if (Request.Path == "/metrics")
    return Exchange->respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()});
  if (Control == nullptr)
    return Exchange->respond(
        errorResponse(StatusMisdirected, "this process isn't a control host"));
  if (Request.Path == "/v1/manifest" && Request.Method == HttpMethod::Post)
    return applyManifest(Request, Exchange);
  nlohmann::json (*Report)(const ControlNode &, const ControlState &) = nullptr;
  if (Request.Path == "/v1/status")
    Report = &statusReport;
  else if (Request.Path == "/v1/manifest")
    Report = &manifestReport;
  else if (Request.Path == "/v1/audit")
    Report = [](const ControlNode &, const ControlState &State) {
      return auditReport(State);
    };
  if (Report == nullptr)
    return Exchange->respond(errorResponse(StatusNotFound, "no such path"));
  Control->readLatest(
      [this, Exchange, Report](Expected<const ControlState *> State) {
        if (!State)
          Exchange->respond(
              errorResponse(StatusMisdirected, State.error().Message));
        else
          Exchange->respond(jsonResponse(Report(*Control, **State)));
      });
}

void OperatorService::applyManifest(
    const HttpRequest &Request, const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Given = Request.header("Manifest-File");
  auto Parsed = parseManifest(Given.empty() ? "manifest" : Given, Request.Body);
  if (!Parsed) {
    Exchange->respond(errorResponse(StatusBadRequest, text(Parsed.error())));
    return;
  }
  const std::string &Actor = Request.header("Operator");
  const std::uint64_t Version = Parsed->Version;
  const std::string Digest = Parsed->digest();
  if (!Control->consensus().isLeader()) {
    Exchange->respond(
        errorResponse(StatusMisdirected, "this control host doesn't lead"));
    return;
  }
  Control->propose(
      Actor.empty() ? "unnamed" : Actor,
      ApplyManifest{std::move(*Parsed), Request.Body},
      [Exchange, Version, Digest](Expected<ApplyResult> Result) {
        if (!Result)
          return Exchange->respond(
              errorResponse(StatusUnavailable, Result.error().Message));
        if (Result->Refusal)
          return Exchange->respond(errorResponse(statusOf(*Result->Refusal),
                                                 Result->Refusal->Message));
        Exchange->respond(jsonResponse({{"accepted", true},
                                        {"version", Version},
                                        {"digest", Digest},
                                        {"revision", Result->Revision}}));
      });
}

void OperatorService::health(HttpExchange &Exchange) const {
  Exchange.respond({200, {}, "alive\n"});
}

void OperatorService::readiness(HttpExchange &Exchange) const {
  if (Proxy == nullptr || Proxy->isReady())
    Exchange.respond({200, {}, "ready\n"});
  else
    Exchange.respond({StatusUnavailable, {}, "no lease\n"});
}

std::string OperatorService::metrics() const {
  prometheus::Registry Registry;
  if (Proxy != nullptr) {
    const StatementCounts &Counts = Proxy->statements().counts();
    auto &Reads = prometheus::BuildCounter()
                      .Name("corianderdyke_reads_total")
                      .Help("Reads answered, by the role that served them.")
                      .Register(Registry);
    Reads.Add({{"served_by", "replica"}})
        .Increment(static_cast<double>(Counts.ReadsByReplica));
    Reads.Add({{"served_by", "primary"}})
        .Increment(static_cast<double>(Counts.ReadsByPrimary));
    auto &Outcomes = prometheus::BuildCounter()
                         .Name("corianderdyke_statements_total")
                         .Help("Statements by what the caller was told.")
                         .Register(Registry);
    Outcomes.Add({{"outcome", "not-run"}})
        .Increment(static_cast<double>(Counts.NotRun));
    Outcomes.Add({{"outcome", "unknown"}})
        .Increment(static_cast<double>(Counts.Unknown));
    Outcomes.Add({{"outcome", "write-done"}})
        .Increment(static_cast<double>(Counts.Writes));
    prometheus::BuildGauge()
        .Name("corianderdyke_lease_held")
        .Help("1 while the proxy may serve.")
        .Register(Registry)
        .Add({})
        .Set(Proxy->isReady() ? 1 : 0);
  }
  if (Control != nullptr) {
    prometheus::BuildGauge()
        .Name("corianderdyke_control_leader")
        .Help("1 on the leading control host.")
        .Register(Registry)
        .Add({})
        .Set(Control->consensus().isSettledLeader() ? 1 : 0);
    prometheus::BuildGauge()
        .Name("corianderdyke_control_revision")
        .Help("Revision that this control host has applied.")
        .Register(Registry)
        .Add({})
        .Set(static_cast<double>(Control->applied().view().Revision));
  }
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace corianderdyke
