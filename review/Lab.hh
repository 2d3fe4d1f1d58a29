// Stand-ins for the cases of the second review: the platform's store, backend
// servers and clients in one process, and daemons as processes of their own.
// Everything listens on loopback addresses.
#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lab {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
template <class T> using Task = asio::awaitable<T>;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Socket = asio::use_awaitable_t<>::as_default_on_t<tcp::socket>;

inline asio::io_context Io(1);

inline void go(Task<void> t) {
  asio::co_spawn(Io, std::move(t), [](std::exception_ptr) {});
}

inline Task<void> sleepFor(milliseconds d) {
  asio::steady_timer timer(Io, d);
  co_await timer.async_wait(asio::use_awaitable);
}

inline double secondsSince(Clock::time_point t) {
  return std::chrono::duration<double>(Clock::now() - t).count();
}

/// Returns a free port below those of outgoing connections.
inline uint16_t freePort() {
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    auto port = static_cast<uint16_t>(20'000 + random() % 12'000);
    boost::system::error_code ec;
    tcp::acceptor a(Io);
    a.open(tcp::v4());
    a.bind({asio::ip::address_v4::loopback(), port}, ec);
    static std::set<uint16_t> given;
    if (!ec && given.insert(port).second)
      return port;
  }
}

/// True unless the script runs with TROUBLE=0.
inline bool hasTrouble() {
  const char *v = std::getenv("TROUBLE");
  return !v || std::string(v) != "0";
}

/// A request or a response.
struct Message {
  std::string First;
  std::map<std::string, std::string> Fields; // Lower-case names.
  std::string Body;
  bool Whole = false;

  std::string field(const std::string &name) const {
    auto it = Fields.find(name);
    return it == Fields.end() ? "" : it->second;
  }
  std::string word(int n) const {
    std::string rest = First;
    for (; n > 0; --n)
      rest = rest.substr(std::min(rest.size(), rest.find(' ') + 1));
    return rest.substr(0, rest.find(' '));
  }
  unsigned status() const {
    return static_cast<unsigned>(std::atoi(word(1).c_str()));
  }
};

/// A connection and the bytes that were received and not used yet.
struct Connection {
  explicit Connection(tcp::socket s) : S(std::move(s)) {
    boost::system::error_code ec;
    S.set_option(tcp::no_delay(true), ec);
  }
  Socket S;
  std::string Buffer;

