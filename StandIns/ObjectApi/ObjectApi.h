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

/// How the stand-in behaves at the moment; set through POST /admin/mode.
struct ObjectApiMode {
  /// Every call is answered 503 without effect.
  bool Down = false;
  /// Added to each call.
  Milliseconds Delay{0};
  /// Share of writes that take effect but whose reply is lost.
  double LostReplyShare = 0;
  /// Calls a second; 0 stands for no limit.
  double WritesPerSecond = 0;
  double ReadsPerSecond = 0;
};

/// Stand-in for the platform: its object API, and its list of live and
/// leaving instances, which lags behind.
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

  using Kind = std::map<std::string, Entry>;

  /// Tokens that refill at a rate; a call takes one.
  struct Bucket {
    double Tokens = 0;
    MonoTime At{};
    bool take(double rate);
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
                           bool withRemoved);
  uint64_t newestRevision(const std::string &kind) const;

  IoContext &Io;
  http::Server Listener;
  Milliseconds ListLag;
  ObjectApiMode Mode;
  std::map<std::string, Kind> Kinds;
  uint64_t Revision = 0;
  uint64_t NextVersion = 0;
  std::map<std::string, uint64_t> Calls;
  Bucket Writes;
  Bucket Reads;
  boost::asio::steady_timer Changed;
  /// Instances by name, as JSON text.
  std::map<std::string, std::string> Instances;
  std::mt19937_64 Generator{1};
};

} // namespace sardineford::standins
