// Stand-ins of the third review: the platform's store, backend servers and
// callers, on loopback addresses. Blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}
inline int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double t) { sleepMs(std::max(0.0, (t - now()) * 1000)); }

/// The record of a run: what was sent, answered and run.
inline FILE *RecordFile = nullptr;
inline void openRecord(const std::string &path) {
  RecordFile = std::fopen(path.c_str(), "w");
  if (!RecordFile)
    std::exit(2);
}
__attribute__((format(printf, 1, 2))) inline void record(const char *fmt, ...) {
  static std::mutex m;
  std::lock_guard<std::mutex> lock(m);
  va_list args;
  va_start(args, fmt);
  std::fprintf(RecordFile, "%8.3f ", now());
  std::vfprintf(RecordFile, fmt, args);
  std::fprintf(RecordFile, "\n");
  std::fflush(RecordFile);
  va_end(args);
}

/// Processes that the case has started and not ended, and its folder.
inline std::set<pid_t> Children;
inline std::string Folder;

/// Ends all processes that the case has started, and the case.
[[noreturn]] inline void end(int code) {
  for (pid_t it : Children)
    ::kill(it, SIGKILL);
  for (pid_t it : Children)
    ::waitpid(it, nullptr, 0);
  std::error_code ec;
  if (!Folder.empty())
    std::filesystem::remove_all(Folder, ec);
  std::fflush(nullptr);
  std::_Exit(code);
}

/// Ends a case that could not run.
[[noreturn]] inline void cannotRun(const char *why) {
  record("the case could not run: %s", why);
  end(2);
}

// --- sockets -------------------------------------------------------------

inline sockaddr_in at(int port, const char *host = "127.0.0.1") {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, host, &a.sin_addr);
  return a;
}

/// Returns a free port below those that the kernel gives to connections.
inline int freePort() {
  static int next = 20'000 + ::getpid() % 10'000;
  for (int tries = 0; tries < 12'000; ++tries) {
    next = next < 32'000 ? next + 1 : 20'000;
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = at(next);
    bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) == 0;
    ::close(fd);
    if (isFree)
      return next;
  }
  cannotRun("no port is free");
}

inline int listenOn(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in a = at(port);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) != 0 ||
      ::listen(fd, 256) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

