#pragma once

#include "Sardineford/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace sardineford::standins {

/// Fault that the store simulates; set by POST /admin with {"mode": ...}.
enum class StoreMode {
  Normal,
  /// Responds with 503 to each request.
  Busy,
  /// Closes each connection without a response.
  Reset,
  /// Accepts requests and sends no response.
  Unresponsive,
  /// Applies writes and closes their connections without a response.
  LoseWriteResponses,
};

/// Stand-in for the platform's metadata store that implements its published
/// protocol. POST /admin with a "compact" field deletes the history, so that
/// watches from an older revision fail with 410. With a field "restore_ms" it
/// goes back to a copy that is so old, and begins a new era. With a field
/// "odd_entry", another writer leaves the odd entry of that number among those
/// of the backend servers, under "name", until it expires.
class PlatformStore {
public:
  PlatformStore(IoContext &io, http::Endpoint listen,
                Milliseconds serverEntryLifetime);

  void start();

private:
  struct Entry {
    uint64_t Revision = 0;
    uint64_t CreatedRevision = 0;
    boost::json::value Spec;
    /// Entries of backend servers expire unless they are written again.
    MonoTime WrittenAt{};
  };

  struct Event {
    uint64_t Revision = 0;
    std::string Kind;
    boost::json::object Object;
    bool Deleted = false;
  };

  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> watch(const std::string &kind, const http::Request &request,
                        http::ResponseWriter &out);
  http::Response list(const std::string &kind, const http::Request &request);
  http::Response write(const std::string &kind, const std::string &name,
                       const http::Request &request);
  http::Response remove(const std::string &kind, const std::string &name);
  void writeOddEntry(const std::string &name, size_t kind);
  http::Response setMode(const http::Request &request);
  boost::json::object toJson(const std::string &name, const Entry &e) const;
  void recordChange(const std::string &kind, const std::string &name,
                    const Entry &e, bool deleted);
  Awaitable<void> expireServerEntries();
  Awaitable<void> takeCopies();
  void restore(Milliseconds age);
  Awaitable<void> send(http::ResponseWriter &out, http::Response r) const;

  IoContext &Io;
  http::Server Listener;
  Milliseconds ServerEntryLifetime;
  StoreMode Mode = StoreMode::Normal;
  using Objects = std::map<std::string, std::map<std::string, Entry>>;

  /// All objects at some time.
  struct Copy {
    MonoTime TakenAt{};
    Objects Kinds;
    uint64_t Revision = 0;
  };

  Objects Kinds;
  std::deque<Copy> Copies;
  uint64_t Era = 1;
  std::deque<Event> History;
  uint64_t Revision = 1;
  /// Newest revision that is no longer in the history.
  uint64_t CompactedRevision = 0;
  boost::asio::steady_timer Changed;
};

} // namespace sardineford::standins
