/// \file
/// Serves operators over HTTP: status, manifest, audit and metrics.

#include "Operators/OperatorService.h"

#include "Common/Cryptography.h"
#include "Common/JsonText.h"
#include "Common/Version.h"
#include "Manifest/ManifestFile.h"
#include "Operators/ElectionMetrics.h"
#include "Operators/StatusReport.h"

namespace corianderdyke {

namespace {

constexpr int StatusAccepted = 202;
constexpr int StatusBadRequest = 400;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

HttpResponse jsonResponse(const nlohmann::json &Body, int Status = 200) {
  return {
      Status, {{"Content-Type", "application/json"}}, jsonText(Body, 2) + "\n"};
}

HttpResponse errorResponse(int Status, const std::string &Message) {
  return jsonResponse({{"error", Message}}, Status);
}

HttpResponse findingsResponse(const Findings &All) {
  return jsonResponse({{"error", "the manifest has findings"},
                       {"findings", findingsReport(All)}},
                      StatusBadRequest);
}

int statusOf(const Error &Problem) {
  switch (Problem.Code) {
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

std::string fileOf(const HttpRequest &Request) {
  const std::string &Value = Request.header(operator_header::ManifestFile);
  return Value.empty() ? "manifest" : Value;
}

std::string actorOf(const HttpRequest &Request) {
  const std::string &Value = Request.header(operator_header::Name);
  return Value.empty() ? "unnamed" : Value;
}

/// Answers a change; on success with \p Accepted and the revision.
ControlNode::ChangeHandler
answerChange(const std::shared_ptr<HttpExchange> &Exchange,
             nlohmann::json Accepted) {
  return [Exchange,
          Accepted = std::move(Accepted)](const Expected<ApplyResult> &Result) {
    if (!Result)
      return Exchange->respond(
          errorResponse(statusOf(Result.error()), Result.error().Message));
    if (Result->Refusal)
      return Exchange->respond(
          errorResponse(statusOf(*Result->Refusal), Result->Refusal->Message));
    nlohmann::json Body = Accepted;
    Body["revision"] = Result->Revision;
    Exchange->respond(jsonResponse(Body));
  };
}

} // namespace

OperatorService::OperatorService(OperatorSources From, std::string OperatorKey)
    : From(From), OperatorKey(std::move(OperatorKey)) {
  if (From.Control != nullptr)
    From.Control->signalAudited().connect(
        sigc::mem_fun(*this, &OperatorService::recordFailoverDuration));
}

void OperatorService::handle(const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Method == HttpMethod::Post)
    handleChange(Request, Exchange);
  else
    handleRead(Request, Exchange);
}

void OperatorService::handleRead(const HttpRequest &Request,
                                 const ExchangePtr &Exchange) {
  if (Request.Path == "/healthz")
    return Exchange->respond({200, {}, "alive\n"});
  if (Request.Path == "/readyz")
    return Exchange->respond(
        isReady() ? HttpResponse{200, {}, "ready\n"}
                  : HttpResponse{StatusUnavailable,
                                 {},
                                 Stopping ? "stopping\n" : "no lease\n"});
  if (Request.Path == "/metrics")
    return Exchange->respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()});
  const Millis Now = From.Time.now();
  if (Request.Path == "/v1/status")
    return respondWithLatestState(
        Exchange, [this, Now](const ControlState &State) {
          return statusReport(*From.Control, State, Now);
        });
  if (Request.Path == "/v1/manifest")
    return respondWithLatestState(Exchange, [this](const ControlState &State) {
      return manifestReport(*From.Control, State);
    });
  if (Request.Path == "/v1/manifest/history")
    return respondWithLatestState(Exchange, &manifestHistoryReport);
  if (Request.Path == "/v1/audit")
    return respondWithLatestState(
        Exchange,
        [Since = numberOr(Request.parameter("since"), 0),
         Subject = Request.parameter("subject")](const ControlState &State) {
          return auditReport(State, Since, Subject);
        });
  Exchange->respond(errorResponse(StatusNotFound, "no such path"));
}

