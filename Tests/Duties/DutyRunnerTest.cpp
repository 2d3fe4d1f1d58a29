#include "Duties/DutyRunner.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardineford;
using namespace sardineford::duties;

namespace {

class MemoryStore : public store::ObjectStore {
public:
  Awaitable<std::optional<store::Object>> get(std::string /*kind*/,
                                              std::string name) override {
    std::optional<store::Object> out;
    auto it = Objects.find(name);
    if (it != Objects.end())
      out = it->second;
    co_return out;
  }
  Awaitable<store::ObjectList> list(std::string /*kind*/) override {
    co_return store::ObjectList{};
  }
  Awaitable<uint64_t> put(std::string /*kind*/, std::string name,
                          std::string value, uint64_t expected) override {
    store::Object &object = Objects[name];
    if (object.Version != expected)
      throw store::StoreError(store::Failure::VersionConflict, name);
    object.Version = ++Revision;
    object.Value = std::move(value);
    co_return object.Version;
  }
  Awaitable<void> remove(std::string, std::string, uint64_t) override {
    co_return;
  }
  Awaitable<store::Changes> watch(std::string, uint64_t,
                                  Milliseconds) override {
    co_return store::Changes{};
  }

private:
  std::map<std::string, store::Object> Objects;
  uint64_t Revision = 0;
};

/// Records the reports and leaves the first copy of each without an answer.
class RecordingApi : public DutyApi {
public:
  std::string encodeUsage(int64_t window, const Counts &counts) const override {
    std::string out = std::to_string(window) + ":";
    for (const auto &[workspace, n] : counts)
      out += workspace + "=" + std::to_string(n);
    return out;
  }
  Awaitable<CallResult> reportUsage(UsageCall call) override {
    if (!call.BeforeSend())
      co_return CallResult::NotSent;
    Holders.emplace_back(call.Token, call.Holder);
    bool isFirst = Sent[call.Body]++ == 0;
    co_return isFirst ? CallResult::NoAnswer : CallResult::Done;
  }
  Awaitable<CallResult> orderServers(OrderCall /*call*/) override {
    co_return CallResult::NotSent;
  }

  std::map<std::string, int> Sent;
  std::vector<std::pair<uint64_t, std::string>> Holders;
};

} // namespace

// Guards against the parts not working together: two processes count, the
// holder reports each window with the counts of both, repeats a report that was
// not answered, and hands over when it stops.
TEST_CASE("two processes report each window once, also over a handover") {
  IoContext io(1);
  MemoryStore store;
  RecordingApi api;
  metrics::Metrics metrics;
  std::vector<std::unique_ptr<DutyRunner>> runners;
  for (unsigned i = 0; i < 2; ++i) {
    DutyOptions options;
    options.Name = i ? "b" : "a";
    options.Incarnation = options.Name + "1";
    options.Times = leaseTimes(Milliseconds(1'000));
    options.Windows = {Milliseconds(1'000)};
    DutyPeers peers;
    peers.Rank = [i] { return std::make_optional(i); };
    peers.Contenders = [] {
      return std::vector<http::Endpoint>{{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    };
    peers.Send = [&runners, i](const std::vector<WindowCount> &counts,
                               const std::vector<http::Endpoint> &) {
      runners[1 - i]->receive(i ? "b1" : "a1", counts);
    };
    runners.push_back(std::make_unique<DutyRunner>(
        io, store, api, std::move(options), std::move(peers), metrics));
  }
  uint64_t counted = 0;
  spawn(io, "test", [&]() -> Awaitable<void> {
    for (const auto &it : runners)
      it->start();
    MonoTime start = MonoClock::now();
    while (MonoClock::now() - start < std::chrono::seconds(19)) {
      for (const auto &it : runners)
        it->count("x");
      ++counted;
      co_await sleepFor(Milliseconds(10));
      if (MonoClock::now() - start > std::chrono::seconds(10))
        runners[0]->stop();
    }
    io.stop();
  });
  io.run_for(std::chrono::seconds(25));
  CHECK(runners[0]->isStopped());
  REQUIRE(api.Holders.size() > 10);
  CHECK(api.Holders.front().second == "a");
  CHECK(api.Holders.back().second == "b");
  CHECK(std::is_sorted(api.Holders.begin(), api.Holders.end()));
  std::map<std::string, std::string> counts;
  for (const auto &[body, sends] : api.Sent) {
    size_t at = body.find(':');
    INFO(body);
    CHECK(counts.emplace(body.substr(0, at), body.substr(at + 1)).second);
    CHECK(sends <= 2);
  }
  int64_t first = std::stoll(counts.begin()->first);
  int64_t last = std::stoll(counts.rbegin()->first);
  CHECK(static_cast<size_t>(last - first + 1) == counts.size());
  uint64_t reported = 0;
  for (const auto &[window, text] : counts)
    reported += std::stoull(text.substr(2));
  double mean =
      static_cast<double>(reported) / static_cast<double>(counts.size());
  double expected = 2.0 * static_cast<double>(counted) / 19;
  CHECK(mean == Approx(expected).epsilon(0.05));
}
