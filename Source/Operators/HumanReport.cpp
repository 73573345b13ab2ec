/// \file
/// Formats the operators' JSON reports as text for people.

#include "Operators/HumanReport.h"

#include "Operators/TextTable.h"

#include <ctime>

namespace corianderdyke {

namespace {

using nlohmann::json;

constexpr std::size_t ShownDigestLength = 12;
constexpr std::int64_t MillisPerSecond = 1000;

/// A field as text; empty if it is missing or null.
std::string cell(const json &From, const char *Name) {
  const auto Found = From.find(Name);
  if (Found == From.end() || Found->is_null())
    return "";
  if (Found->is_string())
    return Found->get<std::string>();
  if (Found->is_boolean())
    return Found->get<bool>() ? "yes" : "no";
  return Found->dump();
}

const json &list(const json &From, const char *Name) {
  static const json Empty = json::array();
  const auto Found = From.find(Name);
  return Found == From.end() || !Found->is_array() ? Empty : *Found;
}

std::string withUnit(const std::string &Value, const char *Unit) {
  return Value.empty() ? "unknown" : Value + Unit;
}

std::string wallTime(const json &From) {
  const auto Found = From.find("wall_time_ms");
  if (Found == From.end() || !Found->is_number())
    return "";
  const auto Seconds =
      static_cast<std::time_t>(Found->get<std::int64_t>() / MillisPerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::string Out(sizeof("2026-01-01T00:00:00Z"), '\0');
  Out.resize(
      std::strftime(Out.data(), Out.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts));
  return Out;
}

std::string tableText(const json &Rows,
                      const std::vector<const char *> &Columns) {
  TextTable Out(std::vector<std::string>(Columns.begin(), Columns.end()));
  for (const json &Row : Rows) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const char *Column : Columns)
      Cells.push_back(cell(Row, Column));
    Out.add(std::move(Cells));
  }
  return Out.text();
}

std::string targetTable(const json &Groups) {
  TextTable Out({"target", "database", "role", "address", "failure domain",
                 "settled", "reachable from", "silent for"});
  for (const json &Group : Groups)
    for (const json &Each : list(Group, "targets"))
      Out.add({cell(Each, "name"), cell(Group, "database"), cell(Each, "role"),
               cell(Each, "address"), cell(Each, "failure_domain"),
               cell(Each, "settled"),
               cell(Each, "reachable_from") + " of " + cell(Each, "watched_by"),
               withUnit(cell(Each, "silent_for_ms"), " ms")});
  return Out.text();
}

std::string proxyTable(const json &Proxies) {
  TextTable Out({"proxy", "failure domain", "lease left", "manifest",
                 "revision", "heard"});
  for (const json &Each : Proxies)
    Out.add({cell(Each, "name"), cell(Each, "failure_domain"),
             cell(Each, "lease_left_ms").empty()
                 ? "none"
                 : cell(Each, "lease_left_ms") + " ms",
             cell(Each, "manifest_version"), cell(Each, "applied_revision"),
             withUnit(cell(Each, "heard_ms_ago"), " ms ago")});
  return Out.text();
}

} // namespace

std::string statusText(const json &Report) {
  return "control: leader " + cell(Report, "leader") + ", term " +
         cell(Report, "control_term") + ", revision " +
         cell(Report, "revision") + "\nmanifest: version " +
         cell(Report, "manifest_version") +
         ", in force: " + cell(Report, "manifest_in_force") + "\n\n" +
         tableText(list(Report, "control_hosts"), {"name", "seat"}) + "\n" +
         tableText(list(Report, "groups"),
                   {"database", "phase", "term", "primary"}) +
         "\n" + targetTable(list(Report, "groups")) + "\n" +
         proxyTable(list(Report, "proxies"));
}

std::string auditText(const json &Report) {
  TextTable Out({"revision", "time", "actor", "action", "subject", "from", "to",
                 "reason"});
  for (const json &Each : Report)
    Out.add({cell(Each, "revision"), wallTime(Each), cell(Each, "actor"),
             cell(Each, "action"), cell(Each, "subject"), cell(Each, "from"),
             cell(Each, "to"), cell(Each, "reason")});
  return Out.text();
}

std::string manifestText(const json &Report) {
  if (cell(Report, "version") == "0")
    return "no manifest was applied yet\n";
  return "# version " + cell(Report, "version") + ", digest " +
         cell(Report, "digest") + "\n# applied by " + cell(Report, "actor") +
         " at revision " + cell(Report, "revision") +
         ", in force: " + cell(Report, "in_force") + "\n" +
         cell(Report, "text");
}

std::string manifestHistoryText(const json &Report) {
  TextTable Out({"version", "digest", "revision", "time", "actor"});
  for (const json &Each : Report)
    Out.add({cell(Each, "version"),
             cell(Each, "digest").substr(0, ShownDigestLength),
             cell(Each, "revision"), wallTime(Each), cell(Each, "actor")});
  return Out.text();
}

std::string manifestDifferenceText(const json &Report) {
  std::string Out = "would be " + cell(Report, "would_be") + "\n";
  if (!cell(Report, "refusal").empty())
    Out += cell(Report, "refusal") + "\n";
  if (list(Report, "differences").empty())
    return Out + "no differences\n";
  return Out + tableText(list(Report, "differences"), {"item", "from", "to"});
}

std::string manifestAcceptedText(const json &Report) {
  return "accepted: version " + cell(Report, "version") + ", digest " +
         cell(Report, "digest").substr(0, ShownDigestLength) + ", revision " +
         cell(Report, "revision") + "\n";
}

std::string errorText(const json &Report) {
  std::string Out = cell(Report, "error") + "\n";
  for (const json &Each : list(Report, "findings"))
    Out += cell(Each, "text") + "\n";
  return Out;
}

} // namespace corianderdyke
