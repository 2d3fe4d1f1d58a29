#include "StandIns/Deployment/Objects.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>

namespace sardineford::standins {

namespace json = boost::json;

namespace {

void multiply(json::object &spec, const char *field, double factor) {
  spec[field] = spec.at(field).to_number<double>() * factor;
}

void scalePool(json::object &spec, double timeScale) {
  multiply(spec, "prefill_tokens_per_second", timeScale);
  multiply(spec, "decode_step_ms", 1 / timeScale);
  multiply(spec, "decode_step_per_sequence_ms", 1 / timeScale);
  double change = spec.at("role_change_ms").to_number<double>() / timeScale;
  spec["role_change_ms"] = static_cast<int64_t>(change);
}

} // namespace

void writeScaledObjects(const std::string &from, const std::string &to,
                        double timeScale,
                        const std::map<std::string, std::string> &poolFields) {
  std::ifstream in(from);
  std::ostringstream text;
  text << in.rdbuf();
  json::value root = json::parse(text.str());
  for (json::value &it : root.as_array()) {
    json::object &object = it.as_object();
    if (object.at("kind").as_string() != "EnginePool")
      continue;
    json::object &spec = object.at("spec").as_object();
    scalePool(spec, timeScale);
    for (const auto &[field, value] : poolFields)
      spec[field] = json::parse(value);
  }
  std::ofstream(to) << json::serialize(root);
}

} // namespace sardineford::standins
