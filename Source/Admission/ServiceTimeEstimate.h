/// \file
/// Estimates the service time of statements without their wait at the target.
///
/// A statement holds its connection while it waits inside the target and while
/// it runs. If reports of 200 ms run among lookups of 4 ms and the whole time
/// is charged, a lookup that waited behind reports costs as much as a report,
/// and reports get as many slots of the target as lookups. With equal shares
/// the lookups then reach 79 of 1200 a second; with this estimate they reach
/// 568 (scenario long, Riga).
///
/// Statements of all flows wait equally long at one target, so the mean times
/// of two flows differ by their service times. The shortest flow is charged the
/// minimum of its latest 32 samples, which is closest to a time without any
/// wait; every other flow is charged that plus its difference of means. A
/// shortest flow of very uneven statements is charged too little, but with the
/// tenth percentile of the latest samples instead of the minimum, the lookups
/// reach only 454.

#ifndef CORIANDERDYKE_ADMISSION_SERVICETIMEESTIMATE_H
#define CORIANDERDYKE_ADMISSION_SERVICETIMEESTIMATE_H

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corianderdyke {

class ServiceTimeEstimate {
public:
  /// The names of an organisation and of one of its kinds.
  using FlowKey = std::pair<std::string, std::string>;

  void observe(const FlowKey &Key, double Spent);

  /// Estimated milliseconds; nothing before the flow's first statement has
  /// ended.
  std::optional<double> serviceTime(const FlowKey &Key) const;

private:
  static constexpr std::size_t WindowSize = 32;

  struct FlowSamples {
    double Mean = 0;
    std::array<double, WindowSize> Latest = {};
    std::size_t Count = 0;

    double minimum() const;
  };

  std::map<FlowKey, FlowSamples> Flows;
};

} // namespace corianderdyke

#endif
