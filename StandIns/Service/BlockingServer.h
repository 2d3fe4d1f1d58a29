#pragma once

#include "Sardineford/Common/Async.h"
#include "Sardineford/Http/Message.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace sardineford::standins {

/// Serves connections one after the other, in a thread of its own. The function
/// is called when the head of a request has been received.
class BlockingServer {
public:
  explicit BlockingServer(
      std::function<void(boost::asio::ip::tcp::socket &)> serve)
      : Serve(std::move(serve)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { run(); }) {}
  ~BlockingServer() {
    Stops = true;
    // Wakes the thread if it waits for a connection.
    boost::asio::ip::tcp::socket socket(Io);
    boost::system::error_code ec;
    socket.connect(Acceptor.local_endpoint(), ec);
    socket.close(ec);
    Thread.join();
  }

  http::Endpoint at() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  void run() {
    while (!Stops) {
      boost::system::error_code ec;
      boost::asio::ip::tcp::socket socket = Acceptor.accept(ec);
      std::string head;
      if (!ec)
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(head),
                                "\r\n\r\n", ec);
      if (!ec)
        Serve(socket);
    }
  }

  std::function<void(boost::asio::ip::tcp::socket &)> Serve;
  IoContext Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stops = false;
  std::thread Thread;
};

} // namespace sardineford::standins
