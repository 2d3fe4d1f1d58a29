#include "Sardineford/Membership/HttpInstanceList.h"

#include <boost/json.hpp>

#include <array>

namespace sardineford::membership {

namespace json = boost::json;

namespace {

constexpr Milliseconds ReadTimeout{2'000};
constexpr std::array<std::string_view, 4> KindNames = {"entry", "controller",
                                                       "engine", "service"};
constexpr std::array<std::string_view, 3> StateNames = {"live", "leaving",
                                                        "gone"};

/// Returns the last enumerator for an unknown name.
template <class Enum, size_t N>
Enum parseEnum(const std::array<std::string_view, N> &names,
               std::string_view text) {
  auto it = std::find(names.begin(), names.end(), text);
  size_t index = it == names.end() ? N - 1 : it - names.begin();
  return static_cast<Enum>(index);
}

Instance decodeInstance(const json::object &o) {
  auto text = [&](const char *name) {
    return json::value_to<std::string>(o.at(name));
  };
  Instance i;
  i.Name = text("name");
  i.Kind = parseEnum<InstanceKind>(KindNames, text("kind"));
  i.Group = text("group");
  i.Address = http::parseEndpoint(text("address"));
  i.FailureDomain = text("domain");
  i.State = parseEnum<InstanceState>(StateNames, text("state"));
  return i;
}

} // namespace

std::string_view toString(InstanceKind k) {
  return KindNames[static_cast<size_t>(k)];
}

std::string encodeInstance(const Instance &i) {
  return json::serialize(
      json::object{{"name", i.Name},
                   {"kind", toString(i.Kind)},
                   {"group", i.Group},
                   {"address", http::toString(i.Address)},
                   {"domain", i.FailureDomain},
                   {"state", StateNames[static_cast<size_t>(i.State)]}});
}

Awaitable<std::vector<Instance>> HttpInstanceList::read() {
  http::Request request;
  request.Target = "/instances";
  http::CallOptions options;
  options.Timeout = ReadTimeout;
  http::Response r = co_await Client.call(Address, std::move(request), options);
  if (r.Status != 200)
    throw Error(ErrorKind::StoreUnavailable, "the instance list is unavailable",
                "check the platform");
  std::vector<Instance> out;
  json::value root = json::parse(r.Body);
  for (const json::value &it : root.as_array())
    out.push_back(decodeInstance(it.as_object()));
  co_return out;
}

} // namespace sardineford::membership
