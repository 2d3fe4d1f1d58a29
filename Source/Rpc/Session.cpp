#include "Rpc/Session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace sardineford::rpc {

namespace asio = boost::asio;

namespace {

constexpr size_t ReadBytes = size_t{16} * 1024;
constexpr size_t MaxWriteBytes = size_t{64} * 1024;
/// The flow-control window must hold a message with a whole configuration.
constexpr int32_t WindowBytes = 16 * 1024 * 1024;
constexpr uint32_t MaxStreams = 1'000;

nghttp2_nv makeField(std::string_view name, std::string_view value) {
  // nghttp2 takes non-const pointers but copies the bytes.
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t *>(const_cast<char *>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

ssize_t readBody(nghttp2_session *, int32_t, uint8_t *buf, size_t length,
                 uint32_t *flags, nghttp2_data_source *source, void *) {
  auto *s = static_cast<Stream *>(source->ptr);
  size_t n = std::min(length, s->ToSend.size() - s->SentBytes);
  std::copy_n(s->ToSend.data() + s->SentBytes, n, buf);
  s->SentBytes += n;
  if (s->SentBytes == s->ToSend.size())
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(n);
}

} // namespace

/// Callbacks of nghttp2; the user data is the session.
struct SessionCallbacks {
  static Session &self(void *data) { return *static_cast<Session *>(data); }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame,
                            void *data) {
    Session &s = self(data);
    if (s.LocalSide == Session::Side::Server)
      s.Streams.try_emplace(frame->hd.stream_id,
                            std::make_shared<Stream>(s.Io));
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *frame,
                      const uint8_t *name, size_t nameLength,
                      const uint8_t *value, size_t valueLength, uint8_t,
                      void *data) {
    StreamPtr stream = self(data).find(frame->hd.stream_id);
    if (!stream)
      return 0;
    std::string_view key(reinterpret_cast<const char *>(name), nameLength);
    std::string_view text(reinterpret_cast<const char *>(value), valueLength);
    if (key == ":path")
      stream->Path = std::string(text);
    if (key == ":status")
      std::from_chars(text.data(), text.data() + text.size(), stream->Status);
    return 0;
  }

  static int onData(nghttp2_session *, uint8_t, int32_t id, const uint8_t *buf,
                    size_t n, void *data) {
    if (StreamPtr stream = self(data).find(id))
      stream->Received.append(reinterpret_cast<const char *>(buf), n);
    return 0;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *frame,
                     void *data) {
    Session &s = self(data);
    bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    bool isMessage =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!endsStream || !isMessage)
      return 0;
    if (s.LocalSide == Session::Side::Server)
      s.HandleRequest(s.shared_from_this(), frame->hd.stream_id);
    else
      s.finish(frame->hd.stream_id, false);
    return 0;
  }

  static int onClose(nghttp2_session *, int32_t id, uint32_t, void *data) {
    self(data).finish(id, true);
    return 0;
  }
};

nghttp2_session_callbacks *Session::callbacks() {
  static nghttp2_session_callbacks *instance = [] {
    nghttp2_session_callbacks *c = nullptr;
    nghttp2_session_callbacks_new(&c);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        c, SessionCallbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(
        c, SessionCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        c, SessionCallbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        c, SessionCallbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        c, SessionCallbacks::onClose);
    return c;
  }();
  return instance;
}

Session::Session(IoContext &io, asio::ip::tcp::socket socket, Side side,
                 OnRequest onRequest, Traffic &traffic)
    : Io(io), Socket(std::move(socket)), LocalSide(side),
      HandleRequest(std::move(onRequest)), TrafficCounters(traffic) {
  if (side == Side::Server)
    nghttp2_session_server_new(&Native, callbacks(), this);
  else
    nghttp2_session_client_new(&Native, callbacks(), this);
  std::array<nghttp2_settings_entry, 2> entries = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
  nghttp2_submit_settings(Native, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(Native, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
}

Session::~Session() { nghttp2_session_del(Native); }

void Session::start() {
  auto self = shared_from_this();
  spawn(Io, "rpc-read", [self] { return self->readLoop(); });
  flush();
}

void Session::close() {
  if (!Open)
    return;
  Open = false;
  boost::system::error_code ec;
  Socket.close(ec);
  for (auto &[id, stream] : Streams) {
    stream->Failed = !stream->Complete;
    stream->Done.expires_at(MonoTime::min());
  }
  Streams.clear();
}

StreamPtr Session::find(int32_t id) const {
  auto it = Streams.find(id);
  return it == Streams.end() ? nullptr : it->second;
}

void Session::finish(int32_t id, bool failed) {
  StreamPtr stream = find(id);
  if (!stream)
    return;
  if (!stream->Complete)
    stream->Failed = failed;
  stream->Complete = true;
  stream->Done.expires_at(MonoTime::min());
  if (failed)
    Streams.erase(id);
}

StreamPtr Session::request(const std::string &authority, std::string path,
                           std::string body) {
  auto stream = std::make_shared<Stream>(Io);
  stream->Path = std::move(path);
  stream->ToSend = std::move(body);
  std::array<nghttp2_nv, 4> fields = {
      makeField(":method", "POST"), makeField(":scheme", "http"),
      makeField(":authority", authority), makeField(":path", stream->Path)};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = readBody;
  int32_t id = nghttp2_submit_request(Native, nullptr, fields.data(),
                                      fields.size(), &provider, nullptr);
  if (id < 0) {
    stream->Complete = stream->Failed = true;
    return stream;
  }
  Streams[id] = stream;
  flush();
  return stream;
}

void Session::respond(int32_t id, unsigned status, std::string body) {
  StreamPtr stream = find(id);
  if (!Open || !stream)
    return;
  stream->ToSend = std::move(body);
  std::string code = std::to_string(status);
  std::array<nghttp2_nv, 1> fields = {makeField(":status", code)};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = readBody;
  nghttp2_submit_response(Native, id, fields.data(), fields.size(), &provider);
  flush();
}

void Session::flush() {
  if (Writing || !Open)
    return;
  Writing = true;
  auto self = shared_from_this();
  spawn(Io, "rpc-write", [self] { return self->writeLoop(); });
}

Awaitable<void> Session::writeLoop() {
  while (Open) {
    std::string buf;
    while (buf.size() < MaxWriteBytes) {
      const uint8_t *piece = nullptr;
      ssize_t n = nghttp2_session_mem_send(Native, &piece);
      if (n <= 0)
        break;
      buf.append(reinterpret_cast<const char *>(piece), static_cast<size_t>(n));
    }
    if (buf.empty())
      break;
    auto [ec, n] = co_await asio::async_write(
        Socket, asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    TrafficCounters.Sent += n;
    if (ec)
      close();
  }
  Writing = false;
}

Awaitable<void> Session::readLoop() {
  std::array<uint8_t, ReadBytes> buf{};
  while (Open) {
    auto [ec, n] = co_await Socket.async_read_some(
        asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    TrafficCounters.Received += n;
    if (ec || nghttp2_session_mem_recv(Native, buf.data(), n) < 0)
      break;
    flush();
  }
  close();
}

} // namespace sardineford::rpc
