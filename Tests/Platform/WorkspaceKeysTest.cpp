#include "platform/FleetAdapter.h"
#include "platform/TrafficAdapter.h"

#include <boost/algorithm/string/predicate.hpp>
#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::platform;

namespace {

const std::string SecretKey = "42q492cqf75rjvz48wua";
const std::string Digest = fleet::toHex(fleet::digestOfKey(SecretKey));

store::Object configuration(const std::string &workspaces) {
  return {"config", "main", 5,
          R"({"version":7,"routes":[],"services":[],"tenants":)" + workspaces +
              "}"};
}

http::Request requestWith(const http::Headers &extra) {
  http::Request r;
  r.Method = "POST";
  r.Target = "/p/1";
  r.Fields.add("Host", "h.example");
  r.Fields.add("Request-Id", "9c41d07be2a35f68");
  for (const http::Header &it : extra.Fields)
    r.Fields.add(it.Name, it.Value);
  return r;
}

http::Headers headers(std::vector<http::Header> fields) {
  http::Headers h;
  for (http::Header &it : fields)
    h.add(std::move(it.Name), std::move(it.Value));
  return h;
}

std::optional<fleet::KeyDigest> keyOf(std::vector<http::Header> fields) {
  return TrafficAdapter()
      .decodeRequest(requestWith(headers(std::move(fields))))
      .Key;
}

std::vector<std::string> valuesOf(const http::Request &r,
                                  std::string_view name) {
  std::vector<std::string> out;
  for (const http::Header &it : r.Fields.Fields)
    if (boost::algorithm::iequals(it.Name, name))
      out.push_back(it.Value);
  return out;
}

std::string textOf(const http::Request &r) {
  std::string out = r.Target + "\n" + r.Body;
  for (const http::Header &it : r.Fields.Fields)
    out += "\n" + it.Name + ": " + it.Value;
  return out;
}

/// A request with a key, and with the headers by which a caller could name
/// another workspace, as it is after its authentication.
gateway::CallerRequest authenticated(const std::string &workspace) {
  TrafficAdapter a;
  gateway::CallerRequest r = a.decodeRequest(
      requestWith(headers({{"kEY", SecretKey},
                           {"tenant", "forged"},
                           {"TENANT", "forged-2"},
                           {"Sardineford-Key-Digest", "forged-3"},
                           {"Sardineford-Configuration-Version", "99"}})));
  a.removeCredentials(r);
  r.Workspace = workspace;
  return r;
}

} // namespace

// Guards against keys in messages to peers, and against peers that admit other
// callers than the process that read the store.
TEST_CASE("a configuration for peers has digests and admits the same callers") {
  FleetAdapter a;
  store::Object o =
      configuration(R"([{"name":"a","apiKeys":[")" + SecretKey +
                    R"(","second"],"priority":1},{"name":"b","apiKeys":[]}])");
  store::Object forPeers = a.withoutKeys(o);
  CHECK(forPeers.Value.find(SecretKey) == std::string::npos);
  CHECK(forPeers.Value.find("second") == std::string::npos);
  CHECK(forPeers.Version == o.Version);
  auto own = a.decodeConfiguration(o);
  auto peer = a.decodeConfiguration(forPeers);
  auto again = a.decodeConfiguration(a.withoutKeys(forPeers));
  REQUIRE((own && peer && again));
  REQUIRE(own->Workspaces.size() == 2);
  for (const auto &it : {peer, again}) {
    REQUIRE(it->Workspaces.size() == 2);
    CHECK(it->Workspaces[0].Name == "a");
    CHECK(it->Workspaces[0].Priority == 1);
    CHECK(it->Workspaces[0].Keys == own->Workspaces[0].Keys);
    CHECK(it->requiresKeys());
  }
}

// Guards against keys that reach peers in an object that cannot be decoded, and
// against a configuration without workspaces that changes on its way.
TEST_CASE("an object that cannot be decoded is sent to peers without content") {
  FleetAdapter a;
  for (const std::string &it : {R"([")" + SecretKey + R"("])",
                                R"([{"apiKeys":[")" + SecretKey + R"("]}])",
                                R"([{"name":"a","apiKeys":[")" + SecretKey}) {
    CHECK(a.withoutKeys(configuration(it)).Value.find(SecretKey) ==
          std::string::npos);
  }
  store::Object plain{"config", "main", 5, R"({"version":7 , "routes":[]})"};
  CHECK(a.withoutKeys(plain).Value == plain.Value);
}