inline int connectTo(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = at(port);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) != 0) {
    ::close(fd);
    return -1;
  }
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool sendAll(int fd, const std::string &bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    ssize_t n =
        ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

/// Closes a connection with a reset.
inline void resetConnection(int fd) {
  linger l{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
  ::close(fd);
}

// --- messages ------------------------------------------------------------

enum class End { Complete, Closed, Reset, Timeout };

struct Message {
  std::string First;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string get(const char *name) const {
    for (const auto &[k, v] : Headers)
      if (::strcasecmp(k.c_str(), name) == 0)
        return v;
    return "";
  }
  std::string word(int i) const {
    std::string rest = First;
    while (i-- > 0) {
      size_t sp = rest.find(' ');
      rest = sp == std::string::npos ? "" : rest.substr(sp + 1);
    }
    return rest.substr(0, rest.find(' '));
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages from one connection.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  End more(double until) {
    pollfd p{Fd, POLLIN, 0};
    double left = std::max(0.0, until - now());
    int n = ::poll(&p, 1, static_cast<int>(left * 1000) + 1);
    if (n <= 0)
      return End::Timeout;
    char buf[16384];
    ssize_t r = ::recv(Fd, buf, sizeof(buf), 0);
    if (r == 0)
      return End::Closed;
    if (r < 0)
      return End::Reset;
    Buf.append(buf, static_cast<size_t>(r));
    return End::Complete;
  }

  /// Reads a head.
  End readHead(Message &out, double until) {
    size_t end = 0;
    while ((end = Buf.find("\r\n\r\n")) == std::string::npos)
      if (End e = more(until); e != End::Complete)
        return e;
    std::string head = Buf.substr(0, end + 2);
    Buf.erase(0, end + 4);
    size_t eol = head.find("\r\n");
    out.First = head.substr(0, eol);
    size_t pos = eol + 2;
    while (pos < head.size()) {
      eol = head.find("\r\n", pos);
      std::string line = head.substr(pos, eol - pos);
      pos = eol + 2;
      size_t colon = line.find(':');
      size_t v = line.find_first_not_of(' ', colon + 1);
      out.Headers.emplace_back(line.substr(0, colon),
                               v == std::string::npos ? "" : line.substr(v));
    }
    return End::Complete;
  }

  /// Reads a body by its length or chunks; without both, to the end of the
  /// connection if toEnd is set.
  End readBody(Message &out, double until, bool toEnd) {
    std::string length = out.get("Content-Length");
    if (::strcasecmp(out.get("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        size_t eol = 0;
        while ((eol = Buf.find("\r\n")) == std::string::npos)
          if (End e = more(until); e != End::Complete)
            return e;
        size_t n = std::strtoul(Buf.c_str(), nullptr, 16);
        while (Buf.size() < eol + 2 + n + 2)
          if (End e = more(until); e != End::Complete)
            return e;
        out.Body += Buf.substr(eol + 2, n);
        Buf.erase(0, eol + 2 + n + 2);
        if (n == 0)
          return End::Complete;
      }
    }
    if (!length.empty()) {
      size_t n = std::strtoul(length.c_str(), nullptr, 10);
      while (Buf.size() < n)
        if (End e = more(until); e != End::Complete) {
          out.Body = Buf;
          return e;
        }
      out.Body = Buf.substr(0, n);
      Buf.erase(0, n);
      return End::Complete;
    }
    if (!toEnd)
      return End::Complete;
    for (;;)
      if (End e = more(until); e != End::Complete) {
        out.Body = std::exchange(Buf, {});
        return e == End::Closed ? End::Complete : e;
      }
  }

  std::string Buf;

private:
  int Fd;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string responseText(int status, const Headers &headers,
                                const std::string &body,
                                bool withLength = true) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto &[k, v] : headers)
    out += k + ": " + v + "\r\n";
  if (withLength)
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own.
class Listener {
public:
  Listener(int port, std::function<void(int)> serve)
      : Port(port), Fd(listenOn(port)) {
    std::thread([this, serve] {
      for (;;) {
        int c = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (c < 0)
          return;
        int one = 1;
        ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([serve, c] { serve(c); }).detach();
      }
    }).detach();
  }
  void stop() {
    ::shutdown(Fd, SHUT_RDWR);
    ::close(Fd);
  }

  int Port;

private:
  int Fd;
};

// --- JSON ----------------------------------------------------------------

/// Returns the text of a member of a JSON object; empty if there is none.
inline std::string member(const std::string &text, const std::string &name) {
  int depth = 0;
  std::string key;
  for (size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '"') {
      size_t end = i + 1;
      while (end < text.size() && text[end] != '"')
        end += text[end] == '\\' ? 2 : 1;
      std::string s = text.substr(i + 1, end - i - 1);
      i = end;
      size_t colon = text.find_first_not_of(" \n", i + 1);
      if (depth != 1 || colon == std::string::npos || text[colon] != ':' ||
          s != name)
        continue;
      size_t from = text.find_first_not_of(" \n", colon + 1);
      int d = 0;
      size_t at = from;
      for (; at < text.size(); ++at) {
        char v = text[at];
        if (v == '"') {
          ++at;
          while (text[at] != '"')
            at += text[at] == '\\' ? 2 : 1;
          continue;
        }
        if (v == '{' || v == '[')
          ++d;
        if (v == '}' || v == ']') {
          if (d == 0)
            break;
          --d;
        }
        if (v == ',' && d == 0)
          break;
      }
      return text.substr(from, at - from);
    }
    depth += c == '{' || c == '[' ? 1 : 0;
    depth -= c == '}' || c == ']' ? 1 : 0;
  }
  return "";
}
inline std::string unquoted(const std::string &s) {
  return s.size() >= 2 && s.front() == '"' ? s.substr(1, s.size() - 2) : s;
}

// --- store ---------------------------------------------------------------

/// The platform's metadata store.
class Store {
public:
  Store() : Listen(freePort(), [this](int fd) { serve(fd, nullptr); }) {}

  int port() const { return Listen.Port; }
  using Rewrite = std::function<std::string(std::string)>;
  /// Returns a further port, whose answers are rewritten: a process behind a
  /// proxy sees the addresses of the proxy.
  int addPort(Rewrite rewrite) {
    Further.push_back(std::make_unique<Listener>(
        freePort(), [this, rewrite](int fd) { serve(fd, rewrite); }));
    return Further.back()->Port;
  }

  void put(const std::string &kind, const std::string &name,
           const std::string &spec) {
    std::lock_guard<std::mutex> lock(M);
    write(kind, name, spec);
  }
  void remove(const std::string &kind, const std::string &name) {
    std::lock_guard<std::mutex> lock(M);
    erase(kind, name);
  }
  /// Cuts off the watches that wait, on the connections to this port.
  int cutWatches() {
    std::lock_guard<std::mutex> lock(M);
    for (int fd : Waiting)
      ::shutdown(fd, SHUT_RDWR);
    int n = static_cast<int>(Waiting.size());
    return n;
  }
  std::string specOf(const std::string &kind, const std::string &name) {
    std::lock_guard<std::mutex> lock(M);
    auto it = Kinds[kind].find(name);
    return it == Kinds[kind].end() ? "" : it->second.Spec;
  }
  /// Called for each call, before it is carried out; returns false to close
  /// the connection instead.
  std::function<bool(const Message &)> Before;
  /// The same after it; returns false to lose the answer.
  std::function<bool(const Message &)> After;
  int Era = 0;

private:
  struct Object {
    uint64_t Revision = 0;
    uint64_t Created = 0;
    std::string Spec;
  };
  struct Event {
    uint64_t Revision;
    std::string Kind;
    std::string Text;
  };

  static std::string text(const std::string &name, const Object &o) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(o.Revision) +
           ",\"createdRev\":" + std::to_string(o.Created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + o.Spec +
           ",\"status\":null}";
  }
  Object &write(const std::string &kind, const std::string &name,
                const std::string &spec) {
    auto [it, isNew] = Kinds[kind].try_emplace(name);
    if (!isNew && it->second.Spec == spec)
      return it->second;
    it->second.Spec = spec;
    it->second.Revision = ++Revision;
    if (isNew)
      it->second.Created = Revision;
    History.push_back(
        {Revision, kind,
         "{\"object\":" + text(name, it->second) + ",\"deleted\":false}"});
    Changed.notify_all();
    return it->second;
  }
  void erase(const std::string &kind, const std::string &name) {
    auto it = Kinds[kind].find(name);
    if (it == Kinds[kind].end())
      return;
    it->second.Revision = ++Revision;
    History.push_back(
        {Revision, kind,
         "{\"object\":" + text(name, it->second) + ",\"deleted\":true}"});
    Kinds[kind].erase(it);
    Changed.notify_all();
  }

  void serve(int fd, const Rewrite &rewrite) {
    Reader in(fd);
    for (;;) {
      Message r;
      if (in.readHead(r, now() + 60) != End::Complete ||
          in.readBody(r, now() + 10, false) != End::Complete)
        break;
      if (Before && !Before(r))
        break;
      std::string body;
      int status = handle(fd, r, body);
      if (status == 0 || (After && !After(r)))
        break;
      if (rewrite)
        body = rewrite(std::move(body));
      if (!sendAll(fd, responseText(status,
                                    {{"Content-Type", "application/json"},
                                     {"Store-Era", std::to_string(Era)}},
                                    body)))
        break;
    }
    ::close(fd);
  }

  /// Returns 0 to close the connection.
  int handle(int fd, const Message &r, std::string &body) {
    std::string target = r.target();
    size_t q = target.find('?');
    std::string query = q == std::string::npos ? "" : target.substr(q + 1);
    std::string path = target.substr(0, q);
    const std::string prefix = "/sardineford/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
      return 404;
    std::string kind = path.substr(prefix.size());
    std::string name;
    if (size_t slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    auto number = [&](const char *key) -> uint64_t {
      size_t k = query.find(std::string(key) + "=");
      return k == std::string::npos
                 ? 0
                 : std::strtoull(query.c_str() + k + std::strlen(key) + 1,
                                 nullptr, 10);
    };
    std::unique_lock<std::mutex> lock(M);
    if (r.method() == "GET" && query.find("watch=") != std::string::npos) {
      uint64_t after = number("watch");
      Clock::time_point end =
          Clock::now() + std::chrono::milliseconds(number("waitMs"));
      Waiting.insert(fd);
      std::string events;
      for (;;) {
        for (const Event &it : History)
          if (it.Kind == kind && it.Revision > after)
            events += (events.empty() ? "" : ",") + it.Text;
        if (!events.empty() || Clock::now() >= end)
          break;
        Changed.wait_until(lock, end);
      }
      Waiting.erase(fd);
      body = "{\"events\":[" + events +
             "],\"storeRevision\":" + std::to_string(Revision) + "}";
      return 200;
    }
    if (r.method() == "GET" && name.empty()) {
      std::string items;
      for (const auto &[n, o] : Kinds[kind])
        items += (items.empty() ? "" : ",") + text(n, o);
      body = "{\"items\":[" + items + "],\"hasMore\":false,\"storeRevision\":" +
             std::to_string(Revision) + "}";
      return 200;
    }
    if (r.method() == "GET") {
      auto it = Kinds[kind].find(name);
      if (it == Kinds[kind].end())
        return 404;
      body = text(name, it->second);
      return 200;
    }
    if (r.method() == "DELETE") {
      erase(kind, name);
      body = "{}";
      return 200;
    }
    std::string meta = member(r.Body, "metadata");
    std::string named = unquoted(member(meta, "name"));
    std::string expected = member(meta, "revision");
    auto it = Kinds[kind].find(named);
    bool exists = it != Kinds[kind].end();
    if (r.method() == "POST"
            ? exists
            : exists && !expected.empty() &&
                  std::stoull(expected) != it->second.Revision) {
      body = text(named, it->second);
      return 409;
    }
    if (r.method() == "PUT" && !exists)
      return 404;
    body = text(named, write(kind, named, member(r.Body, "spec")));
    return 200;
  }

  std::mutex M;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Object>> Kinds;
  std::vector<Event> History;
  uint64_t Revision = 100;
  std::set<int> Waiting;
  std::vector<std::unique_ptr<Listener>> Further;
  Listener Listen;
};

// --- proxy ---------------------------------------------------------------

/// A TCP proxy on a port of its own.
class Proxy {
public:
  explicit Proxy(int to)
      : To(to), Listen(freePort(), [this](int fd) { serve(fd); }) {}

  int port() const { return Listen.Port; }
  /// New connections are reset.
  std::atomic<bool> Refuses{false};
  /// Bytes wait until this ends.
  std::atomic<bool> Holds{false};
  /// Closes all connections with a reset.
  void resetAll() { ++Generation; }

private:
  void serve(int fd) {
    int generation = Generation;
    if (Refuses) {
      resetConnection(fd);
      return;
    }
    while (Holds && generation == Generation)
      sleepMs(5);
    int to = generation == Generation ? connectTo(To) : -1;
    if (to < 0) {
      resetConnection(fd);
      return;
    }
    pollfd p[2] = {{fd, POLLIN, 0}, {to, POLLIN, 0}};
    bool reset = false;
    for (;;) {
      if (generation != Generation) {
        reset = true;
        break;
      }
      if (Holds) {
        sleepMs(5);
        continue;
      }
      if (::poll(p, 2, 10) <= 0)
        continue;
      bool ended = false;
      for (int i = 0; i < 2 && !ended; ++i) {
        if (!p[i].revents)
          continue;
        char buf[16384];
        ssize_t n = ::recv(p[i].fd, buf, sizeof(buf), 0);
        if (n <= 0) {
          ended = true;
          reset = n < 0;
          break;
        }
        while (Holds && generation == Generation)
          sleepMs(5);
        if (!sendAll(p[1 - i].fd, std::string(buf, static_cast<size_t>(n))))
          ended = reset = true;
      }
      if (ended)
        break;
    }
    if (reset) {
      resetConnection(fd);
      resetConnection(to);
    } else {
      ::close(fd);
      ::close(to);
    }
  }

  int To;
  std::atomic<int> Generation{0};
  Listener Listen;
};

// --- backend servers -----------------------------------------------------

class Worker;
/// Serves one request that has been read; returns false to close the
/// connection.
using Serve = std::function<bool(Worker &, int fd, const Message &)>;

/// A backend server. Each request that it begins is recorded.
class Worker {
public:
  Worker(Store &store, std::string id, std::string service, Serve serve)
      : Id(std::move(id)), Service(std::move(service)), Platform(store),
        Handle(std::move(serve)), Born(unixMs()),
        Listen(freePort(), [this](int fd) { serveConnection(fd); }) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listen.Port);
  }
  /// Writes the entry. `more` is appended to its fields.
  void announce(const std::string &state = "ready",
                const std::string &more = "") {
    Platform.put("servers", Id,
                 "{\"service\":\"" + Service + "\",\"address\":\"" + address() +
                     "\",\"zone\":\"" + Zone + "\",\"version\":\"" + Version +
                     "\",\"slots\":" + std::to_string(Slots) + ",\"state\":\"" +
                     state + "\",\"coldRemainingMs\":0,\"sequence\":" +
                     std::to_string(++Sequence) +
                     ",\"born\":" + std::to_string(Born) + more + "}");
  }
  /// Answers a request with success.
  bool answer(int fd, const Message &r, const std::string &body,
              Headers more = {}) {
    Headers h = {{"Request-Id", r.get("Request-Id")},
                 {"Server-Seal", "seal-" + Id + "-" + r.get("Request-Id")},
                 {"Content-Type", "text/plain"}};
    h.insert(h.end(), more.begin(), more.end());
    return sendAll(fd, responseText(200, h, body));
  }
  void began(const Message &r) {
    record("%s begins %s %s %s deadline %s", Id.c_str(), r.method().c_str(),
           r.target().c_str(), r.get("Request-Id").c_str(),
           r.get("Deadline-Ms").c_str());
    std::lock_guard<std::mutex> lock(M);
    Runs.push_back({now(), r.get("Request-Id")});
  }
  struct Run {
    double At;
    std::string RequestId;
  };
  std::vector<Run> runs() {
    std::lock_guard<std::mutex> lock(M);
    return Runs;
  }
  int runsOf(const std::string &id) {
    int n = 0;
    for (const Run &it : runs())
      n += it.RequestId == id ? 1 : 0;
    return n;
  }
  /// Ends the process that the worker stands for: all its connections close.
  void exit() {
    Listen.stop();
    std::lock_guard<std::mutex> lock(M);
    for (int fd : Open)
      ::shutdown(fd, SHUT_RDWR);
  }

  std::string Id;
  std::string Service;
  std::string Zone = "a";
  std::string Version = "1";
  int Slots = 8;

private:
  void serveConnection(int fd) {
    {
      std::lock_guard<std::mutex> lock(M);
      Open.insert(fd);
    }
    serveRequests(fd);
    std::lock_guard<std::mutex> lock(M);
    Open.erase(fd);
    ::close(fd);
  }
  void serveRequests(int fd) {
    Reader in(fd);
    for (;;) {
      Message r;
      if (in.readHead(r, now() + 60) != End::Complete ||
          in.readBody(r, now() + 10, false) != End::Complete)
        break;
      std::string expected = r.get("Expect-Instance");
      if (!expected.empty() && expected != Id) {
        sendAll(fd, responseText(421,
                                 {{"Instance-Id", Id},
                                  {"Not-Executed", "1"},
                                  {"Request-Id", r.get("Request-Id")}},
                                 ""));
        continue;
      }
      if (r.target() == "/health") {
        sendAll(fd, responseText(200, {{"Instance-Id", Id}}, ""));
        continue;
      }
      if (!Handle(*this, fd, r))
        break;
    }
  }

  Store &Platform;
  Serve Handle;
  std::mutex M;
  std::vector<Run> Runs;
  std::set<int> Open;
  int Sequence = 0;

public:
  int64_t Born;

private:
  Listener Listen;
};

// --- daemons -------------------------------------------------------------

/// Folder for settings and logs of the run.
inline std::string folder() {
  if (Folder.empty()) {
    char t[] = "/tmp/review-3-XXXXXX";
    if (::mkdtemp(t))
      Folder = t;
  }
  return Folder;
}

/// Further settings of the daemons.
struct DaemonOptions {
  int MemoryMb = 260;
  int GraceS = 8;
  double RetrySlack = 52;
  std::string Duties; // JSON object
};

/// A process of the system, with the settings of the deploy file's template.
class Daemon {
public:
  Daemon(std::string name, int storePort, DaemonOptions o = {},
         std::string zone = "a")
      : Name(std::move(name)), StorePort(storePort), Options(std::move(o)),
        Zone(std::move(zone)) {
    for (int *it : {&Front, &Ready, &Peer, &Metrics})
      *it = freePort();
    std::ofstream out(settingsFile());
    auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    out << "{\"node\":{\"name\":\"" << Name << "\",\"failure_domain\":\""
        << Zone << "\",\"http_listen\":" << address(Front)
        << ",\"memory_mb\":" << Options.MemoryMb
        << ",\"max_descriptors\":4100},\"platform\":{\"endpoint\":"
        << address(StorePort)
        << "},\"gateway\":{\"readiness_listen\":" << address(Ready)
        << ",\"peer_listen\":" << address(Peer)
        << ",\"metrics_listen\":" << address(Metrics)
        << ",\"retry_ratio\":0.2,\"retry_slack\":" << Options.RetrySlack
        << ",\"retry_window_s\":10,\"stop_grace_s\":" << Options.GraceS
        << ",\"server_pace\":true},"
        << (Options.Duties.empty() ? "" : "\"duties\":" + Options.Duties + ",")
        << "\"log\":{\"json\":true,\"stdout\":true}}\n";
  }
  ~Daemon() { kill(SIGKILL); }

  std::string settingsFile() const { return folder() + "/" + Name + ".json"; }
  std::string logFile() const { return folder() + "/" + Name + ".log"; }

  void start() {
    Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = ::open(logFile().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      rlimit fds{4100, 4100};
      ::setrlimit(RLIMIT_NOFILE, &fds);
      std::string config = "SARDINEFORD_CONFIG=" + settingsFile();
      char *const env[] = {config.data(), nullptr};
      char program[] = "target/sardineford";
      char *const args[] = {program, nullptr};
      ::execve(program, args, env);
      std::_Exit(127);
    }
    Children.insert(Pid);
    record("%s started", Name.c_str());
  }
  void kill(int signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, signal);
    if (signal != SIGKILL)
      return;
    ::waitpid(Pid, nullptr, 0);
    Children.erase(Pid);
    Pid = 0;
  }
  bool waitReady(double seconds) {
    double until = now() + seconds;
    while (now() < until) {
      int fd = connectTo(Ready);
      if (fd >= 0) {
        sendAll(fd, "GET /sardineford/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader in(fd);
        Message m;
        bool ok =
            in.readHead(m, now() + 1) == End::Complete && m.status() == 200;
        ::close(fd);
        if (ok)
          return true;
      }
      sleepMs(20);
    }
    return false;
  }

  std::string Name;
  int Front = 0;
  int Ready = 0;
  int Peer = 0;
  int Metrics = 0;
  pid_t Pid = 0;

private:
  int StorePort;
  DaemonOptions Options;
  std::string Zone;
};

// --- callers -------------------------------------------------------------

struct Answer {
  End How = End::Closed;
  int Status = 0;
  Message Text;
  double SentAt = 0;
  double At = 0;
};

inline std::string requestText(const std::string &method,
                               const std::string &path, const std::string &id,
                               int deadlineMs, const std::string &body = "",
                               const Headers &more = {}) {
  std::string out = method + " " + path +
                    " HTTP/1.1\r\nHost: users.example\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
  for (const auto &[k, v] : more)
    out += k + ": " + v + "\r\n";
  if (method != "GET")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

/// Sends a request on a connection and reads the answer.
inline Answer ask(int fd, const std::string &text, double seconds) {
  Answer out;
  out.SentAt = now();
  if (fd < 0 || !sendAll(fd, text)) {
    out.How = End::Reset;
    out.At = now();
    return out;
  }
  Reader in(fd);
  double until = now() + seconds;
  out.How = in.readHead(out.Text, until);
  if (out.How == End::Complete) {
    out.Status = out.Text.status();
    out.How = in.readBody(out.Text, until, true);
  }
  out.At = now();
  return out;
}

inline const char *toString(End e) {
  switch (e) {
  case End::Complete:
    return "complete";
  case End::Closed:
    return "closed";
  case End::Reset:
    return "reset";
  case End::Timeout:
    return "no end";
  }
  return "";
}

/// The same on a new connection, with a record.
inline Answer call(int port, const std::string &method, const std::string &path,
                   const std::string &id, int deadlineMs,
                   const std::string &body = "", const Headers &more = {}) {
  int fd = connectTo(port);
  record("caller sends %s %s %s", method.c_str(), path.c_str(), id.c_str());
  Answer a = ask(fd, requestText(method, path, id, deadlineMs, body, more),
                 deadlineMs / 1000.0 + 2);
  if (fd >= 0)
    ::close(fd);
  record("caller has %s: status %d, %s, seal '%s', after %.0f ms", id.c_str(),
         a.Status, toString(a.How), a.Text.get("Server-Seal").c_str(),
         (a.At - a.SentAt) * 1000);
  return a;
}

// --- configuration -------------------------------------------------------

inline std::string route(const std::string &name, const std::string &prefix,
                         const std::string &kind, const std::string &service,
                         int timeoutMs, int attempts,
                         const std::string &more = "") {
  return "{\"name\":\"" + name +
         "\",\"host\":\"users.example\",\"pathPrefix\":\"" + prefix +
         "\",\"kind\":\"" + kind + "\",\"service\":\"" + service +
         "\",\"timeoutMs\":" + std::to_string(timeoutMs) +
         ",\"targetLatencyMs\":100,\"maxAttempts\":" +
         std::to_string(attempts) + ",\"priority\":1" + more + "}";
}

inline std::string configuration(int version,
                                 const std::vector<std::string> &routes,
                                 const std::vector<std::string> &services,
                                 const std::string &more = "") {
  std::string out = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i)
    out += (i ? "," : "") + routes[i];
  out += "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i)
    out += std::string(i ? "," : "") + "{\"name\":\"" + services[i] +
           "\",\"healthPath\":\"/health\"}";
  return out +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
         "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}" +
         more + "}";
}

/// Whether the disruption takes place; TROUBLE=0 leaves it out.
inline bool hasTrouble() {
  const char *t = std::getenv("TROUBLE");
  return !t || std::string(t) != "0";
}

/// Ends the run with the result: 1 if the rule was broken.
[[noreturn]] inline void finish(bool broken, const std::string &why) {
  record("%s: %s", broken ? "BROKEN" : "held", why.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", why.c_str());
  end(broken ? 1 : 0);
}

} // namespace lab
