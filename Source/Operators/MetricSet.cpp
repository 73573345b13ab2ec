/// \file
/// The metrics of a process and their catalogue.

#include "Operators/MetricSet.h"

#include <limits>
#include <prometheus/text_serializer.h>
#include <stdexcept>

namespace corianderdyke {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double MillisPerSecond = 1000.0;

const char *typeName(MetricType Type) {
  switch (Type) {
  case MetricType::Counter:
    return "counter";
  case MetricType::Histogram:
    return "histogram";
  default:
    return "gauge";
  }
}

double seconds(Millis Duration) {
  return static_cast<double>(Duration.count()) / MillisPerSecond;
}

} // namespace

const std::vector<MetricDescription> &metricCatalogue() {
  static const std::vector<MetricDescription> All = {
      {"corianderdyke_build_info", MetricType::Gauge, "version, revision",
       "all",
       "Always 1; the labels tell the version and the revision of the "
       "sources."},
      {"corianderdyke_reads_total", MetricType::Counter, "served_by", "proxy",
       "Reads answered, by the role of the target that served them."},
      {"corianderdyke_statements_total", MetricType::Counter, "outcome",
       "proxy", "Statements by what the caller was told."},
      {"corianderdyke_statements_in_flight", MetricType::Gauge, "", "proxy",
       "Statements that wait for their answer."},
      {"corianderdyke_lease_held", MetricType::Gauge, "", "proxy",
       "1 while the proxy may serve."},
      {"corianderdyke_ready", MetricType::Gauge, "", "proxy",
       "1 while the balancer may send callers."},
      {"corianderdyke_applied_revision", MetricType::Gauge, "", "proxy",
       "Revision of the decisions by which the proxy works."},
      {"corianderdyke_manifest_version", MetricType::Gauge, "", "all",
       "Version of the manifest that the process knows."},
      {"corianderdyke_database_write_gap_seconds", MetricType::Histogram, "",
       "proxy",
       "Time in which a database wasn't writable through this proxy, from "
       "the failed primary's last answer on."},
      {"corianderdyke_queue_length", MetricType::Gauge, "database, access",
       "proxy", "Statements that wait here for a connection to a target."},
      {"corianderdyke_queue_sent_total", MetricType::Counter,
       "database, access", "proxy",
       "Statements that left the queue for a "
       "target."},
      {"corianderdyke_queue_wait_seconds_total", MetricType::Counter,
       "database, access", "proxy",
       "Time that the statements which were sent had waited, in sum."},
      {"corianderdyke_refusals_total", MetricType::Counter,
       "database, access, reason", "proxy",
       "Statements that were refused, or given up, in the queue."},
      {"corianderdyke_read_retries_total", MetricType::Counter, "", "proxy",
       "Reads that were sent again after an answer was lost."},
      {"corianderdyke_over_quota_refusals_total", MetricType::Counter, "",
       "proxy",
       "Operations that were refused since their organisation was over "
       "its quota."},
      {"corianderdyke_late_statements_waiting", MetricType::Gauge, "", "proxy",
       "Statements past their objective that wait here for capacity that "
       "others leave."},
      {"corianderdyke_late_statements_started_total", MetricType::Counter, "",
       "proxy", "Statements that started here after such a wait."},
      {"corianderdyke_late_statements_refused_total", MetricType::Counter, "",
       "proxy",
       "Statements refused here because they could not start early enough to "
       "be answered before their timeout."},
      {"corianderdyke_served_late_total", MetricType::Counter, "outcome",
       "proxy",
       "Reads and writes answered after their objective, where targets enforce "
       "leadership."},
      {"corianderdyke_quota_seats", MetricType::Gauge, "", "proxy",
       "Parts of organisations' quotas that this proxy gives out permits of."},
      {"corianderdyke_permits_asked_through_control_total", MetricType::Counter,
       "outcome", "proxy",
       "Requests for permits that went through a control host because a "
       "holder did not answer this proxy: sent, and answered."},
      {"corianderdyke_permit_forwards_total", MetricType::Counter, "outcome",
       "control",
       "Requests for permits that a control host passed on, replies that it "
       "returned, and requests that it dropped."},
      {"corianderdyke_peers_unreachable", MetricType::Gauge, "", "proxy",
       "Other proxies that get no statements until they answer a ping."},
      {"corianderdyke_peer_pings_total", MetricType::Counter, "", "proxy",
       "Pings sent to other proxies."},
      {"corianderdyke_statements_moved_total", MetricType::Counter, "", "proxy",
       "Statements that found their gateway silent or unreachable, once for "
       "each such gateway."},
      {"corianderdyke_target_age_seconds", MetricType::Gauge, "target", "proxy",
       "How old the target's data may be at the most, as this proxy knows; "
       "missing where that can't be told."},
      {"corianderdyke_target_reachable", MetricType::Gauge, "target", "proxy",
       "1 while the target answers this proxy."},
      {"corianderdyke_connection_rights", MetricType::Gauge, "target", "proxy",
       "Connections to the target that control has lent to this proxy."},
      {"corianderdyke_connections_lent", MetricType::Gauge, "target", "control",
       "Connections to the target that may be open over all proxies, on the "
       "leading control host."},
      {"corianderdyke_failover_seconds", MetricType::Histogram, "", "control",
       "Time from the fencing of a primary to the promotion of the next, on "
       "the leading control host."},
      {"corianderdyke_control_leader", MetricType::Gauge, "", "control",
       "1 on the leading control host."},
      {"corianderdyke_control_term", MetricType::Gauge, "", "control",
       "Term of the control group's leadership."},
      {"corianderdyke_control_revision", MetricType::Gauge, "", "control",
       "Revision that this control host has applied."},
      {"corianderdyke_group_promoted", MetricType::Gauge, "database", "control",
       "1 while the database has a primary."},
      {"corianderdyke_group_term", MetricType::Gauge, "database", "control",
       "Term of the database's primary; it rises with every change."},
      {"corianderdyke_proxies", MetricType::Gauge, "", "control",
       "Proxies that may hold a lease."},
      {"corianderdyke_statement_seconds", MetricType::Histogram, "outcome",
       "proxy",
       "Time from a statement's wait for a connection to its result, where "
       "targets enforce leadership."},
      {"corianderdyke_statement_refusals_total", MetricType::Counter, "code",
       "proxy",
       "Statements without a result by what the caller was told, where "
       "targets enforce leadership."},
      {"corianderdyke_sessions", MetricType::Gauge, "", "proxy",
       "Callers' sessions that are open."},
      {"corianderdyke_target_connections", MetricType::Gauge, "target", "proxy",
       "Connections to the target that are open or being opened."},
      {"corianderdyke_target_connections_busy", MetricType::Gauge, "target",
       "proxy", "Connections on which a statement or transaction runs."},
      {"corianderdyke_target_connections_opened_total", MetricType::Counter, "",
       "proxy", "Connections to targets that were begun."},
      {"corianderdyke_target_connections_refused_total", MetricType::Counter,
       "", "proxy",
       "Connections that a target refused because it had as many as it takes."},
      {"corianderdyke_unexpected_answers_total", MetricType::Counter, "outcome",
       "proxy",
       "Answers of targets that belong to no statement: repeated (dropped), "
       "mismatched or malformed (ended their connections)."},
      {"corianderdyke_malformed_lines_total", MetricType::Counter, "", "proxy",
       "Lines of callers that are no message, are not allowed at that point, "
       "or are malformed statements."},
      {"corianderdyke_reads_lagging_total", MetricType::Counter, "", "proxy",
       "Tries of reads that a target refused because its log lacked the "
       "required position."},
      {"corianderdyke_reads_lacking_replica_total", MetricType::Counter, "",
       "proxy",
       "Reads sent to the leader because no replica held the required "
       "position."},
      {"corianderdyke_replica_position", MetricType::Gauge, "target", "proxy",
       "Latest known position of the replica's log within its term."},
      {"corianderdyke_replica_rate", MetricType::Gauge, "target", "proxy",
       "Records per second that the replica applies; missing while not known."},
      {"corianderdyke_plan_version", MetricType::Gauge, "", "all",
       "Version of the plan that the process works by; 0 before the first."},
      {"corianderdyke_control_voters", MetricType::Gauge, "", "control",
       "Voters of the control group as this host knows them."},
      {"corianderdyke_control_voters_silent", MetricType::Gauge, "", "control",
       "Voters that have not replied for 1.5 s, on the leading control host "
       "where targets enforce leadership."},
      {"corianderdyke_heartbeats_refused_total", MetricType::Counter,
       "conflict", "control",
       "Heartbeats of groups that the plan does not name, refused because a "
       "target of a named group has the id or address, or because of the limit "
       "of such targets."},
      {"corianderdyke_promotion_steps_total", MetricType::Counter, "step",
       "control", "Steps of changes of primary, on the leading control host."},
      {"corianderdyke_promotion_awaited_targets", MetricType::Gauge, "group",
       "control",
       "Targets without an answer that may hold acknowledged commits and that "
       "a "
       "change of primary waits for, on the leading control host."},
      {"corianderdyke_promotion_open_orders", MetricType::Gauge, "group",
       "control",
       "Targets that an order without a known end may still promote, on the "
       "leading control host."},
      {"corianderdyke_lead_reliefs_total", MetricType::Counter, "", "control",
       "Times that the lead of a group was ordered off a saturated primary "
       "whose replicas lagged, on the leading control host."},
      {"corianderdyke_peer_sent_bytes_total", MetricType::Counter, "", "all",
       "Bytes sent to the system's other processes."},
      {"corianderdyke_peer_received_bytes_total", MetricType::Counter, "",
       "all", "Bytes received from the system's other processes."},
      {"corianderdyke_peer_rejected_total", MetricType::Counter, "", "all",
       "Messages on the peers' port that were refused: too long, or not "
       "sealed with the peers' key."},
      {"corianderdyke_timer_delay_seconds", MetricType::Histogram, "", "all",
       "Time from a timer's due moment to its run: a busy process or host, or "
       "a suspension."},
      {"corianderdyke_disk_sync_seconds", MetricType::Histogram, "", "control",
       "Time that the host took to make writes to the data folder last."},
      {"corianderdyke_elections_total", MetricType::Counter, "step", "control",
       "Elections that this host asked for, and those that a majority let it "
       "begin."},
  };
  return All;
}