// Guards against a field of the wrong type that opens the deployment to callers
// without keys, and against one odd name or key that voids the configuration.
TEST_CASE("odd workspaces do not open a deployment") {
  FleetAdapter a;
  for (const char *it : {"{}", R"("a")", "1", "true", "[1]", R"([{"name":1}])"})
    CHECK_FALSE(a.decodeConfiguration(configuration(it)));
  auto c = a.decodeConfiguration(configuration(
      R"([{"name":"a b","apiKeys":["k1",2,"",null]},{"name":"c"},)"
      R"({"name":"d","apiKeys":"k2"}])"));
  REQUIRE(c);
  CHECK(c->requiresKeys());
  CHECK(c->Workspaces[0].Keys.size() == 1);
  CHECK(c->Workspaces[1].Keys.empty());
  CHECK(c->Workspaces[2].Keys.empty());
}

// Guards against a choice among several keys and against keys that are cut or
// changed before they are compared.
TEST_CASE("a request has a key if it has one that is not empty") {
  CHECK(keyOf({{"Key", SecretKey}}) == fleet::digestOfKey(SecretKey));
  CHECK(keyOf({{"kEY", SecretKey}}) == fleet::digestOfKey(SecretKey));
  CHECK_FALSE(keyOf({}));
  CHECK_FALSE(keyOf({{"Key", ""}}));
  CHECK_FALSE(keyOf({{"Key", SecretKey}, {"key", SecretKey}}));
  CHECK_FALSE(keyOf({{"Key", ""}, {"Key", SecretKey}}));
  CHECK_FALSE(keyOf({{"Key", SecretKey}, {"Key", ""}}));
  for (const std::string &it :
       {std::string(16'000, 'k'), std::string("\0\xff\x01k", 4),
        SecretKey + std::string(1, '\0')})
    CHECK(keyOf({{"Key", it}}) == fleet::digestOfKey(it));
  // Only peers send digests.
  CHECK_FALSE(keyOf({{"Sardineford-Key-Digest", Digest}}));
}

// Guards against a server that gets a key, or a name that the caller chose.
TEST_CASE("servers get the name of the workspace and never a key") {
  TrafficAdapter a;
  for (const std::string &name : {std::string("hule930"), std::string()}) {
    gateway::CallerRequest r = authenticated(name);
    std::vector<std::string> expected;
    if (!name.empty())
      expected.push_back(name);
    for (const http::Request &it :
         {a.makeAttemptRequest(r, {}), a.makePrefillRequest(r, {})}) {
      CHECK(valuesOf(it, "tenant") == expected);
      CHECK(valuesOf(it, "key").empty());
      CHECK(textOf(it).find(SecretKey) == std::string::npos);
      CHECK(textOf(it).find(Digest) == std::string::npos);
      CHECK(textOf(it).find("forged") == std::string::npos);
    }
  }
}

// Guards against keys in messages to peers, and against a peer that decides by
// another key or cannot tell how old the sender's configuration is.
TEST_CASE("a passed-on request carries the digest and the version") {
  TrafficAdapter a;
  http::Request sent =
      a.makePassedOnRequest(authenticated("hule930"), Milliseconds(100), 12);
  CHECK(textOf(sent).find(SecretKey) == std::string::npos);
  CHECK(textOf(sent).find("forged") == std::string::npos);
  gateway::CallerRequest r = a.decodePassedOnRequest(std::move(sent));
  CHECK(r.Key == fleet::digestOfKey(SecretKey));
  CHECK(r.PeerConfigurationVersion == 12U);
  CHECK(textOf(a.makeAttemptRequest(r, {})).find(Digest) == std::string::npos);
  // On an anonymous route nothing is passed on.
  http::Request anonymous =
      a.makePassedOnRequest(authenticated(""), Milliseconds(100), 12);
  gateway::CallerRequest received =
      a.decodePassedOnRequest(std::move(anonymous));
  CHECK_FALSE(received.Key);
}

// Guards against a fleet of two builds in which passed-on requests get 401.
TEST_CASE("the key of an older build's passed-on request is understood") {
  TrafficAdapter a;
  gateway::CallerRequest r =
      a.decodePassedOnRequest(requestWith(headers({{"Key", SecretKey}})));
  CHECK(r.Key == fleet::digestOfKey(SecretKey));
  CHECK_FALSE(r.PeerConfigurationVersion);
  // A digest that cannot be read is no key.
  CHECK_FALSE(a.decodePassedOnRequest(
                   requestWith(headers({{"Sardineford-Key-Digest", "x"}})))
                  .Key);
}

// Guards against a change for deployments without workspaces.
TEST_CASE("without workspaces the headers are forwarded like any other") {
  TrafficAdapter a;
  gateway::CallerRequest r = a.decodeRequest(
      requestWith(headers({{"Key", SecretKey}, {"Tenant", "t"}})));
  for (const http::Request &it :
       {a.makeAttemptRequest(r, {}), a.makePassedOnRequest(r, {}, 1)}) {
    CHECK(valuesOf(it, "key") == std::vector<std::string>{SecretKey});
    CHECK(valuesOf(it, "tenant") == std::vector<std::string>{"t"});
  }
}