void OperatorService::handleChange(const HttpRequest &Request,
                                   const ExchangePtr &Exchange) {
  // A dry run changes nothing and needs no key.
  if (Request.Path == "/v1/manifest/diff")
    return compareManifest(Request, Exchange);
  if (!equalsInConstantTime(Request.header(operator_header::Key), OperatorKey))
    return Exchange->respond(errorResponse(StatusForbidden,
                                           "the operators' key is missing or "
                                           "wrong"));
  if (Request.Path == "/v1/drain")
    return drainProcess(Exchange);
  using Action =
      void (OperatorService::*)(const HttpRequest &, const ExchangePtr &);
  static const std::map<std::string, Action> Actions = {
      {"/v1/manifest", &OperatorService::applyManifest},
      {"/v1/targets/drain", &OperatorService::drainTarget},
      {"/v1/control/add", &OperatorService::addControlHost},
      {"/v1/control/remove", &OperatorService::removeControlHost}};
  const auto Found = Actions.find(Request.Path);
  if (Found == Actions.end())
    return Exchange->respond(errorResponse(StatusNotFound, "no such path"));
  if (From.Control == nullptr)
    return Exchange->respond(
        errorResponse(StatusMisdirected, "this process isn't a control host"));
  if (!From.Control->consensus().isLeader())
    return Exchange->respond(
        errorResponse(StatusMisdirected, "this control host doesn't lead"));
  (this->*Found->second)(Request, Exchange);
}

void OperatorService::respondWithLatestState(const ExchangePtr &Exchange,
                                             Report MakeReport) {
  if (From.Control == nullptr)
    return Exchange->respond(
        errorResponse(StatusMisdirected, "this process isn't a control host"));
  From.Control->readLatest([Exchange, MakeReport = std::move(MakeReport)](
                               Expected<const ControlState *> State) {
    if (!State)
      Exchange->respond(
          errorResponse(StatusMisdirected, State.error().Message));
    else
      Exchange->respond(jsonResponse(MakeReport(**State)));
  });
}

void OperatorService::applyManifest(const HttpRequest &Request,
                                    const ExchangePtr &Exchange) {
  auto Parsed = parseManifest(fileOf(Request), Request.Body);
  if (!Parsed)
    return Exchange->respond(findingsResponse(Parsed.error()));
  const std::uint64_t Version = Parsed->Version;
  const nlohmann::json Accepted = {
      {"accepted", true}, {"version", Version}, {"digest", Parsed->digest()}};
  From.Control->propose(actorOf(Request),
                        ApplyManifest{std::move(*Parsed), Request.Body},
                        answerChange(Exchange, Accepted));
}

void OperatorService::compareManifest(const HttpRequest &Request,
                                      const ExchangePtr &Exchange) {
  const auto Parsed = parseManifest(fileOf(Request), Request.Body);
  if (!Parsed)
    return Exchange->respond(findingsResponse(Parsed.error()));
  respondWithLatestState(Exchange, [New = *Parsed, Text = Request.Body](
                                       const ControlState &State) {
    return manifestDifferenceReport(State, New, Text);
  });
}

void OperatorService::drainTarget(const HttpRequest &Request,
                                  const ExchangePtr &Exchange) {
  const std::string &Name = Request.parameter("name");
  const TargetAnnouncement *Known =
      From.Control->appliedState().view().target(Name);
  if (Known == nullptr)
    return Exchange->respond(
        errorResponse(StatusNotFound, "no target '" + Name + "'"));
  // With the next sequence, the target's own repeated announcement does not
  // cancel the drain, but that of its next incarnation does.
  TargetAnnouncement Leaving = *Known;
  Leaving.Leaving = true;
  ++Leaving.Sequence;
  From.Control->propose(actorOf(Request), RecordTarget{std::move(Leaving)},
                        answerChange(Exchange, {{"draining", Name}}));
}

void OperatorService::addControlHost(const HttpRequest &Request,
                                     const ExchangePtr &Exchange) {
  const std::string &Name = Request.parameter("name");
  From.Control->addControlHost(
      Name, withAuditRecord(actorOf(Request), "control-host-added", Name,
                            answerChange(Exchange, {{"added", Name}})));
}

