/// \file
/// What statements cost a target, told apart from how long they wait in it.
///
/// Load pattern: reports of 200 ms among lookups of 4 ms. A statement holds
/// its connection while it waits inside the target and while it runs. Charged
/// by the whole time, a lookup that waited behind reports is as dear as they
/// are, and the reports take a place of the target for each lookup: with
/// equal shares the lookups got 79 of 1200 a second, now 568 (scenario long,
/// Riga).
///
/// The wait is the same for all that stand before one target, so the mean
/// times of two flows differ by what they cost. The shortest flow is charged
/// the least that any of its latest 32 took, which is nearest to no wait at
/// all; every other flow that and its difference of means. A shortest flow of
/// very uneven statements is charged too little; with the tenth part of the
/// latest instead, the lookups got 454.

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
  /// An organisation's name and that of its kind.
  using FlowKey = std::pair<std::string, std::string>;

  void observe(const FlowKey &Of, double Spent);

  /// Nothing before the flow's first statement has ended.
  std::optional<double> serviceTime(const FlowKey &Which) const;

private:
  static constexpr std::size_t WindowSize = 32;

  struct FlowSamples {
    double Mean = 0;
    std::array<double, WindowSize> Latest = {};
    std::size_t Count = 0;

    double least() const;
  };

  std::map<FlowKey, FlowSamples> Flows;
};

} // namespace corianderdyke

#endif
