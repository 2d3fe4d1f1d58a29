#include "StandIns/Platform/WorkerHistory.h"

#include <boost/json.hpp>

#include <fstream>

namespace sardineford::standins {

namespace json = boost::json;

std::vector<WorkerEvent> readHistory(const std::string &file) {
  std::vector<WorkerEvent> out;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    boost::system::error_code ec;
    json::value v = json::parse(line, ec);
    if (ec || !v.is_object())
      continue;
    out.push_back({Milliseconds(v.at("time_ms").as_int64()),
                   json::value_to<std::string>(v.at("server")),
                   json::value_to<std::string>(v.at("version")),
                   json::value_to<std::string>(v.at("request")),
                   json::value_to<std::string>(v.at("what"))});
  }
  return out;
}

} // namespace sardineford::standins
