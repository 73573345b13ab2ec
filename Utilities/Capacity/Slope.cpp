/// \file
/// Computes a linear fit of measured points.

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
  double SizeVariance = 0;
  double Covariance = 0;
  double ValueVariance = 0;
  for (const Point &At : this->Points) {
    SizeVariance += (At.Size - MeanSize) * (At.Size - MeanSize);
    Covariance += (At.Size - MeanSize) * (At.Value - MeanValue);
    ValueVariance += (At.Value - MeanValue) * (At.Value - MeanValue);
  }
  Each = SizeVariance > 0 ? Covariance / SizeVariance : 0;
  Fixed = MeanValue - Each * MeanSize;
  Fit = SizeVariance > 0 && ValueVariance > 0
            ? Covariance * Covariance / (SizeVariance * ValueVariance)
            : 1;
}

} // namespace corianderdyke
