#include "Sardineford/Gateway/ConnectionReuse.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <vector>

using namespace sardineford::gateway;

namespace {

/// A response as a faulty server writes it.
struct Written {
  std::optional<std::string> Id;
  bool IsRejection = false;
};

/// What a connection has carried, and what its server has written but the
/// client has not read.
struct Connection {
  std::vector<Written> Rejections;
  std::vector<Written> Unread;
  std::set<std::string> SentIds;
};

struct Counts {
  unsigned Believed = 0;
  unsigned Wrong = 0;
  unsigned TrueUnknown = 0;
  unsigned Opened = 0;
  unsigned SameIdTwice = 0;
};

/// Sends requests, some of them twice, and calls without an id to a server that
/// rejects some of them and writes earlier rejections once more at any time.
Counts simulate(unsigned seed, bool rejectionsHaveIds, double repeatRatio) {
  std::mt19937 random(seed);
  auto chance = [&](double p) {
    return std::uniform_real_distribution<>(0, 1)(random) < p;
  };
  std::vector<Connection> idle;
  Counts out;
  std::string previous;
  unsigned nextId = 0;
  for (unsigned i = 0; i < 4'000; ++i) {
    bool isCall = chance(0.1);
    bool isSecond = !isCall && !previous.empty() && chance(0.1);
    std::string id = isSecond ? previous : "r" + std::to_string(nextId++);
    previous = isSecond || isCall ? "" : id;
    if (isCall)
      id.clear();
    Connection c;
    if (idle.empty() || needsNewConnection({true, isSecond})) {
      ++out.Opened;
    } else {
      size_t at = random() % idle.size();
      c = idle[at];
      idle.erase(idle.begin() + static_cast<ptrdiff_t>(at));
    }
    if (!id.empty() && !c.SentIds.insert(id).second)
      ++out.SameIdTwice;
    if (!c.Rejections.empty() && chance(repeatRatio))
      c.Unread.push_back(c.Rejections[random() % c.Rejections.size()]);
    bool isRejected = chance(0.3);
    Written own{id, isRejected};
    if (id.empty() || (isRejected && !rejectionsHaveIds))
      own.Id.reset();
    c.Unread.push_back(own);
    if (isRejected)
      c.Rejections.push_back(own);
    Written read = c.Unread.front();
    c.Unread.erase(c.Unread.begin());
    Exchange e{id, read.Id, read.IsRejection};
    bool isUsable = !isOfOtherRequest(e) && (read.IsRejection || read.Id);
    if (!id.empty() && isUsable && read.IsRejection) {
      ++out.Believed;
      out.Wrong += isRejected ? 0 : 1;
    }
    if (!id.empty() && isRejected && !(isUsable && read.IsRejection))
      ++out.TrueUnknown;
    if (mayReuseConnection(e))
      idle.push_back(std::move(c));
  }
  return out;
}

} // namespace

TEST_CASE("a repeated rejection is never believed for another request") {
  for (unsigned seed = 0; seed < 50; ++seed)
    for (bool hasIds : {true, false}) {
      INFO("seed " << seed << ", ids " << hasIds);
      Counts n = simulate(seed, hasIds, 0.3);
      CHECK(n.Wrong == 0);
      CHECK(n.SameIdTwice == 0);
      CHECK(n.Believed > 0);
    }
}

TEST_CASE("each rejection is believed if the server repeats none") {
  for (unsigned seed = 0; seed < 50; ++seed)
    for (bool hasIds : {true, false}) {
      INFO("seed " << seed << ", ids " << hasIds);
      CHECK(simulate(seed, hasIds, 0).TrueUnknown == 0);
    }
}

TEST_CASE("a rejection with the id of its request keeps its connection") {
  CHECK(mayReuseConnection({"a", "a", true}));
  CHECK(mayReuseConnection({"a", "a", false}));
  CHECK(mayReuseConnection({"", std::nullopt, false}));
}

TEST_CASE(
    "a response that a later request could be given ends its connection") {
  CHECK_FALSE(mayReuseConnection({"a", std::nullopt, true}));
  CHECK_FALSE(mayReuseConnection({"a", std::nullopt, false}));
  CHECK_FALSE(mayReuseConnection({"a", "b", true}));
  CHECK_FALSE(mayReuseConnection({"", std::nullopt, true}));
  CHECK_FALSE(mayReuseConnection({"", "b", false}));
}

TEST_CASE("an id is sent on a connection once") {
  CHECK(needsNewConnection({true, true}));
  CHECK(needsNewConnection({false, false}));
  CHECK_FALSE(needsNewConnection({true, false}));
}
