/// \file
/// Metrics of a process where targets enforce leadership themselves.

#include "App/SteeringMetrics.h"

#include "App/StatementLogs.h"
#include "Common/Version.h"
#include "Operators/ElectionMetrics.h"

namespace corianderdyke {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

const char *outcomeOf(const SessionJob &Job) {
  if (Job.Stmt.Kind == StatementKind::Commit)
    return "commit";
  return Job.Writes ? "write" : "read";
}

} // namespace

SteeringMetrics::SteeringMetrics(SteeringSources Sources)
    : From(std::move(Sources)) {
  if (From.Pipeline != nullptr) {
    From.Pipeline->signalServed().connect([this](const SessionJob &Job,
                                                 const std::string &,
                                                 const StatementAnswer &) {
      Durations[outcomeOf(Job)].observe(From.Time.now() - Job.QueuedAt);
    });
    From.Pipeline->signalRefused().connect(
        [this](const CallerSession &, const Statement &,
               const StatementRefusal &Refusal, const std::string &) {
          ++Refusals[refusalCodeName(Refusal.Code)];
        });
    From.Pipeline->signalUnexpectedAnswer().connect(
        sigc::mem_fun(*this, &SteeringMetrics::countUnexpectedAnswer));
  }
  if (From.Broker != nullptr)
    From.Broker->signalUnexpectedAnswer().connect(
        sigc::mem_fun(*this, &SteeringMetrics::countUnexpectedAnswer));
  if (From.Callers != nullptr)
    From.Callers->signalMalformedLine().connect(
        [this](const MalformedLine &) { ++MalformedLines; });
  if (From.Control != nullptr)
    From.Control->promotionCoordinator().signalStep().connect(
        [this](const std::string &, const std::string &Step,
               const std::string &) { ++Steps[Step]; });
}

void SteeringMetrics::handle(const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
  if (Request.Path != "/metrics")
    return Exchange->respond({StatusNotFound, {}, "no such path\n"});
  Exchange->respond(
      {StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, text()});
}

std::string SteeringMetrics::text() const {
  MetricSet Out;
  Out.add("corianderdyke_build_info", 1,
          {{"version", ProgramVersion}, {"revision", SourceRevision}});
  const PeerTraffic Traffic = From.Peers.traffic();
  Out.add("corianderdyke_peer_sent_bytes_total",
          static_cast<double>(Traffic.SentBytes));
  Out.add("corianderdyke_peer_received_bytes_total",
          static_cast<double>(Traffic.ReceivedBytes));
  Out.add("corianderdyke_peer_rejected_total",
          static_cast<double>(Traffic.Rejected));
  if (From.Pipeline != nullptr)
    addProxy(Out);
  if (From.Control != nullptr)
    addControl(Out);
  Out.add(From.Latencies);
  return Out.text();
}

void SteeringMetrics::countUnexpectedAnswer(const UnexpectedAnswer &What) {
  ++UnexpectedAnswers[outcomeName(What)];
}