  Task<std::string> line() {
    size_t n = co_await asio::async_read_until(S, asio::dynamic_buffer(Buffer),
                                               "\r\n", asio::use_awaitable);
    std::string out = Buffer.substr(0, n - 2);
    Buffer.erase(0, n);
    co_return out;
  }
  Task<std::string> bytes(size_t n) {
    if (Buffer.size() < n)
      co_await asio::async_read(S, asio::dynamic_buffer(Buffer),
                                asio::transfer_at_least(n - Buffer.size()),
                                asio::use_awaitable);
    std::string out = Buffer.substr(0, n);
    Buffer.erase(0, n);
    co_return out;
  }
  Task<void> write(std::string text) {
    co_await asio::async_write(S, asio::buffer(text), asio::use_awaitable);
  }
  /// Reads a message into `m`, so that a part is known if the peer breaks off.
  Task<void> read(Message &m) {
    m.First = co_await line();
    co_await readRest(m);
  }
  /// The same after the first line.
  Task<void> readRest(Message &m) {
    for (;;) {
      std::string l = co_await line();
      if (l.empty())
        break;
      size_t colon = l.find(':');
      std::string name = l.substr(0, colon);
      for (char &c : name)
        c = static_cast<char>(std::tolower(c));
      size_t at = l.find_first_not_of(' ', colon + 1);
      m.Fields[name] = at == std::string::npos ? "" : l.substr(at);
    }
    if (m.field("transfer-encoding") == "chunked") {
      for (;;) {
        size_t n = std::stoul(co_await line(), nullptr, 16);
        m.Body += co_await bytes(n);
        co_await line();
        if (n == 0)
          break;
      }
    } else if (!m.field("content-length").empty()) {
      m.Body = co_await bytes(std::stoul(m.field("content-length")));
    }
    m.Whole = true;
  }
  void close() {
    boost::system::error_code ec;
    S.close(ec);
  }
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline std::string response(const std::string &status, std::string body,
                            const std::string &fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a port of its own and serves each connection with a function.
class Listener {
public:
  using Serve = std::function<Task<void>(ConnectionPtr)>;
  explicit Listener(Serve serve)
      : Acceptor(Io, {asio::ip::address_v4::loopback(), 0}),
        Port(Acceptor.local_endpoint().port()), Handler(std::move(serve)) {
    Acceptor.listen(4096);
  }
  void start(std::shared_ptr<Listener> self) { go(accept(std::move(self))); }
  /// Closes the port and all connections, as the end of a process does.
  void stop() {
    boost::system::error_code ec;
    Acceptor.close(ec);
    for (const std::weak_ptr<Connection> &it : Open)
      if (ConnectionPtr c = it.lock())
        c->close();
  }

  tcp::acceptor Acceptor;
  uint16_t Port;

private:
  Task<void> accept(std::shared_ptr<Listener> self) {
    while (Acceptor.is_open()) {
      auto c = std::make_shared<Connection>(
          co_await Acceptor.async_accept(asio::use_awaitable));
      std::erase_if(Open, [](const auto &it) { return it.expired(); });
      Open.push_back(c);
      go(serve(self, c));
    }
  }
  static Task<void> serve(std::shared_ptr<Listener> self, ConnectionPtr c) {
    co_await self->Handler(c);
  }

  Serve Handler;
  std::vector<std::weak_ptr<Connection>> Open;
};

/// How one daemon reaches the store.
struct StoreLink {
  /// The daemon is partitioned from the store: nothing passes.
  bool Cut = false;
  /// Addresses at which the daemon reaches others, by their own addresses.
  std::map<std::string, std::string> Addresses;
  std::shared_ptr<Listener> Server;
};

/// The platform's store.
class Store {
public:
  Store() { addLink(); }
  /// Port for a daemon without a link of its own.
  uint16_t port() const { return Links.front()->Server->Port; }
  StoreLink &addLink() {
    auto link = std::make_shared<StoreLink>();
    link->Server = std::make_shared<Listener>(
        [this, link](ConnectionPtr c) { return serve(*link, c); });
    link->Server->start(link->Server);
    Links.push_back(link);
    return *link;
  }

  void put(const std::string &kind, const std::string &name, json::value spec) {
    Entry &e = Kinds[kind][name];
    e = {++Revision, std::move(spec)};
    record(kind, name, false);
  }
  void remove(const std::string &kind, const std::string &name) {
    if (!Kinds[kind].contains(name))
      return;
    ++Revision;
    record(kind, name, true);
    Kinds[kind].erase(name);
  }

private:
  using Answer = std::pair<std::string, json::value>;
  struct Entry {
    uint64_t Revision = 0;
    json::value Spec;
  };
  struct Event {
    uint64_t Revision = 0;
    std::string Kind;
    json::value Value;
  };

  /// Writes the addresses of the daemons as the daemon of the link knows them.
  static std::string translated(const StoreLink &link, std::string text) {
    for (const auto &[from, to] : link.Addresses)
      for (size_t at = text.find('"' + from + '"'); at != std::string::npos;
           at = text.find('"' + from + '"', at + 1))
        text.replace(at + 1, from.size(), to);
    return text;
  }

  json::object toJson(const std::string &name, const Entry &e) const {
    return {{"metadata",
             {{"name", name}, {"revision", e.Revision}, {"createdRev", 1}}},
            {"spec", e.Spec},
            {"status", nullptr}};
  }
  void record(const std::string &kind, const std::string &name, bool deleted) {
    History.push_back({Revision, kind,
                       json::object{{"object", toJson(name, Kinds[kind][name])},
                                    {"deleted", deleted}}});
  }

  Task<void> serve(StoreLink &link, ConnectionPtr c) {
    for (;;) {
      Message m;
      co_await c->read(m);
      // What a partition holds up is lost.
      if (link.Cut)
        co_await silence(link);
      std::string target = m.word(1);
      std::string query =
          target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
      std::string path = target.substr(0, target.find('?'));
      std::string kind = path.substr(std::string("/sardineford/objects/").size());
      std::string name;
      if (size_t slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
      }
      Answer a;
      if (m.word(0) == "GET" && query.starts_with("watch="))
        a = co_await watch(kind, query);
      else
        a = answer(m, kind, name, query);
      if (link.Cut)
        co_await silence(link);
      co_await c->write(
          response(a.first, translated(link, json::serialize(a.second)),
                   "Store-Era: 1\r\nContent-Type: application/json\r\n"));
    }
  }

  Answer answer(const Message &m, const std::string &kind, std::string name,
                const std::string &query) {
    auto &all = Kinds[kind];
    if (m.word(0) == "GET" && name.empty()) {
      std::string after =
          query.starts_with("after=") ? query.substr(6) : std::string();
      json::array items;
      for (const auto &[n, e] : all)
        if (n > after && items.size() < 500)
          items.push_back(toJson(n, e));
      return {"200 OK", json::object{{"items", items},
                                     {"hasMore", items.size() == 500},
                                     {"storeRevision", Revision}}};
    }
    json::object in;
    if (!m.Body.empty())
      in = json::parse(m.Body).as_object();
    json::object meta;
    if (in.contains("metadata"))
      meta = in.at("metadata").as_object();
    if (name.empty())
      name = json::value_to<std::string>(meta.at("name"));
    bool exists = all.contains(name);
    if (m.word(0) == "POST" ? exists : !exists)
      return {m.word(0) == "POST" ? "409 Conflict" : "404 Not Found",
              exists ? json::value(toJson(name, all[name])) : json::value()};
    if (m.word(0) == "GET")
      return {"200 OK", toJson(name, all[name])};
    if (meta.contains("revision") &&
        meta.at("revision").to_number<uint64_t>() != all[name].Revision)
      return {"409 Conflict", toJson(name, all[name])};
    if (m.word(0) == "DELETE") {
      remove(kind, name);
      return {"200 OK", json::object{}};
    }
    if (!exists || all[name].Spec != in.at("spec"))
      put(kind, name, in.at("spec"));
    return {"200 OK", toJson(name, all[name])};
  }

  /// Ends the connection after the partition.
  static Task<void> silence(StoreLink &link) {
    while (link.Cut)
      co_await sleepFor(milliseconds(50));
    throw std::runtime_error("partitioned");
  }

  Task<Answer> watch(std::string kind, std::string query) {
    uint64_t after = std::stoull(query.substr(6));
    auto end = Clock::now() + milliseconds(std::stoll(
                                  query.substr(query.find("waitMs=") + 7)));
    for (;;) {
      json::array events;
      for (const Event &it : History)
        if (it.Kind == kind && it.Revision > after)
          events.push_back(it.Value);
      if (!events.empty() || Clock::now() >= end)
        co_return Answer{"200 OK", json::object{{"events", events},
                                                {"storeRevision", Revision}}};
      asio::steady_timer timer(Io, milliseconds(10));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  std::map<std::string, std::map<std::string, Entry>> Kinds;
  std::vector<Event> History;
  uint64_t Revision = 1;
  std::vector<std::shared_ptr<StoreLink>> Links;
};

/// A backend server with an entry in the store.
struct Worker {
  /// Serves a request that is for this worker. Returns whether the connection
  /// stays open.
  using Serve = std::function<Task<bool>(Worker &, const Message &, Connection &)>;

  Worker(Store &store, std::string id, std::string service, Serve serve)
      : At(store), Id(std::move(id)), Service(std::move(service)),
        Handler(std::move(serve)) {}

  static std::shared_ptr<Worker> start(Store &store, std::string id,
                                       std::string service, Serve serve,
                                       std::string stage = "",
                                       unsigned slots = 64,
                                       std::string version = "v1") {
    auto w = std::make_shared<Worker>(store, std::move(id), std::move(service),
                                      std::move(serve));
    w->Stage = std::move(stage);
    w->Slots = slots;
    w->Version = std::move(version);
    w->Born = std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    w->Server = std::make_shared<Listener>(
        [w](ConnectionPtr c) { return serveAll(w, c); });
    w->Server->start(w->Server);
    w->report("ready");
    return w;
  }
  void report(const std::string &state) {
    json::object spec = {{"service", Service},
                         {"address", "127.0.0.1:" + std::to_string(Server->Port)},
                         {"zone", "a"},
                         {"version", Version},
                         {"slots", Slots},
                         {"state", state},
                         {"coldRemainingMs", 0},
                         {"born", Born},
                         {"sequence", ++Sequence}};
    if (!Stage.empty())
      spec["stage"] = Stage;
    At.put("servers", Id, spec);
  }
  /// Reports that it leaves, serves for the drain time and ends.
  static Task<void> leave(std::shared_ptr<Worker> w, milliseconds drain) {
    w->report("draining");
    co_await sleepFor(drain);
    while (w->Running > 0)
      co_await sleepFor(milliseconds(20));
    w->At.remove("servers", w->Id);
    w->Server->stop();
  }

  Store &At;
  std::string Id;
  std::string Service;
  std::string Stage;
  std::string Version = "v1";
  unsigned Slots = 64;
  int64_t Born = 0;
  uint64_t Sequence = 0;
  int Running = 0;
  std::shared_ptr<Listener> Server;

private:
  static Task<void> serveAll(std::shared_ptr<Worker> w, ConnectionPtr c) {
    for (;;) {
      Message m;
      co_await c->read(m);
      std::string instance = "Instance-Id: " + w->Id + "\r\n";
      if (m.word(1) == "/health") {
        co_await c->write(response("200 OK", "", instance));
        continue;
      }
      std::string id = "Request-Id: " + m.field("request-id") + "\r\n";
      if (!m.field("expect-instance").empty() &&
          m.field("expect-instance") != w->Id) {
        co_await c->write(response("421 Misdirected", "", instance + id));
        continue;
      }
      ++w->Running;
      bool keep = false;
      try {
        keep = co_await w->Handler(*w, m, *c);
      } catch (const std::exception &) {
        keep = false;
      }
      --w->Running;
      if (!keep)
        break;
    }
    c->close();
  }

  Serve Handler;
};

/// A daemon, started with the command of the deploy file and the settings that
/// its template makes.
class Daemon {
public:
  struct Options {
    std::string Name = "front-a-1";
    unsigned MemoryMb = 260;
    unsigned Descriptors = 4200;
    uint16_t Store = 0;
    double RetrySlack = 52;
  };

  Daemon(const std::string &folder, Options o) : Settings(std::move(o)) {
    Front = freePort();
    Readiness = freePort();
    Peer = freePort();
    Metrics = freePort();
    File = folder + "/" + Settings.Name + ".json";
    Log = folder + "/" + Settings.Name + ".log";
    auto at = [](uint16_t p) { return "127.0.0.1:" + std::to_string(p); };
    json::object settings = {
        {"node",
         {{"name", Settings.Name},
          {"failure_domain", "a"},
          {"http_listen", at(Front)},
          {"memory_mb", Settings.MemoryMb},
          {"max_descriptors", Settings.Descriptors}}},
        {"platform", {{"endpoint", at(Settings.Store)}}},
        {"gateway",
         {{"readiness_listen", at(Readiness)},
          {"peer_listen", at(Peer)},
          {"metrics_listen", at(Metrics)},
          {"retry_ratio", 0.2},
          {"retry_slack", Settings.RetrySlack},
          {"retry_window_s", 10},
          {"stop_grace_s", 8},
          {"server_pace", true}}},
        {"log", {{"json", true}, {"stdout", true}}}};
    std::ofstream(File) << json::serialize(settings);
  }
  ~Daemon() { kill(SIGKILL); }

  void start() {
    Pid = fork();
    if (Pid != 0)
      return;
    // Of the descriptors of a machine, 200 are reserved for files.
    rlimit limit{Settings.Descriptors - 200, Settings.Descriptors - 200};
    setrlimit(RLIMIT_NOFILE, &limit);
    setenv("SARDINEFORD_CONFIG", File.c_str(), 1);
    if (!std::freopen(Log.c_str(), "a", stdout) ||
        !std::freopen(Log.c_str(), "a", stderr))
      _exit(127);
    close_range(3, ~0U, 0);
    execl("target/sardineford", "target/sardineford", nullptr);
    _exit(127);
  }
  void kill(int signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, signal);
    if (signal == SIGKILL) {
      waitpid(Pid, nullptr, 0);
      Pid = 0;
    }
  }
  bool isRunning() const { return Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == 0; }
  size_t descriptors() const {
    auto folder = std::filesystem::directory_iterator(
        "/proc/" + std::to_string(Pid) + "/fd");
    return static_cast<size_t>(std::distance(begin(folder), end(folder)));
  }

  uint16_t Front, Readiness, Peer, Metrics;
  pid_t Pid = 0;

private:
  Options Settings;
  std::string File;
  std::string Log;
};

/// The path of datagrams between two daemons, which know each other by the
/// ports of this relay.
class DatagramLink {
public:
  DatagramLink(uint16_t a, uint16_t b) {
    go(copy(ForA, ForB, b));
    go(copy(ForB, ForA, a));
  }
  /// Address of the second daemon for the first one, and the reverse.
  std::string addressForFirst() const { return addressOf(ForA); }
  std::string addressForSecond() const { return addressOf(ForB); }
  bool Cut = false;

private:
  using Udp = asio::ip::udp;
  static std::string addressOf(const Udp::socket &s) {
    return "127.0.0.1:" + std::to_string(s.local_endpoint().port());
  }
  Task<void> copy(Udp::socket &in, Udp::socket &out, uint16_t to) {
    std::string buf(65536, '\0');
    for (;;) {
      boost::system::error_code ec;
      Udp::endpoint from;
      size_t n = co_await in.async_receive_from(
          asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
      if (!ec && !Cut)
        out.send_to(asio::buffer(buf, n), {asio::ip::address_v4::loopback(), to},
                    0, ec);
    }
  }
  Udp::socket ForA{Io, {asio::ip::address_v4::loopback(), 0}};
  Udp::socket ForB{Io, {asio::ip::address_v4::loopback(), 0}};
};

/// Connects within a second, as clients do. Returns nothing otherwise.
inline Task<ConnectionPtr> connect(uint16_t port,
                                   milliseconds limit = milliseconds(1000)) {
  tcp::socket s(Io);
  asio::steady_timer timer(Io, limit);
  timer.async_wait([&s](boost::system::error_code ec) {
    if (!ec)
      s.cancel(ec);
  });
  boost::system::error_code ec;
  co_await s.async_connect({asio::ip::address_v4::loopback(), port},
                           asio::redirect_error(asio::use_awaitable, ec));
  timer.cancel();
  if (ec)
    co_return nullptr;
  co_return std::make_shared<Connection>(std::move(s));
}

/// Sends a request and reads the answer until it is whole, the peer breaks off
/// or the time is over: `limit` for all, `firstLimit` for its begin. Closes the
/// connection unless it is whole. Calls `onBegin` when the answer begins.
inline Task<Message> call(ConnectionPtr c, std::string request,
                          milliseconds limit, milliseconds firstLimit,
                          std::function<void()> onBegin = {}) {
  auto m = std::make_shared<Message>();
  asio::steady_timer all(Io, limit);
  all.async_wait([c](boost::system::error_code ec) {
    if (!ec)
      c->close();
  });
  asio::steady_timer first(Io, firstLimit);
  first.async_wait([c, m](boost::system::error_code ec) {
    if (!ec && m->First.empty())
      c->close();
  });
  try {
    co_await c->write(std::move(request));
    m->First = co_await c->line();
    if (onBegin)
      onBegin();
    co_await c->readRest(*m);
  } catch (const std::exception &) {
    c->close();
  }
  co_return *m;
}

/// The platform's balancer: whether the daemon says that it is ready, asked
/// every second on a kept connection.
class Balancer {
public:
  explicit Balancer(uint16_t readiness) : Port(readiness) { go(ask()); }
  bool Ready = false;

private:
  Task<void> ask() {
    ConnectionPtr c;
    for (;;) {
      if (!c || !c->S.is_open())
        c = co_await connect(Port);
      Message m;
      if (c)
        m = co_await call(c, "GET /sardineford/readiness HTTP/1.1\r\nHost: a\r\n\r\n",
                          milliseconds(1000), milliseconds(1000));
      Misses = m.Whole && m.status() == 200 ? 0 : Misses + 1;
      Ready = Misses < 2 && (Ready || Misses == 0);
      co_await sleepFor(milliseconds(Ready ? 1000 : 200));
    }
  }
  uint16_t Port;
  int Misses = 1;
};

inline json::object route(const std::string &name, const std::string &prefix,
                          const std::string &kind, const std::string &service,
                          bool resumable, int timeoutMs, int attempts) {
  return {{"name", name},           {"host", "users.example"},
          {"pathPrefix", prefix},   {"kind", kind},
          {"timeoutMs", timeoutMs}, {"targetLatencyMs", 300},
          {"priority", 1},          {"service", service},
          {"maxAttempts", attempts}, {"sticky", kind == "streaming"},
          {"resumable", resumable}, {"gapAimMs", 250}};
}

inline std::string requestId() {
  static uint64_t n = static_cast<uint64_t>(getpid()) << 32U;
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(++n));
  return out;
}

/// Runs a case with a folder for its files, and returns the script's result.
inline int run(std::function<Task<int>(std::string folder)> body,
               std::chrono::seconds limit = std::chrono::seconds(115)) {
  std::signal(SIGPIPE, SIG_IGN);
  // The clients and workers of this process need some thousand descriptors.
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 20'000);
  if (descriptors.rlim_cur < 5'000 ||
      setrlimit(RLIMIT_NOFILE, &descriptors) != 0)
    return 2;
  std::string folder = "/tmp/review-case-XXXXXX";
  if (!mkdtemp(folder.data()))
    return 2;
  int result = 2;
  asio::co_spawn(Io, body(folder), [&](std::exception_ptr e, int r) {
    result = e ? 2 : r;
    Io.stop();
  });
  Io.run_for(limit);
  std::filesystem::remove_all(folder);
  return result;
}

} // namespace lab
