#include "StandIns/Deployment/Deployment.h"
#include "StandIns/Platform/PlatformCaller.h"
#include "StandIns/Platform/PlatformDeployment.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace sardineford;
using namespace sardineford::standins;
using boost::asio::ip::tcp;

namespace {

constexpr Milliseconds StartTime{20'000};
constexpr Milliseconds Deadline{4'000};
/// Time for the crowd to connect and to send what it sends.
constexpr Milliseconds CrowdTime{8'000};
constexpr Milliseconds PollInterval{100};
/// The instance that the daemon is told to run on, and the bounds that it must
/// keep. They and the crowds were fixed before the product had limits.
constexpr size_t MemoryMb = 64;
constexpr size_t MaxDescriptors = 512;

constexpr size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
constexpr size_t LargeChunk = size_t{64} * 1024;

/// What each caller of a crowd sends.
struct Crowd {
  size_t Callers = 0;
  std::string Head;
  /// Sent `Pieces` times after the head.
  std::string Piece;
  size_t Pieces = 0;
  std::string End;
};

struct CrowdResult {
  bool Ready = false;
  bool IsRunning = false;
  size_t PeakMemoryKb = 0;
  size_t PeakDescriptors = 0;
  /// Of the request made while the crowd stays connected.
  DaemonCallOutcome Outcome = DaemonCallOutcome::Failed;
};

size_t peakMemoryKb(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string word; in >> word;)
    if (word == "VmHWM:") {
      size_t out = 0;
      in >> out;
      return out;
    }
  return 0;
}

size_t openDescriptors(pid_t process) {
  std::error_code ec;
  std::filesystem::directory_iterator it(
      "/proc/" + std::to_string(process) + "/fd", ec);
  return ec ? 0 : std::distance(it, std::filesystem::directory_iterator());
}

/// Sends what the crowd sends and leaves the connection open, unread.
Awaitable<void> send(tcp::socket &socket, http::Endpoint to,
                     const Crowd &crowd) {
  auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
  auto [ec] = co_await socket.async_connect(
      {boost::asio::ip::make_address(to.Host), to.Port}, token);
  size_t n = 0;
  if (!ec)
    std::tie(ec, n) = co_await boost::asio::async_write(
        socket, boost::asio::buffer(crowd.Head), token);
  for (size_t i = 0; !ec && i < crowd.Pieces; ++i)
    std::tie(ec, n) = co_await boost::asio::async_write(
        socket, boost::asio::buffer(crowd.Piece), token);
  if (!ec)
    co_await boost::asio::async_write(socket, boost::asio::buffer(crowd.End),
                                      token);
}

CrowdResult callBesideCrowd(const Crowd &crowd) {
  IoContext io(1);
  PlatformDeployment deployment(io, {.Programs = SARDINEFORD_PROGRAMS,
                                     .Folder = makeTemporaryFolder(),
                                     .Daemons = 1,
                                     .PlainServers = 1,
                                     .PrefillEngines = 0,
                                     .DecodeEngines = 1,
                                     .DaemonMemoryMb = MemoryMb,
                                     .DaemonDescriptors = MaxDescriptors});
  CrowdResult out;
  http::Client client(io);
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  size_t sending = 0;
  spawn(io, "case", [&]() -> Awaitable<void> {
    out.Ready = co_await deployment.bringUp(StartTime);
    DeployedDaemon &d = deployment.Daemons[0];
    pid_t process = d.ChildProcess->id();
    for (size_t i = 0; out.Ready && i < crowd.Callers; ++i) {
      sockets.push_back(std::make_unique<tcp::socket>(io));
      ++sending;
      spawn(io, "caller",
            [&, socket = sockets.back().get()]() -> Awaitable<void> {
              co_await send(*socket, d.HttpListen, crowd);
              --sending;
            });
    }
    MonoTime end = MonoClock::now() + CrowdTime;
    while (sending > 0 && MonoClock::now() < end) {
      out.PeakDescriptors =
          std::max(out.PeakDescriptors, openDescriptors(process));
      co_await sleepFor(PollInterval);
    }
    co_await sleepFor(PollInterval);
    out.PeakDescriptors =
        std::max(out.PeakDescriptors, openDescriptors(process));
    if (out.Ready)
      out.Outcome =
          (co_await callDaemon(client, d.HttpListen, OnceRoute, Deadline))
              .Outcome;
    out.PeakMemoryKb = peakMemoryKb(process);
    out.IsRunning = d.ChildProcess->running();
    io.stop();
  });
  io.run();
  return out;
}

void checkCrowd(const Crowd &crowd) {
  CrowdResult r = callBesideCrowd(crowd);
  INFO("memory " << r.PeakMemoryKb << " KB, descriptors " << r.PeakDescriptors);
  REQUIRE(r.Ready);
  CHECK(r.IsRunning);
  CHECK(r.Outcome == DaemonCallOutcome::Correct);
  CHECK(r.PeakMemoryKb > 0);
  CHECK(r.PeakMemoryKb <= MemoryMb * 1024);
  CHECK(r.PeakDescriptors > 0);
  CHECK(r.PeakDescriptors <= MaxDescriptors);
}

std::string head(const std::string &field) {
  return "POST /file/1 HTTP/1.1\r\nHost: users.example\r\n" + field +
         "\r\n\r\n";
}

std::string chunk(size_t n) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", n);
  return size + std::string(n, 'x') + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked";

} // namespace

TEST_CASE("bodies announced too large leave a daemon within its instance",
          "[process][callers]") {
  checkCrowd({100, head("Content-Length: 1000000000"),
              std::string(LargeChunk, 'x'), 16, ""});
}

TEST_CASE("bodies sent too large leave a daemon within its instance",
          "[process][callers]") {
  checkCrowd({40, head(Chunked), chunk(LargeChunk),
              2 * MaxBodyBytes / LargeChunk, ""});
}

TEST_CASE("bodies that stop a byte short of the end leave a daemon within its "
          "instance",
          "[process][callers]") {
  size_t whole = MaxBodyBytes / LargeChunk - 1;
  checkCrowd(
      {40, head(Chunked), chunk(LargeChunk), whole, chunk(LargeChunk - 1)});
  checkCrowd({40, head("Content-Length: " + std::to_string(MaxBodyBytes)),
              std::string(LargeChunk, 'x'), whole,
              std::string(LargeChunk - 1, 'x')});
}

TEST_CASE("bodies in one-byte chunks leave a daemon within its instance",
          "[process][callers]") {
  constexpr size_t ChunksOfPiece = 8'192;
  std::string piece;
  for (size_t i = 0; i < ChunksOfPiece; ++i)
    piece += chunk(1);
  checkCrowd({40, head(Chunked), piece, 320, ""});
}

TEST_CASE("heads that never end leave a daemon within its instance",
          "[process][callers]") {
  checkCrowd({600, "GET /file/1 HTTP/1.1\r\nHost: users.example\r\nLong: ",
              std::string(7'000, 'x'), 1, ""});
}

TEST_CASE("silent connections leave a daemon within its instance",
          "[process][callers]") {
  checkCrowd({600, "", "", 0, ""});
}

TEST_CASE("callers that do not read their responses leave a daemon within its "
          "instance",
          "[process][callers]") {
  // The requests are pipelined, so that their responses exceed the buffers of
  // the connection.
  checkCrowd({40, "", "GET /unknown/1 HTTP/1.1\r\nHost: users.example\r\n\r\n",
              5'000, ""});
}
