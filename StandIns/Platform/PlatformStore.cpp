#include "StandIns/Platform/PlatformStore.h"

#include "platform/Names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdlib>

namespace sardineford::standins {

namespace asio = boost::asio;
namespace json = boost::json;
namespace names = platform::names;

namespace {

constexpr size_t PageItems = 5;
constexpr size_t KeptEvents = 500;
constexpr Milliseconds LapseEvery{100};
constexpr std::chrono::hours Forever{1};

uint64_t numberOf(const http::Request &r, const char *name) {
  std::optional<std::string> text = http::queryOf(r.Target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

http::Response answer(unsigned status, const json::value &body) {
  return http::jsonResponse(status, json::serialize(body));
}

} // namespace

PlatformStore::PlatformStore(IoContext &io, http::Endpoint listen,
                             Milliseconds serverEntryLife)
    : Io(io), Listener(io, http::ServerOptions{.Listen = std::move(listen)},
                       [this](http::Request &r, http::ResponseWriter &out) {
                         return handle(r, out);
                       }),
      ServerEntryLife(serverEntryLife), Changed(io, MonoTime::max()) {}

void PlatformStore::start() {
  Listener.start();
  spawn(Io, "lapses", [this] { return lapseLoop(); });
}

json::object PlatformStore::toJson(const std::string &name,
                                   const Entry &e) const {
  return {
      {"metadata",
       {{"name", name}, {"revision", e.Revision}, {"createdRev", e.Created}}},
      {"spec", e.Spec},
      {"status", nullptr}};
}

void PlatformStore::note(const std::string &kind, const std::string &name,
                         const Entry &e, bool deleted) {
  History.push_back({Revision, kind, toJson(name, e), deleted});
  while (History.size() > KeptEvents) {
    Forgotten = History.front().Revision;
    History.pop_front();
  }
  Changed.expires_at(MonoTime::max());
}

Awaitable<void> PlatformStore::lapseLoop() {
  for (;;) {
    co_await sleepFor(LapseEvery);
    auto &servers = Kinds[std::string(names::ServersKind)];
    for (auto it = servers.begin(); it != servers.end();) {
      if (MonoClock::now() - it->second.WrittenAt < ServerEntryLife) {
        ++it;
        continue;
      }
      ++Revision;
      note(std::string(names::ServersKind), it->first, it->second, true);
      it = servers.erase(it);
    }
  }
}

http::Response PlatformStore::setMode(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  if (const json::value *v = body.if_contains("mode")) {
    std::string_view word = v->as_string();
    Mode = word == "busy"          ? StoreMode::Busy
           : word == "reset"       ? StoreMode::Reset
           : word == "silent"      ? StoreMode::Silent
           : word == "lose_writes" ? StoreMode::LoseWrites
                                   : StoreMode::Sound;
  }
  if (body.contains("compact")) {
    Forgotten = Revision;
    History.clear();
  }
  Changed.expires_at(MonoTime::max());
  return answer(200, json::object{});
}

Awaitable<void> PlatformStore::handle(http::Request &request,
                                      http::ResponseWriter &out) {
  std::string path(http::pathOf(request.Target));
  if (path == "/admin") {
    http::Response r = setMode(request);
    co_await out.send(std::move(r));
    co_return;
  }
  if (Mode == StoreMode::Silent)
    co_await sleepFor(Forever);
  if (Mode == StoreMode::Reset) {
    out.abort();
    co_return;
  }
  if (Mode == StoreMode::Busy || !path.starts_with(names::ObjectsPath)) {
    http::Response r = answer(Mode == StoreMode::Busy ? 503 : 404, nullptr);
    co_await out.send(std::move(r));
    co_return;
  }
  std::string kind = path.substr(names::ObjectsPath.size());
  std::string name;
  if (size_t slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (request.Method == "GET" && http::queryOf(request.Target, "watch")) {
    co_await watch(kind, request, out);
    co_return;
  }
  http::Response r;
  if (request.Method == "GET" && name.empty())
    r = list(kind, request);
  else if (request.Method == "GET")
    r = Kinds[kind].contains(name)
            ? answer(200, toJson(name, Kinds[kind][name]))
            : answer(404, nullptr);
  else if (request.Method == "DELETE")
    r = remove(kind, name);
  else
    r = write(kind, name, request);
  if (request.Method != "GET" && Mode == StoreMode::LoseWrites) {
    out.abort();
    co_return;
  }
  co_await out.send(std::move(r));
}

http::Response PlatformStore::list(const std::string &kind,
                                   const http::Request &request) {
  std::string after = http::queryOf(request.Target, "after").value_or("");
  json::array items;
  bool more = false;
  for (const auto &[name, e] : Kinds[kind]) {
    if (name <= after && !after.empty())
      continue;
    more = items.size() == PageItems;
    if (more)
      break;
    items.push_back(toJson(name, e));
  }
  return answer(200, json::object{{"items", items},
                                  {"hasMore", more},
                                  {"storeRevision", Revision}});
}

http::Response PlatformStore::write(const std::string &kind,
                                    const std::string &nameInPath,
                                    const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  const json::object &meta = body.at("metadata").as_object();
  std::string name = json::value_to<std::string>(meta.at("name"));
  auto it = Kinds[kind].find(name);
  bool exists = it != Kinds[kind].end();
  bool creates = request.Method == "POST";
  if (creates && exists)
    return answer(409, toJson(name, it->second));
  if (!creates && (!exists || nameInPath != name))
    return answer(404, nullptr);
  const json::value *expected = meta.if_contains("revision");
  if (!creates && expected &&
      expected->to_number<uint64_t>() != it->second.Revision)
    return answer(409, toJson(name, it->second));
  Entry &e = Kinds[kind][name];
  e.WrittenAt = MonoClock::now();
  if (creates || e.Spec != body.at("spec")) {
    e.Spec = body.at("spec");
    e.Revision = ++Revision;
    if (creates)
      e.Created = e.Revision;
    note(kind, name, e, false);
  }
  return answer(200, toJson(name, e));
}

http::Response PlatformStore::remove(const std::string &kind,
                                     const std::string &name) {
  auto it = Kinds[kind].find(name);
  if (it == Kinds[kind].end())
    return answer(404, nullptr);
  ++Revision;
  note(kind, name, it->second, true);
  json::object gone = toJson(name, it->second);
  Kinds[kind].erase(it);
  return answer(200, gone);
}

Awaitable<void> PlatformStore::watch(const std::string &kind,
                                     const http::Request &request,
                                     http::ResponseWriter &out) {
  uint64_t after = numberOf(request, "watch");
  MonoTime end = MonoClock::now() + Milliseconds(numberOf(request, "waitMs"));
  for (;;) {
    if (Mode != StoreMode::Sound && Mode != StoreMode::LoseWrites) {
      out.abort();
      co_return;
    }
    if (after < Forgotten) {
      http::Response gone = answer(410, nullptr);
      co_await out.send(std::move(gone));
      co_return;
    }
    json::array events;
    for (const Event &it : History)
      if (it.Kind == kind && it.Revision > after)
        events.push_back(
            json::object{{"object", it.Object}, {"deleted", it.Deleted}});
    if (!events.empty() || MonoClock::now() >= end) {
      http::Response r = answer(
          200, json::object{{"events", events}, {"storeRevision", Revision}});
      co_await out.send(std::move(r));
      co_return;
    }
    asio::steady_timer timeout(Io, end);
    using namespace asio::experimental::awaitable_operators;
    co_await (Changed.async_wait(asio::as_tuple(asio::use_awaitable)) ||
              timeout.async_wait(asio::as_tuple(asio::use_awaitable)));
  }
}

} // namespace sardineford::standins
