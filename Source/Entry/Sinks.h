#pragma once

#include "Entry/ModelCall.h"

namespace sardineford::entry {

/// Sends tokens to the caller as server-sent events.
class EventSink : public TokenSink {
public:
  EventSink(CompletionWriter &format, http::ResponseWriter &out)
      : Format(format), Out(out) {}

  void attemptStarted(const http::Endpoint &engine,
                      const std::string &attempt) override {
    ResumeToken = encodeResumeToken(engine, attempt);
  }

  Awaitable<void> deliver(std::vector<engine::Token> tokens) override {
    if (!Out.started()) {
      http::Response head;
      head.Fields.add("Content-Type", "text/event-stream");
      head.Fields.add("Cache-Control", "no-store");
      co_await Out.startStream(std::move(head));
    }
    std::string text;
    for (const engine::Token &it : tokens) {
      text += Format.event(it, ResumeToken);
      // Sent once per attempt; the caller counts the tokens that follow.
      ResumeToken.clear();
    }
    co_await Out.write(std::move(text));
  }

private:
  CompletionWriter &Format;
  http::ResponseWriter &Out;
  std::string ResumeToken;
};

/// Buffers tokens until the response is complete.
class BufferSink : public TokenSink {
public:
  void attemptStarted(const http::Endpoint &, const std::string &) override {}

  Awaitable<void> deliver(std::vector<engine::Token> tokens) override {
    for (const engine::Token &it : tokens)
      Text += it.Text;
    co_return;
  }

  std::string Text;
};

} // namespace sardineford::entry
