#pragma once

#include "Sardineford/Http/Client.h"

#include <boost/asio/ip/tcp.hpp>

namespace review {

using namespace sardineford;

/// How the engine answers.
enum class Answer {
  /// With a whole stream of events.
  Whole,
  /// With one whole event, then with bytes of an event that does not end.
  EndlessEvent,
  /// With the head of a chunked answer, then with bytes without an end where
  /// the size of the first chunk is due.
  EndlessChunkHeader,
};

/// Stand-in for a model worker in trouble: "bytes that are no answer may also
/// come without end, in a head or a body, until the caller closes". It
/// registers itself in the store as the only worker of the service "model".
class FaultyEngine {
public:
  FaultyEngine(IoContext &io, http::Endpoint listen, http::Endpoint store);

  void start();

  /// Of the next answers.
  Answer NextAnswer = Answer::Whole;
  /// Bytes of endless answers that the callers have taken.
  uint64_t EndlessBytes = 0;

private:
  using Socket = boost::asio::ip::tcp::socket;

  Awaitable<void> accept();
  Awaitable<void> serve(Socket socket);
  Awaitable<void> sendWithoutEnd(Socket &socket);
  Awaitable<void> registerSelf();

  IoContext &Io;
  http::Endpoint Listen;
  http::Endpoint Store;
  http::Client Client;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace review
