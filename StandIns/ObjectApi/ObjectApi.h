#pragma once

#include "Sardineford/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace sardineford::standins {

/// Faults and limits that the stand-in simulates; set by POST /admin/mode.
struct ObjectApiMode {
  /// Responds with 503 to each request and executes none.
  bool Down = false;
  /// Delay of each request.
  Milliseconds Delay{0};
  /// Ratio of successful writes whose response is not sent.
  double LostReplyRatio = 0;
  /// Rate limits; 0 disables a limit.
  double WritesPerSecond = 0;
  double ReadsPerSecond = 0;
};

/// Stand-in for the platform: its object API, and its list of live and leaving
/// instances, which shows changes after a delay.
class ObjectApi {
public:
  ObjectApi(IoContext &io, http::Endpoint listen, Milliseconds listLag);

  void start() { Listener.start(); }
  uint16_t port() const { return Listener.port(); }

private:
  struct Entry {
    uint64_t Version = 0;
    uint64_t Revision = 0;
    std::string Value;
    bool Removed = false;
  };

  using ObjectsByName = std::map<std::string, Entry>;

  /// Token bucket with a capacity of one second of its rate.
  struct TokenBucket {
    double Tokens = 0;
    MonoTime RefilledAt{};
    /// Takes one token, if there is one. A rate of 0 means no limit.
    bool tryConsume(double rate);
  };

  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<void> handleObjects(http::Request &request,
                                http::ResponseWriter &out);
  Awaitable<void> handleWatch(const http::Request &request,
                              http::ResponseWriter &out);
  http::Response handleInstances(const http::Request &request);
  http::Response handleAdmin(const http::Request &request);
  http::Response read(const std::string &kind, const std::string &name);
  http::Response write(const http::Request &request, const std::string &kind,
                       const std::string &name);
  std::string changesSince(const std::string &kind, uint64_t revision,
                           bool includeRemoved);
  uint64_t newestRevision(const std::string &kind) const;

  IoContext &Io;
  http::Server Listener;
  Milliseconds ListLag;
  ObjectApiMode Mode;
  std::map<std::string, ObjectsByName> Kinds;
  uint64_t Revision = 0;
  uint64_t NextVersion = 0;
  /// Number of calls by kind.
  std::map<std::string, uint64_t> CallCounts;
  TokenBucket WriteLimit;
  TokenBucket ReadLimit;
  boost::asio::steady_timer Changed;
  /// JSON text of the instances, by name.
  std::map<std::string, std::string> Instances;
  std::mt19937_64 Generator{1};
};

} // namespace sardineford::standins
