#pragma once

#include <string>
#include <utility>
#include <vector>

namespace sardineford::standins {

struct PlotSeries {
  std::string Name;
  /// In ascending order of x.
  std::vector<std::pair<double, double>> Points;
};

struct PlotLabels {
  std::string X;
  std::string Y;
};

/// Returns an SVG document with one line for each series. The y axis runs from
/// 0 to 1.
std::string renderPlot(const PlotLabels &labels,
                       const std::vector<PlotSeries> &series);

} // namespace sardineford::standins
