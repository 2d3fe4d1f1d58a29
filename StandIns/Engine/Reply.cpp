#include "StandIns/Engine/Reply.h"

#include <boost/json.hpp>

namespace sardineford::standins {

namespace json = boost::json;

std::string stringField(const json::object &o, std::string_view name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_string() ? std::string(v->as_string()) : "";
}

uint64_t numberField(const json::object &o, std::string_view name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_number() ? v->to_number<uint64_t>() : 0;
}

http::Response makeResponse(unsigned status, json::object body) {
  return http::jsonResponse(status, json::serialize(body));
}

http::Response makeError(unsigned status, std::string_view reason) {
  return makeResponse(status, {{"error", reason}});
}

http::Response makeDone() { return makeResponse(200, {{"outcome", "done"}}); }

http::Response makeRejection(std::string reason) {
  return makeResponse(503, {{"error", reason}, {"run", "no"}});
}

} // namespace sardineford::standins
