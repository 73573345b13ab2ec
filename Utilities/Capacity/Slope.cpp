/// \file
/// A straight line through measured points.

#include "Slope.h"

#include <utility>

namespace corianderdyke {

Slope::Slope(std::string Name, std::string Unit, std::string Per,
             std::vector<Point> Points)
    : Name(std::move(Name)), Unit(std::move(Unit)), Per(std::move(Per)),
      Points(std::move(Points)) {
  const auto Count = static_cast<double>(this->Points.size());
  double MeanSize = 0;
  double MeanValue = 0;
  for (const Point &At : this->Points) {
    MeanSize += At.Size / Count;
    MeanValue += At.Value / Count;
  }
  double Sizes = 0;
  double Both = 0;
  double Values = 0;
  for (const Point &At : this->Points) {
    Sizes += (At.Size - MeanSize) * (At.Size - MeanSize);
    Both += (At.Size - MeanSize) * (At.Value - MeanValue);
    Values += (At.Value - MeanValue) * (At.Value - MeanValue);
  }
  Each = Sizes > 0 ? Both / Sizes : 0;
  Fixed = MeanValue - Each * MeanSize;
  Fit = Sizes > 0 && Values > 0 ? Both * Both / (Sizes * Values) : 1;
}

} // namespace corianderdyke
