/// \file
/// The metrics of a process and their catalogue.

#ifndef CORIANDERDYKE_OPERATORS_METRICSET_H
#define CORIANDERDYKE_OPERATORS_METRICSET_H

#include "Common/DurationHistogram.h"
#include "Operators/ProcessLatencies.h"

#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace corianderdyke {

/// A metric of the catalogue. Help/metrics.md has the same rows.
struct MetricDescription {
  const char *Name;
  prometheus::MetricType Type;
  const char *Labels;
  const char *Role; ///< Role of the processes that export it, or "all".
  const char *Help;
};

const std::vector<MetricDescription> &metricCatalogue();

std::string metricMarkdown();

/// One snapshot of the metrics. Only metrics of the catalogue can be added.
class MetricSet {
public:
  using Labels = std::vector<prometheus::ClientMetric::Label>;

  void add(const std::string &Name, double Value, Labels WithLabels = {});
  /// Adds a duration in seconds, the unit that Prometheus expects.
  void add(const std::string &Name, Millis Duration, Labels WithLabels = {});
  void add(const std::string &Name, const DurationHistogram &Durations,
           Labels WithLabels = {});

  void add(const ProcessLatencies &Latencies);

  /// The Prometheus text format.
  std::string text() const;

private:
  prometheus::MetricFamily &family(const std::string &Name);

  std::vector<prometheus::MetricFamily> Families;
};

} // namespace corianderdyke

#endif