void OperatorService::removeControlHost(const HttpRequest &Request,
                                        const ExchangePtr &Exchange) {
  const std::string &Name = Request.parameter("name");
  From.Control->removeControlHost(
      Name, withAuditRecord(actorOf(Request), "control-host-removed", Name,
                            answerChange(Exchange, {{"removed", Name}})));
}

ControlNode::ChangeHandler
OperatorService::withAuditRecord(std::string Actor, std::string Action,
                                 std::string Name,
                                 ControlNode::ChangeHandler OnDone) {
  return [this, Actor = std::move(Actor), Action = std::move(Action),
          Name = std::move(Name),
          OnDone = std::move(OnDone)](const Expected<ApplyResult> &Result) {
    if (!Result || Result->Refusal)
      return OnDone(Result);
    // The change stands whether or not the audit record can be added: a leader
    // that removed itself cannot add it.
    From.Control->propose(
        Actor, RecordAuditEvent{Action, Name, "ordered by an operator"},
        [OnDone, Result](const Expected<ApplyResult> &) { OnDone(Result); });
  };
}

void OperatorService::drainProcess(const ExchangePtr &Exchange) {
  Exchange->respond(jsonResponse(
      {{"draining", true},
       {"in_flight",
        From.Proxy == nullptr ? 0 : From.Proxy->statements().openStatements()}},
      StatusAccepted));
  DrainRequested.emit();
}

bool OperatorService::isReady() const {
  return !Stopping && (From.Proxy == nullptr || From.Proxy->isReady());
}

void OperatorService::recordFailoverDuration(const AuditRecord &Record) {
  const Millis Now = From.Time.now();
  if (Record.Action == "primary-fenced")
    FencedAt[Record.Subject] = Now;
  const auto Fenced = FencedAt.find(Record.Subject);
  if (Record.Action != "target-promoted" || Fenced == FencedAt.end())
    return;
  // A follower, or a host that replays its journal, also receives old records.
  if (From.Control->consensus().isReadyLeader())
    Failovers.observe(Now - Fenced->second);
  FencedAt.erase(Fenced);
}

std::string OperatorService::metrics() const {
  MetricSet Out;
  Out.add("corianderdyke_build_info", 1,
          {{"version", ProgramVersion}, {"revision", SourceRevision}});
  const ClusterView *View = nullptr;
  if (From.Proxy != nullptr) {
    addProxyMetrics(Out);
    View = &From.Proxy->view();
  }
  if (From.Control != nullptr) {
    addControlMetrics(Out);
    View = &From.Control->appliedState().view();
  }
  if (View != nullptr && View->CurrentManifest)
    Out.add("corianderdyke_manifest_version",
            static_cast<double>(View->CurrentManifest->Version));
  const PeerTraffic Peers = From.Peers.traffic();
  Out.add("corianderdyke_peer_sent_bytes_total",
          static_cast<double>(Peers.SentBytes));
  Out.add("corianderdyke_peer_received_bytes_total",
          static_cast<double>(Peers.ReceivedBytes));
  Out.add("corianderdyke_peer_rejected_total",
          static_cast<double>(Peers.Rejected));
  Out.add(From.Latencies);
  return Out.text();
}

void OperatorService::addProxyMetrics(MetricSet &To) const {
  const StatementCounts &Counts = From.Proxy->statements().counts();
  const auto Count = [&To](const char *Name, const char *Label,
                           const char *Value, std::uint64_t Number) {
    To.add(Name, static_cast<double>(Number), {{Label, Value}});
  };
  Count("corianderdyke_reads_total", "served_by", "replica",
        Counts.ReadsByReplica);
  Count("corianderdyke_reads_total", "served_by", "primary",
        Counts.ReadsByPrimary);
  Count("corianderdyke_statements_total", "outcome", "not-run", Counts.NotRun);
  Count("corianderdyke_statements_total", "outcome", "unknown", Counts.Unknown);
  Count("corianderdyke_statements_total", "outcome", "read-done",
        Counts.ReadsByReplica + Counts.ReadsByPrimary);
  Count("corianderdyke_statements_total", "outcome", "write-done",
        Counts.Writes);
  To.add("corianderdyke_statements_in_flight",
         static_cast<double>(From.Proxy->statements().openStatements()));
  addAdmissionMetrics(To);
  addTargetMetrics(To);
  To.add("corianderdyke_lease_held",
         From.Proxy->lease().isHeld(From.Time.now()) ? 1 : 0);
  To.add("corianderdyke_ready", isReady() ? 1 : 0);
  To.add("corianderdyke_applied_revision",
         static_cast<double>(From.Proxy->lease().appliedRevision()));
  To.add("corianderdyke_database_write_gap_seconds",
         From.Proxy->writeGaps().gaps());
}

