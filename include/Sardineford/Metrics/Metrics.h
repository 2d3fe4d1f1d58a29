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
  /// Takes a sample of a duration into a histogram; its name ends in
  /// "_seconds".
  void observe(const std::string &name, const Labels &labels, Seconds value);
  /// Registers a figure that is read when the metrics are.
  void gauge(const std::string &name, const Labels &labels,
             std::function<double()> read);
  /// As above, for figures of which the labels are not known before.
  using Family = std::vector<std::pair<Labels, double>>;
  void gauges(const std::string &name, std::function<Family()> read);

  std::string render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sardineford::metrics
