#pragma once

#include "Sardineford/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace sardineford::standins {

/// How the store behaves; set through POST /admin with {"mode": ...}.
enum class StoreMode {
  Sound,
  /// Answers 503 to everything.
  Busy,
  /// Closes each connection without an answer.
  Reset,
  /// Answers nothing.
  Silent,
  /// Does writes and loses their answers.
  LoseWrites,
};

/// Stand-in for the platform's metadata store, by its published protocol.
/// POST /admin also takes "compact": true, which forgets the history.
class PlatformStore {
public:
  PlatformStore(IoContext &io, http::Endpoint listen,
                Milliseconds serverEntryLife);

  void start();

private:
  struct Entry {
    uint64_t Revision = 0;
    uint64_t Created = 0;
    boost::json::value Spec;
    /// Entries of backend servers lapse unless they are written again.
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
  http::Response setMode(const http::Request &request);
  boost::json::object toJson(const std::string &name, const Entry &e) const;
  void note(const std::string &kind, const std::string &name, const Entry &e,
            bool deleted);
  Awaitable<void> lapseLoop();

  IoContext &Io;
  http::Server Listener;
  Milliseconds ServerEntryLife;
  StoreMode Mode = StoreMode::Sound;
  std::map<std::string, std::map<std::string, Entry>> Kinds;
  std::deque<Event> History;
  uint64_t Revision = 1;
  /// Changes up to this revision are forgotten.
  uint64_t Forgotten = 0;
  boost::asio::steady_timer Changed;
};

} // namespace sardineford::standins
