/// \file
/// A linear fit of measured points.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_SLOPE_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_SLOPE_H

#include <string>
#include <vector>

namespace corianderdyke {

struct Point {
  double Size = 0;
  double Value = 0;

  auto operator<=>(const Point &) const = default;
};

/// The least-squares line: the cost at size zero, the cost of each unit of
/// size, and the quality of the fit.
class Slope {
public:
  /// \p Name identifies the slope in formulas and on the page; \p Unit is the
  /// unit of the values and \p Per that of the sizes.
  Slope(std::string Name, std::string Unit, std::string Per,
        std::vector<Point> Points);

  double at(double Size) const { return Fixed + Each * Size; }

  const std::string &name() const { return Name; }
  const std::string &unit() const { return Unit; }
  const std::string &per() const { return Per; }
  const std::vector<Point> &points() const { return Points; }
  double fixed() const { return Fixed; }
  double each() const { return Each; }
  /// Returns the coefficient of determination, 0 to 1.
  double fit() const { return Fit; }

private:
  std::string Name;
  std::string Unit;
  std::string Per;
  std::vector<Point> Points;
  double Fixed = 0;
  double Each = 0;
  double Fit = 1;
};

} // namespace corianderdyke

#endif