void OperatorService::addAdmissionMetrics(MetricSet &To) const {
  const StatementService &Statements = From.Proxy->statements();
  for (const QueueStatus &Each : Statements.queues()) {
    const MetricSet::Labels QueueLabels = {
        {"database", Each.Database},
        {"access", Each.Mode == Access::Read ? "read" : "write"}};
    const AdmissionCounts &Counts = Each.Counts;
    To.add("corianderdyke_queue_length", static_cast<double>(Each.Queued),
           QueueLabels);
    To.add("corianderdyke_queue_sent_total", static_cast<double>(Counts.Sent),
           QueueLabels);
    To.add("corianderdyke_queue_wait_seconds_total", Counts.TotalWait,
           QueueLabels);
    const auto Refused = [&To, &QueueLabels](const char *Reason,
                                             std::uint64_t Count) {
      MetricSet::Labels All = QueueLabels;
      All.push_back({"reason", Reason});
      To.add("corianderdyke_refusals_total", static_cast<double>(Count), All);
    };
    Refused("deadline-out-of-reach", Counts.DeadlineOutOfReach);
    Refused("queue-full", Counts.QueueFull);
    Refused("displaced", Counts.Displaced);
    Refused("given-up", Counts.GivenUp);
  }
  To.add("corianderdyke_read_retries_total",
         static_cast<double>(Statements.retryBudget().taken()));
  for (const auto &[Target, Share] : From.Proxy->rights().allocations())
    To.add("corianderdyke_connection_rights", Share, {{"target", Target}});
}

void OperatorService::addTargetMetrics(MetricSet &To) const {
  const ClusterView &View = From.Proxy->view();
  const Millis Now = From.Time.now();
  for (const TargetReport &Each : From.Proxy->targets().reports(View, Now)) {
    const MetricSet::Labels TargetLabels = {{"target", Each.Target}};
    To.add("corianderdyke_target_reachable", Each.Reachable ? 1 : 0,
           TargetLabels);
    const TargetAnnouncement *Known = View.target(Each.Target);
    const GroupRecord *Group =
        Known == nullptr ? nullptr : View.group(Known->Database);
    if (Group == nullptr)
      continue;
    if (const auto Age = From.Proxy->targets().age(Each.Target, *Group, Now))
      To.add("corianderdyke_target_age_seconds", *Age, TargetLabels);
  }
}

void OperatorService::addControlMetrics(MetricSet &To) const {
  const Consensus &ControlGroup = From.Control->consensus();
  const ClusterView &View = From.Control->appliedState().view();
  To.add("corianderdyke_failover_seconds", Failovers);
  addElectionMetrics(To, From.Control->consensus());
  To.add("corianderdyke_control_leader", ControlGroup.isReadyLeader() ? 1 : 0);
  To.add("corianderdyke_control_term",
         static_cast<double>(ControlGroup.term()));
  To.add("corianderdyke_control_revision", static_cast<double>(View.Revision));
  To.add("corianderdyke_proxies", static_cast<double>(View.Proxies.size()));
  if (ControlGroup.isReadyLeader())
    for (const auto &[Name, Target] : View.Targets)
      To.add("corianderdyke_connections_lent",
             From.Control->connections().outstanding(Name), {{"target", Name}});
  for (const auto &[Name, Group] : View.Groups) {
    To.add("corianderdyke_group_promoted", Group.isWritable() ? 1 : 0,
           {{"database", Name}});
    To.add("corianderdyke_group_term", static_cast<double>(Group.Term),
           {{"database", Name}});
  }
}

} // namespace corianderdyke
