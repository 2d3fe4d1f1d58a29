#include "StandIns/Engine/Reply.h"

#include <boost/json.hpp>

namespace sardineford::standins {

namespace json = boost::json;

std::string textOf(const json::object &o, std::string_view name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_string() ? std::string(v->as_string()) : "";
}

uint64_t numberOf(const json::object &o, std::string_view name) {
  const json::value *v = o.if_contains(name);
  return v && v->is_number() ? v->to_number<uint64_t>() : 0;
}

http::Response answer(unsigned status, json::object body) {
  return http::jsonResponse(status, json::serialize(body));
}

http::Response failure(unsigned status, std::string_view why) {
  return answer(status, {{"error", why}});
}

http::Response done() { return answer(200, {{"outcome", "done"}}); }

http::Response refuse(std::string why) {
  return answer(503, {{"error", why}, {"run", "no"}});
}

} // namespace sardineford::standins
