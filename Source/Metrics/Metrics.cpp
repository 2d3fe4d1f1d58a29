#include "Sardineford/Metrics/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <map>

namespace sardineford::metrics {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

using Summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string labelText(const Labels &labels, const std::string &extra = "") {
  std::string out;
  for (const Label &it : labels)
    out +=
        fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", it.Name, it.Value);
  if (!extra.empty())
    out += (out.empty() ? "" : ",") + extra;
  return out.empty() ? "" : "{" + out + "}";
}

struct Series {
  std::string Name;
  Labels Tags;
  Summary Samples{acc::extended_p_square_probabilities = Quantiles};
};

struct Gauge {
  std::string Name;
  Labels Tags;
  std::function<double()> Read;
};

} // namespace

struct Metrics::Impl {
  /// By name and labels as written.
  std::map<std::string, double> Counters;
  std::map<std::string, Series> Summaries;
  std::vector<Gauge> Gauges;
};

Metrics::Metrics() : Data(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const Labels &labels, double n) {
  Data->Counters[name + labelText(labels)] += n;
}

void Metrics::observe(const std::string &name, const Labels &labels,
                      Seconds value) {
  auto [it, isNew] = Data->Summaries.try_emplace(name + labelText(labels));
  if (isNew) {
    it->second.Name = name;
    it->second.Tags = labels;
  }
  it->second.Samples(value.count());
}

void Metrics::gauge(const std::string &name, const Labels &labels,
                    std::function<double()> read) {
  Data->Gauges.push_back({name, labels, std::move(read)});
}

std::string Metrics::render() const {
  std::string out;
  for (const auto &[name, n] : Data->Counters)
    out += fmt::format("{} {}\n", name, n);
  for (const Gauge &it : Data->Gauges)
    out += fmt::format("{}{} {}\n", it.Name, labelText(it.Tags), it.Read());
  for (const auto &[key, s] : Data->Summaries) {
    for (double q : Quantiles) {
      double value = acc::quantile(s.Samples, acc::quantile_probability = q);
      std::string label = fmt::format("quantile=\"{}\"", q);
      out += fmt::format("{}{} {}\n", s.Name, labelText(s.Tags, label), value);
    }
    out += fmt::format("{}_sum{} {}\n", s.Name, labelText(s.Tags),
                       acc::sum(s.Samples));
    out += fmt::format("{}_count{} {}\n", s.Name, labelText(s.Tags),
                       acc::count(s.Samples));
  }
  return out;
}

} // namespace sardineford::metrics
