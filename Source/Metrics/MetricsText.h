#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sardineford::metrics {

/// One sample of the Prometheus text format.
struct Sample {
  std::string Name;
  std::map<std::string, std::string> Labels;
  double Value = 0;
};

/// Reads the samples of the text format. Comments and lines that are no sample
/// are skipped.
std::vector<Sample> parseMetrics(std::string_view text);

} // namespace sardineford::metrics
