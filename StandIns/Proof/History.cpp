#include "StandIns/Proof/History.h"

#include <boost/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace sardineford::standins {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  return v ? std::string(v->as_string()) : "";
}

uint64_t numberOf(const json::object &o, const char *name) {
  const json::value *v = o.if_contains(name);
  return v ? v->to_number<uint64_t>() : 0;
}

HistoryEvent parseEvent(const json::object &o) {
  HistoryEvent e;
  e.AtUs = o.at("us").to_number<int64_t>();
  e.Process = textOf(o, "process");
  e.Kind = textOf(o, "event");
  e.Request = textOf(o, "request");
  e.Attempt = textOf(o, "attempt");
  e.Pool = textOf(o, "pool");
  e.Engine = textOf(o, "engine");
  e.Order = textOf(o, "order");
  e.Key = textOf(o, "key");
  e.Epoch = numberOf(o, "epoch");
  e.Generation = numberOf(o, "generation");
  e.Detail = textOf(o, "detail");
  return e;
}

void readFile(const std::string &file, std::vector<HistoryEvent> &out) {
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    boost::system::error_code ec;
    json::value v = json::parse(line, ec);
    if (!ec && v.is_object())
      out.push_back(parseEvent(v.as_object()));
  }
}

} // namespace

std::vector<HistoryEvent> readHistories(const std::string &folder) {
  std::vector<HistoryEvent> out;
  for (const auto &it : std::filesystem::directory_iterator(folder))
    if (it.path().extension() == ".history")
      readFile(it.path().string(), out);
  std::stable_sort(out.begin(), out.end(),
                   [](const HistoryEvent &a, const HistoryEvent &b) {
                     return a.AtUs < b.AtUs;
                   });
  return out;
}

} // namespace sardineford::standins
