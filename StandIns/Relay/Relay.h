#pragma once

#include "Sardineford/Http/Server.h"
#include "StandIns/Relay/EndlessResponse.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardineford::standins {

/// Fault that a relay simulates.
enum class LinkMode {
  Forward,
  /// Closes the open connections, and each new connection after its accept.
  Disconnect,
  /// Accepts connections and discards all bytes.
  Blackhole,
  /// Discards all bytes of the connections that are open at the change of the
  /// mode; later connections work.
  BlackholeOpen,
  /// Discards the bytes to the target and forwards the bytes from the target.
  BlackholeToTarget,
  /// Refuses new connections. Those that are open live on.
  RefuseNew,
};

/// When a relay writes the last rejection of a connection once more.
enum class RepeatedRejection {
  Never,
  AtOnce,
  /// After a delay that a kept connection outlives.
  Later,
  /// After it has forwarded the next request.
  AfterNextRequest,
  /// The same, in two parts.
  AfterNextRequestInParts,
};

/// Forwards TCP connections, as a stand-in for a network link between two
/// processes. POST with {"mode": ...} or {"delay_ms": ...} to the admin
/// endpoint changes the simulated fault.
class Relay {
public:
  Relay(IoContext &io, http::Endpoint listen, http::Endpoint target,
        http::Endpoint admin);

  void start();
  void setMode(LinkMode mode);
  /// Sets the delay of each received block of bytes.
  void setDelay(Milliseconds d) { Delay = d; }
  /// Repeats rejections without a body, as a faulty server does.
  void setRepeatedRejections(RepeatedRejection when) { Repeated = when; }
  /// Replaces the responses with status 200 that begin from now on by ones
  /// without an end; none for sound ones.
  void setEndless(std::optional<EndlessForm> form) { Endless = form; }
  /// Sets a function that is given the begin of what a caller sends. The bytes
  /// that it returns are sent to the caller at once, and the connection is
  /// reset while the caller sends on; none to forward the request.
  using EarlyAnswer = std::function<std::string(std::string_view)>;
  void setEarlyAnswer(EarlyAnswer f) { MakeEarlyAnswer = std::move(f); }
  /// Number of such answers.
  size_t earlyAnswers() const { return NumEarly; }
  /// Number of responses without an end.
  size_t endlessResponses() const { return NumEndless; }
  /// Replaces a text in what the target sends by another one of the same
  /// length.
  void replaceFromTarget(std::string text, std::string replacement);
  /// Number of connections that were accepted.
  size_t connections() const { return NumConnections; }
  /// Closes the connections that are open now; later connections work.
  void closeOpenConnections();

private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  void listen();
  Awaitable<void> acceptLoop();
  Awaitable<void> openLink(boost::asio::ip::tcp::socket from);
  Awaitable<void> copyBytes(LinkPtr link, bool toTarget);
  void replaceTexts(std::span<char> bytes) const;
  /// Sends a response without an end to the caller until it closes the
  /// connection. `head` begins with that of the target's response.
  Awaitable<void> sendEndless(LinkPtr link, std::string head);
  Awaitable<void> sendAndReset(LinkPtr link, std::string bytes);
  /// Keeps a rejection that was forwarded to the caller.
  void recordRejection(const LinkPtr &link, std::string_view bytes);
  /// Writes the last rejection of the connection to the caller again.
  void repeatRejection(LinkPtr link, Milliseconds delay);
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);

  IoContext &Io;
  http::Endpoint Listen;
  http::Endpoint Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  http::Server Admin;
  LinkMode Mode = LinkMode::Forward;
  Milliseconds Delay{0};
  RepeatedRejection Repeated = RepeatedRejection::Never;
  std::optional<EndlessForm> Endless;
  size_t NumConnections = 0;
  EarlyAnswer MakeEarlyAnswer;
  size_t NumEndless = 0;
  size_t NumEarly = 0;
  std::list<std::weak_ptr<Link>> Links;
  std::vector<std::pair<std::string, std::string>> Replacements;
};

} // namespace sardineford::standins
