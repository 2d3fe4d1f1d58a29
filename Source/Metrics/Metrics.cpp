#include "Sardineford/Metrics/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <spdlog/fmt/fmt.h>

#include <map>

namespace sardineford::metrics {

namespace acc = boost::accumulators;
namespace histogram = boost::histogram;

namespace {

/// Upper bounds of the histogram buckets in seconds, for durations from a
/// response of an idle service to the longest streams.
std::vector<double> bucketBounds() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
}

auto makeBuckets() {
  // The first bucket begins at 0; the overflow bucket holds the values above
  // the last bound.
  std::vector<double> edges = bucketBounds();
  edges.insert(edges.begin(), 0);
  return histogram::make_histogram(histogram::axis::variable<>(edges));
}

using CountAndSum =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

std::string escapeLabel(const std::string &value) {
  std::string out;
  for (char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\')
      out.push_back('\\');
    out.push_back(c);
  }
  return out;
}

std::string labelText(const Labels &labels, const std::string &extra = "") {
  std::string out;
  for (const Label &it : labels)
    out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", it.Name,
                       escapeLabel(it.Value));
  if (!extra.empty())
    out += (out.empty() ? "" : ",") + extra;
  return out.empty() ? "" : "{" + out + "}";
}

struct Series {
  std::string Name;
  Labels Tags;
  decltype(makeBuckets()) Buckets = makeBuckets();
  CountAndSum Totals;
};

struct Gauge {
  std::string Name;
  Labels Tags;
  std::function<double()> Read;
};

struct GaugeFamily {
  std::string Name;
  std::function<Metrics::Family()> Read;
};

std::string renderHistogram(const Series &s) {
  std::string out;
  double cumulative = s.Buckets.at(histogram::axis::index_type{-1});
  const auto &axis = s.Buckets.axis();
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += s.Buckets.at(i);
    std::string label = fmt::format("le=\"{}\"", axis.bin(i).upper());
    out += fmt::format("{}_bucket{} {}\n", s.Name, labelText(s.Tags, label),
                       cumulative);
  }
  out += fmt::format("{}_bucket{} {}\n", s.Name,
                     labelText(s.Tags, "le=\"+Inf\""), acc::count(s.Totals));
  out += fmt::format("{}_sum{} {}\n", s.Name, labelText(s.Tags),
                     acc::sum(s.Totals));
  out += fmt::format("{}_count{} {}\n", s.Name, labelText(s.Tags),
                     acc::count(s.Totals));
  return out;
}

} // namespace

struct Metrics::Impl {
  /// Keys are the name and the labels in the text format.
  std::map<std::string, double> Counters;
  std::map<std::string, Series> Histograms;
  std::vector<Gauge> Gauges;
  std::vector<GaugeFamily> Families;
};

Metrics::Metrics() : Data(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const Labels &labels, double n) {
  Data->Counters[name + labelText(labels)] += n;
}

void Metrics::observe(const std::string &name, const Labels &labels,
                      Seconds value) {
  auto [it, isNew] = Data->Histograms.try_emplace(name + labelText(labels));
  if (isNew) {
    it->second.Name = name;
    it->second.Tags = labels;
  }
  it->second.Buckets(value.count());
  it->second.Totals(value.count());
}

void Metrics::gauge(const std::string &name, const Labels &labels,
                    std::function<double()> read) {
  Data->Gauges.push_back({name, labels, std::move(read)});
}

void Metrics::gauges(const std::string &name, std::function<Family()> read) {
  Data->Families.push_back({name, std::move(read)});
}

std::string Metrics::render() const {
  std::string out;
  for (const auto &[name, n] : Data->Counters)
    out += fmt::format("{} {}\n", name, n);
  for (const Gauge &it : Data->Gauges)
    out += fmt::format("{}{} {}\n", it.Name, labelText(it.Tags), it.Read());
  for (const GaugeFamily &family : Data->Families)
    for (const auto &[labels, value] : family.Read())
      out += fmt::format("{}{} {}\n", family.Name, labelText(labels), value);
  for (const auto &[key, it] : Data->Histograms)
    out += renderHistogram(it);
  return out;
}

} // namespace sardineford::metrics
