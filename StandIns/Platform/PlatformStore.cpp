#include "StandIns/Platform/PlatformStore.h"

#include "StandIns/Platform/OddEntries.h"
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

constexpr size_t MaxPageItems = 5;
constexpr size_t MaxHistoryEvents = 500;
constexpr Milliseconds ExpiryInterval{100};
constexpr std::chrono::hours UnresponsiveDelay{1};
constexpr Milliseconds CopyInterval{200};
constexpr size_t MaxCopies = 25;

uint64_t queryNumber(const http::Request &r, const char *name) {
  std::optional<std::string> text = http::queryOf(r.Target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

/// Stands in the spec of an odd entry for its text, which is not valid JSON.
constexpr std::string_view OddEntryMark = "odd-entry:";

std::string withOddEntries(std::string body) {
  std::string quoted = '"' + std::string(OddEntryMark);
  size_t at = 0;
  while ((at = body.find(quoted, at)) != std::string::npos) {
    size_t n = std::strtoull(body.c_str() + at + quoted.size(), nullptr, 10);
    const std::string &text = oddServerEntries()[n];
    body.replace(at, body.find('"', at + 1) + 1 - at, text);
    at += text.size();
  }
  return body;
}

http::Response makeResponse(unsigned status, const json::value &body) {
  return http::jsonResponse(status, withOddEntries(json::serialize(body)));
}

} // namespace

PlatformStore::PlatformStore(IoContext &io, http::Endpoint listen,
                             Milliseconds serverEntryLifetime)
    : Io(io), Listener(io, http::ServerOptions{.Listen = std::move(listen)},
                       [this](http::Request &r, http::ResponseWriter &out) {
                         return handle(r, out);
                       }),
      ServerEntryLifetime(serverEntryLifetime), Changed(io, MonoTime::max()) {}

void PlatformStore::start() {
  Listener.start();
  spawn(Io, "entry-expiry", [this] { return expireServerEntries(); });
  spawn(Io, "copies", [this] { return takeCopies(); });
}

Awaitable<void> PlatformStore::takeCopies() {
  for (;;) {
    Copies.push_back({MonoClock::now(), Kinds, Revision});
    if (Copies.size() > MaxCopies)
      Copies.pop_front();
    co_await sleepFor(CopyInterval);
  }
}

/// Goes back to the newest copy that is at least so old. Servers whose entries
/// it holds have as long as others to write them again.
void PlatformStore::restore(Milliseconds age) {
  MonoTime now = MonoClock::now();
  while (Copies.size() > 1 && Copies.back().TakenAt + age > now)
    Copies.pop_back();
  Kinds = Copies.back().Kinds;
  Revision = Copies.back().Revision;
  for (auto &[name, e] : Kinds[std::string(names::ServersKind)])
    e.WrittenAt = now;
  CompactedRevision = Revision;
  History.clear();
  ++Era;
}

Awaitable<void> PlatformStore::send(http::ResponseWriter &out,
                                    http::Response r) const {
  r.Fields.add(std::string(names::StoreEra), std::to_string(Era));
  co_await out.send(std::move(r));
}

json::object PlatformStore::toJson(const std::string &name,
                                   const Entry &e) const {
  return {{"metadata",
           {{"name", name},
            {"revision", e.Revision},
            {"createdRev", e.CreatedRevision}}},
          {"spec", e.Spec},
          {"status", nullptr}};
}

void PlatformStore::recordChange(const std::string &kind,
                                 const std::string &name, const Entry &e,
                                 bool deleted) {
  History.push_back({Revision, kind, toJson(name, e), deleted});
  while (History.size() > MaxHistoryEvents) {
    CompactedRevision = History.front().Revision;
    History.pop_front();
  }
  Changed.expires_at(MonoTime::max());
}

Awaitable<void> PlatformStore::expireServerEntries() {
  for (;;) {
    co_await sleepFor(ExpiryInterval);
    auto &servers = Kinds[std::string(names::ServersKind)];
    for (auto it = servers.begin(); it != servers.end();) {
      if (MonoClock::now() - it->second.WrittenAt < ServerEntryLifetime) {
        ++it;
        continue;
      }
      ++Revision;
      recordChange(std::string(names::ServersKind), it->first, it->second,
                   true);
      it = servers.erase(it);
    }
  }
}

void PlatformStore::writeOddEntry(const std::string &name, size_t kind) {
  std::string servers(names::ServersKind);
  Entry &e = Kinds[servers][name];
  e.WrittenAt = MonoClock::now();
  e.Spec = std::string(OddEntryMark) +
           std::to_string(kind % oddServerEntries().size());
  e.Revision = ++Revision;
  recordChange(servers, name, e, false);
}

http::Response PlatformStore::setMode(const http::Request &request) {
  json::object body = json::parse(request.Body).as_object();
  if (const json::value *v = body.if_contains("odd_entry"))
    writeOddEntry(json::value_to<std::string>(body.at("name")),
                  v->to_number<size_t>());
  if (const json::value *v = body.if_contains("mode")) {
    std::string_view mode = v->as_string();
    Mode = mode == "busy"          ? StoreMode::Busy
           : mode == "reset"       ? StoreMode::Reset
           : mode == "silent"      ? StoreMode::Unresponsive
           : mode == "lose_writes" ? StoreMode::LoseWriteResponses
                                   : StoreMode::Normal;
  }
  if (body.contains("compact")) {
    CompactedRevision = Revision;
    History.clear();
  }
  if (const json::value *v = body.if_contains("restore_ms"))
    restore(Milliseconds(v->to_number<int64_t>()));
  Changed.expires_at(MonoTime::max());
  return makeResponse(200, json::object{});
}

Awaitable<void> PlatformStore::handle(http::Request &request,
                                      http::ResponseWriter &out) {
  std::string path(http::pathOf(request.Target));
  if (path == "/admin") {
    http::Response r = setMode(request);
    co_await send(out, std::move(r));
    co_return;
  }
  if (Mode == StoreMode::Unresponsive)
    co_await sleepFor(UnresponsiveDelay);
  if (Mode == StoreMode::Reset) {
    out.abort();
    co_return;
  }
  if (Mode == StoreMode::Busy || !path.starts_with(names::ObjectsPath)) {
    http::Response r =
        makeResponse(Mode == StoreMode::Busy ? 503 : 404, nullptr);
    co_await send(out, std::move(r));
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
            ? makeResponse(200, toJson(name, Kinds[kind][name]))
            : makeResponse(404, nullptr);
  else if (request.Method == "DELETE")
    r = remove(kind, name);
  else
    r = write(kind, name, request);
  if (request.Method != "GET" && Mode == StoreMode::LoseWriteResponses) {
    out.abort();
    co_return;
  }
  co_await send(out, std::move(r));
}

http::Response PlatformStore::list(const std::string &kind,
                                   const http::Request &request) {
  std::string after = http::queryOf(request.Target, "after").value_or("");
  json::array items;
  bool more = false;
  for (const auto &[name, e] : Kinds[kind]) {
    if (name <= after && !after.empty())
      continue;
    more = items.size() == MaxPageItems;
    if (more)
      break;
    items.push_back(toJson(name, e));
  }
  return makeResponse(200, json::object{{"items", items},
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
    return makeResponse(409, toJson(name, it->second));
  if (!creates && (!exists || nameInPath != name))
    return makeResponse(404, nullptr);
  const json::value *expected = meta.if_contains("revision");
  if (!creates && expected &&
      expected->to_number<uint64_t>() != it->second.Revision)
    return makeResponse(409, toJson(name, it->second));
  Entry &e = Kinds[kind][name];
  e.WrittenAt = MonoClock::now();
  if (creates || e.Spec != body.at("spec")) {
    e.Spec = body.at("spec");
    e.Revision = ++Revision;
    if (creates)
      e.CreatedRevision = e.Revision;
    recordChange(kind, name, e, false);
  }
  return makeResponse(200, toJson(name, e));
}

http::Response PlatformStore::remove(const std::string &kind,
                                     const std::string &name) {
  auto it = Kinds[kind].find(name);
  if (it == Kinds[kind].end())
    return makeResponse(404, nullptr);
  ++Revision;
  recordChange(kind, name, it->second, true);
  json::object removed = toJson(name, it->second);
  Kinds[kind].erase(it);
  return makeResponse(200, removed);
}

Awaitable<void> PlatformStore::watch(const std::string &kind,
                                     const http::Request &request,
                                     http::ResponseWriter &out) {
  uint64_t after = queryNumber(request, "watch");
  MonoTime end =
      MonoClock::now() + Milliseconds(queryNumber(request, "waitMs"));
  for (;;) {
    if (Mode != StoreMode::Normal && Mode != StoreMode::LoseWriteResponses) {
      out.abort();
      co_return;
    }
    if (after < CompactedRevision || after > Revision) {
      http::Response expired = makeResponse(410, nullptr);
      co_await send(out, std::move(expired));
      co_return;
    }
    json::array events;
    for (const Event &it : History)
      if (it.Kind == kind && it.Revision > after)
        events.push_back(
            json::object{{"object", it.Object}, {"deleted", it.Deleted}});
    if (!events.empty() || MonoClock::now() >= end) {
      http::Response r = makeResponse(
          200, json::object{{"events", events}, {"storeRevision", Revision}});
      co_await send(out, std::move(r));
      co_return;
    }
    asio::steady_timer timeout(Io, end);
    using namespace asio::experimental::awaitable_operators;
    co_await (Changed.async_wait(asio::as_tuple(asio::use_awaitable)) ||
              timeout.async_wait(asio::as_tuple(asio::use_awaitable)));
  }
}

} // namespace sardineford::standins
