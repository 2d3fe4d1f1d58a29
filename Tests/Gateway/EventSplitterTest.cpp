#include "Gateway/EventSplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardineford::gateway;

TEST_CASE("EventSplitter returns only complete events") {
  EventSplitter s;
  CHECK(s.push("id: 1\ndata: a\n").empty());
  CHECK(s.push("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(s.lastId() == 1);
  CHECK(s.pending() > 0);
  s.dropPending();
  CHECK(s.push("id: 2\ndata: b\r\n\r\n") == "id: 2\ndata: b\r\n\r\n");
  CHECK(s.lastId() == 2);
  CHECK(s.events() == 2);
}

TEST_CASE("the events do not depend on where the stream is split") {
  std::string stream;
  for (int i = 1; i <= 20; ++i)
    stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
  rc::check([&] {
    EventSplitter s;
    std::string out;
    size_t offset = 0;
    while (offset < stream.size()) {
      auto n = static_cast<size_t>(*rc::gen::inRange(1, 40));
      out += s.push(std::string_view(stream).substr(offset, n));
      offset += n;
    }
    RC_ASSERT(out == stream);
    RC_ASSERT(s.events() == 20);
    RC_ASSERT(s.lastId() == 20);
  });
}

TEST_CASE("an error response within a stream is not returned as events") {
  EventSplitter s;
  CHECK(s.push("id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\n"
               "Content-Type: application/json\r\n\r\n{\"error\":\"x\"}") ==
        "id: 1\ndata: a\n\n");
  CHECK(s.isForeign());
  CHECK(s.push("\n\nid: 2\ndata: b\n\n").empty());
  s.dropPending();
  CHECK_FALSE(s.isForeign());
  CHECK(s.push("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

TEST_CASE("an event that comes again or belongs to another stream is not "
          "returned") {
  EventSplitter s;
  CHECK_FALSE(s.push("id: 7\ndata: a\n\n").empty());
  CHECK(s.push("id: 7\ndata: a\n\n").empty());
  CHECK(s.isForeign());
}

TEST_CASE("comments and streams without ids are returned") {
  EventSplitter s;
  CHECK(s.push(": ping\n\nid: 3\ndata: a\n\n: ping\n\n") ==
        ": ping\n\nid: 3\ndata: a\n\n: ping\n\n");
  EventSplitter plain;
  CHECK(plain.push("data: a\n\ndata: b\n\n") == "data: a\n\ndata: b\n\n");
  CHECK(plain.events() == 2);
}

TEST_CASE("an event without an end is not collected without a limit") {
  EventSplitter s;
  const std::string part(size_t{16} * 1024, 'a');
  size_t pushed = 0;
  CHECK(s.push("id: 1\ndata: ").empty());
  for (; !s.isTooLong() && pushed <= 2 * MaxEventBytes; pushed += part.size())
    CHECK(s.push(part).empty());
  CHECK(s.isTooLong());
  CHECK(pushed <= MaxEventBytes + part.size());
  s.dropPending();
  CHECK_FALSE(s.isTooLong());
  CHECK(s.push("id: 1\ndata: b\n\n") == "id: 1\ndata: b\n\n");
}

TEST_CASE("a long event that arrives in single bytes is returned") {
  const std::string event =
      "id: 1\ndata: " + std::string(size_t{64} * 1024, 'a') + "\r\n\r\n";
  EventSplitter s;
  std::string out;
  for (char it : event)
    out += s.push(std::string_view(&it, 1));
  CHECK(out == event);
  CHECK(s.events() == 1);
  CHECK(s.pending() == 0);
}

TEST_CASE("empty lines before an event belong to it") {
  EventSplitter s;
  CHECK(s.push("\nid: 1\ndata: a\n\n") == "\nid: 1\ndata: a\n\n");
  CHECK(s.push("\n\n") == "\n\n");
  CHECK(s.push("id: 2\n\r\n\n") == "id: 2\n\r\n");
  CHECK(s.pending() == 1);
}