std::string metricMarkdown() {
  std::string Out = "| name | type | labels | role | meaning |\n"
                    "| --- | --- | --- | --- | --- |\n";
  for (const MetricDescription &Each : metricCatalogue())
    Out += std::string("| `") + Each.Name + "` | " + typeName(Each.Type) +
           " | " + Each.Labels + " | " + Each.Role + " | " + Each.Help + " |\n";
  return Out;
}

MetricFamily &MetricSet::family(const std::string &Name) {
  for (MetricFamily &Each : Families)
    if (Each.name == Name)
      return Each;
  for (const MetricDescription &Each : metricCatalogue())
    if (Each.Name == Name)
      return Families.emplace_back(
          MetricFamily{Each.Name, Each.Help, Each.Type, {}});
  throw std::logic_error("metric '" + Name + "' is not in the catalogue");
}

void MetricSet::add(const std::string &Name, double Value, Labels WithLabels) {
  MetricFamily &To = family(Name);
  ClientMetric New;
  New.label = std::move(WithLabels);
  if (To.type == MetricType::Counter)
    New.counter.value = Value;
  else
    New.gauge.value = Value;
  To.metric.push_back(std::move(New));
}

void MetricSet::add(const std::string &Name, Millis Duration,
                    Labels WithLabels) {
  add(Name, seconds(Duration), std::move(WithLabels));
}

void MetricSet::add(const std::string &Name, const DurationHistogram &Durations,
                    Labels WithLabels) {
  ClientMetric New;
  New.label = std::move(WithLabels);
  New.histogram.sample_count = Durations.total();
  New.histogram.sample_sum = seconds(Durations.sum());
  std::uint64_t Cumulative = 0;
  for (std::size_t Index = 0; Index <= DurationHistogram::Bounds.size();
       ++Index) {
    Cumulative += Durations.count(Index);
    const bool IsLast = Index == DurationHistogram::Bounds.size();
    New.histogram.bucket.push_back(
        {Cumulative, IsLast ? std::numeric_limits<double>::infinity()
                            : seconds(DurationHistogram::Bounds[Index])});
  }
  family(Name).metric.push_back(std::move(New));
}

void MetricSet::add(const ProcessLatencies &Latencies) {
  if (Latencies.TimerLatency != nullptr)
    add("corianderdyke_timer_delay_seconds", *Latencies.TimerLatency);
  if (Latencies.SyncLatency != nullptr)
    add("corianderdyke_disk_sync_seconds", *Latencies.SyncLatency);
}

std::string MetricSet::text() const {
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace corianderdyke
