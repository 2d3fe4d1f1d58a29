#pragma once

#include "Sardineford/Common/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sardineford::metrics {

/// A label of a metric, such as model="scribe".
struct Label {
  std::string Name;
  std::string Value;
};

using Labels = std::vector<Label>;

/// The metrics of one process, in the Prometheus text format.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds to a counter; its name ends in "_total".
  void count(const std::string &name, const Labels &labels, double n = 1);
  /// Records a duration in a histogram; its name ends in "_seconds".
  void observe(const std::string &name, const Labels &labels, Seconds value);
  /// Registers a gauge. Its value is read at each rendering.
  void gauge(const std::string &name, const Labels &labels,
             std::function<double()> read);
  /// Registers a family of gauges. Labels and values are read at each
  /// rendering.
  using Family = std::vector<std::pair<Labels, double>>;
  void gauges(const std::string &name, std::function<Family()> read);

  /// Returns all metrics in the text format.
  std::string render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sardineford::metrics
