#pragma once

#include "Sardineford/Http/Server.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace sardineford::standins {

/// What a relay does with the bytes of a link.
enum class LinkMode {
  Forward,
  /// Closes connections and accepts none.
  Disconnect,
  /// Accepts connections and loses every byte.
  Blackhole,
  /// Loses every byte of the connections that are open now; new ones work.
  BlackholeOpen,
  /// Loses the bytes towards the target; those from it pass.
  BlackholeToTarget,
};

/// Stand-in for a network link between two processes.
class Relay {
public:
  Relay(IoContext &io, http::Endpoint listen, http::Endpoint to,
        http::Endpoint admin);

  void start();
  void setMode(LinkMode mode);
  /// Delays each piece of bytes.
  void setDelay(Milliseconds d) { Delay = d; }
  /// Resets the connections that are open now; new ones work.
  void closeOpenConnections();

private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  Awaitable<void> acceptLoop();
  Awaitable<void> open(boost::asio::ip::tcp::socket from);
  Awaitable<void> pump(LinkPtr link, bool forward);
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);

  IoContext &Io;
  http::Endpoint Listen;
  http::Endpoint To;
  boost::asio::ip::tcp::acceptor Acceptor;
  http::Server Admin;
  LinkMode Mode = LinkMode::Forward;
  Milliseconds Delay{0};
  std::list<std::weak_ptr<Link>> Links;
};

} // namespace sardineford::standins
