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