void SteeringMetrics::addProxy(MetricSet &To) const {
  const PipelineCounts &Counts = From.Pipeline->counts();
  const auto Count = [&To](const char *Name, const char *Label,
                           const std::string &Value, std::uint64_t Number) {
    To.add(Name, static_cast<double>(Number), {{Label, Value}});
  };
  Count("corianderdyke_reads_total", "served_by", "replica",
        Counts.ReadsByReplica);
  Count("corianderdyke_reads_total", "served_by", "primary",
        Counts.ReadsByPrimary);
  Count("corianderdyke_statements_total", "outcome", "not-run", Counts.NotRun);
  Count("corianderdyke_statements_total", "outcome", "unknown", Counts.Unknown);
  Count("corianderdyke_statements_total", "outcome", "failed", Counts.Failed);
  Count("corianderdyke_statements_total", "outcome", "write-done",
        Counts.Writes);
  Count("corianderdyke_statements_total", "outcome", "commit-done",
        Counts.Commits);
  for (const auto &[Outcome, Each] : Durations)
    To.add("corianderdyke_statement_seconds", Each, {{"outcome", Outcome}});
  for (const auto &[Code, Each] : Refusals)
    Count("corianderdyke_statement_refusals_total", "code", Code, Each);
  for (const auto &[Outcome, Each] : UnexpectedAnswers)
    Count("corianderdyke_unexpected_answers_total", "outcome", Outcome, Each);
  To.add("corianderdyke_malformed_lines_total",
         static_cast<double>(MalformedLines));
  To.add("corianderdyke_read_retries_total",
         static_cast<double>(Counts.Retries));
  To.add("corianderdyke_reads_lagging_total",
         static_cast<double>(Counts.LaggingRefusals));
  To.add("corianderdyke_reads_lacking_replica_total",
         static_cast<double>(Counts.ReadsLackingReplica));
  for (const ReplicaStatus &Each : From.Pipeline->replicas()) {
    To.add("corianderdyke_replica_position",
           static_cast<double>(Each.Position.Number),
           {{"target", Each.Target}});
    if (Each.Rate)
      To.add("corianderdyke_replica_rate", *Each.Rate,
             {{"target", Each.Target}});
  }
  To.add("corianderdyke_over_quota_refusals_total",
         static_cast<double>(Counts.OverQuota));
  if (From.Quotas != nullptr)
    To.add("corianderdyke_quota_seats",
           static_cast<double>(From.Quotas->held(From.Time.now())));
  if (From.Permits != nullptr) {
    const OperationPermits::ForwardCounts &Forwards =
        From.Permits->forwardCounts();
    Count("corianderdyke_permits_asked_through_control_total", "outcome",
          "sent", Forwards.Sent);
    Count("corianderdyke_permits_asked_through_control_total", "outcome",
          "answered", Forwards.Answered);
  }
  To.add("corianderdyke_sessions",
         static_cast<double>(From.Pipeline->sessions()));
  OpeningCounts Openings = Counts.Openings;
  if (From.Broker != nullptr) {
    Openings.Begun += From.Broker->openings().Begun;
    Openings.RefusedAtLimit += From.Broker->openings().RefusedAtLimit;
  }
  LateCounts Late = Counts.Late;
  std::size_t LateWaiting = From.Pipeline->lateWaiting();
  if (From.Broker != nullptr) {
    Late.Started += From.Broker->lateCounts().Started;
    Late.Refused += From.Broker->lateCounts().Refused;
    LateWaiting += From.Broker->lateWaiting();
  }
  To.add("corianderdyke_late_statements_waiting",
         static_cast<double>(LateWaiting));
  To.add("corianderdyke_late_statements_started_total",
         static_cast<double>(Late.Started));
  To.add("corianderdyke_late_statements_refused_total",
         static_cast<double>(Late.Refused));
  Count("corianderdyke_served_late_total", "outcome", "read",
        Counts.ReadsServedLate);
  Count("corianderdyke_served_late_total", "outcome", "write",
        Counts.WritesServedLate);
  To.add("corianderdyke_target_connections_opened_total",
         static_cast<double>(Openings.Begun));
  To.add("corianderdyke_target_connections_refused_total",
         static_cast<double>(Openings.RefusedAtLimit));
  if (From.Sharing != nullptr) {
    const PeerReachCounts Reach = From.Sharing->reachCounts();
    To.add("corianderdyke_peers_unreachable",
           static_cast<double>(Reach.Unreachable));
    To.add("corianderdyke_peer_pings_total", static_cast<double>(Reach.Pings));
    To.add("corianderdyke_statements_moved_total",
           static_cast<double>(Reach.MovedStatements));
  }
  for (const PoolReport &Each : From.Pipeline->pools()) {
    To.add("corianderdyke_target_connections",
           static_cast<double>(Each.Connections), {{"target", Each.Target}});
    To.add("corianderdyke_target_connections_busy",
           static_cast<double>(Each.Busy), {{"target", Each.Target}});
  }
  To.add("corianderdyke_ready", From.IsReady() ? 1 : 0);
  To.add("corianderdyke_plan_version",
         static_cast<double>(From.Pipeline->plan().Version));
}

void SteeringMetrics::addControl(MetricSet &To) const {
  const Consensus &ControlGroup = From.Control->consensus();
  addElectionMetrics(To, ControlGroup);
  To.add("corianderdyke_control_leader", From.Control->leads() ? 1 : 0);
  To.add("corianderdyke_control_term",
         static_cast<double>(ControlGroup.term()));
  To.add("corianderdyke_control_revision",
         static_cast<double>(ControlGroup.commitIndex()));
  To.add("corianderdyke_control_voters",
         static_cast<double>(ControlGroup.voters().size()));
  To.add(
      "corianderdyke_control_voters_silent",
      static_cast<double>(ControlGroup.silentVoters(From.Time.now()).size()));
  To.add("corianderdyke_proxies",
         static_cast<double>(From.Control->subscriberCount()));
  To.add("corianderdyke_plan_version",
         static_cast<double>(From.Control->state().plan().Version));
  const PermitForwardCounts &Forwards = From.Control->permitForwards();
  const auto AddForwards = [&To](const char *Outcome, std::uint64_t Number) {
    To.add("corianderdyke_permit_forwards_total", static_cast<double>(Number),
           {{"outcome", Outcome}});
  };
  AddForwards("passed", Forwards.Passed);
  AddForwards("returned", Forwards.Returned);
  AddForwards("over-limit", Forwards.OverLimit);
  AddForwards("unknown-proxy", Forwards.UnknownProxy);
  for (const auto &[Conflict, Each] : From.Control->refusedHeartbeats())
    To.add("corianderdyke_heartbeats_refused_total", static_cast<double>(Each),
           {{"conflict", Conflict}});
  for (const auto &[Step, Each] : Steps)
    To.add("corianderdyke_promotion_steps_total", static_cast<double>(Each),
           {{"step", Step}});
  for (const auto &[Group, Count] :
       From.Control->promotionCoordinator().awaitedTargets())
    To.add("corianderdyke_promotion_awaited_targets",
           static_cast<double>(Count), {{"group", Group}});
  for (const auto &[Group, Count] :
       From.Control->promotionCoordinator().openOrders())
    To.add("corianderdyke_promotion_open_orders", static_cast<double>(Count),
           {{"group", Group}});
  To.add("corianderdyke_lead_reliefs_total",
         static_cast<double>(From.Control->promotionCoordinator().reliefs()));
}

} // namespace corianderdyke
