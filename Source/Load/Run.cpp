#include "Load/Run.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sardineford::load {

namespace acc = boost::accumulators;
namespace json = boost::json;

namespace {

constexpr size_t BytesPerToken = 4;
constexpr size_t TokensPerPrefix = 2'000;
constexpr int MaxResumeAttempts = 3;

/// Computes exact quantiles with a tail accumulator that keeps all samples.
class Quantile {
public:
  explicit Quantile(const std::vector<double> &samples)
      : Count(samples.size()),
        Tail(acc::right_tail_cache_size = samples.size() + 1) {
    for (double it : samples)
      Tail(it);
  }

  double at(double q) const {
    return Count == 0 ? 0 : acc::quantile(Tail, acc::quantile_probability = q);
  }

private:
  size_t Count;
  acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>
      Tail;
};

/// Runs a scenario once.
class Runner {
public:
  Runner(const Scenario &s, const RunOptions &options)
      : Load(s), Options(options), Io(1), Client(Io),
        Requests(planRequests(s, options.Seed)), Records(Requests.size()) {}

  std::vector<RequestRecord> run() {
    Start = MonoClock::now();
    spawn(Io, "arrivals", [this] { return sendAll(); });
    Io.run();
    return std::move(Records);
  }

private:
  Awaitable<void> sendAll() {
    for (size_t i = 0; i < Requests.size(); ++i) {
      boost::asio::steady_timer timer(Io, Start + Requests[i].At);
      co_await timer.async_wait(boost::asio::use_awaitable);
      spawn(Io, "request", [this, i] { return sendOne(i); });
    }
  }

  CompletionCall makeCall(size_t i) const {
    const PlannedRequest &r = Requests[i];
    const RequestKind &k = Load.Kinds[r.Kind];
    CompletionCall c;
    c.RequestId = fmt::format("{}-{}-{}", Load.Name, Options.Seed, i);
    c.Workspace = k.Workspace;
    c.Model = Load.Model;
    c.Prompt = makePrompt(k, r, i + Options.Seed * 1'000'003);
    c.MaxTokens = r.MaxTokens;
    c.Deadline = k.Deadline;
    return c;
  }

  Awaitable<void> sendOne(size_t i) {
    CompletionCall call = makeCall(i);
    RequestRecord &record = Records[i];
    record.Kind = Requests[i].Kind;
    record.Planned = Requests[i].At;
    MonoTime planned = Start + Requests[i].At;
    MonoTime deadline = planned + call.Deadline;
    std::string text;
    size_t entryIndex = i;
    CallResult result;
    for (int n = 0; n <= MaxResumeAttempts; ++n) {
      const http::Endpoint &to =
          Options.Entries[entryIndex++ % Options.Entries.size()];
      ++record.Attempts;
      MonoTime sent = MonoClock::now();
      result = co_await callCompletion(Client, to, call);
      if (!result.Arrivals.empty() && text.empty())
        recordArrivals(record, result, planned);
      text += result.Text;
      record.Tokens += result.Tokens;
      if (result.Outcome == CallOutcome::Rejected)
        record.RejectionTime = toMilliseconds(MonoClock::now() - sent);
      if (result.Outcome != CallOutcome::Disconnected ||
          MonoClock::now() > deadline)
        break;
      call.ResumeToken = result.ResumeToken;
      call.Delivered = record.Tokens;
    }
    record.Outcome = result.Outcome;
    record.Detail = result.Detail;
    record.TimeToCompletion = toMilliseconds(MonoClock::now() - planned);
    record.MetDeadline = MonoClock::now() <= deadline;
    if (result.Outcome == CallOutcome::Complete && Options.IsCorrect)
      record.IsCorrect = Options.IsCorrect(call, text);
  }

  static void recordArrivals(RequestRecord &record, const CallResult &result,
                             MonoTime planned) {
    record.TimeToFirstToken = toMilliseconds(result.Arrivals.front() - planned);
    if (result.Tokens < 2)
      return;
    double span = toSeconds(result.Arrivals.back() - result.Arrivals.front());
    record.MeanBetweenTokensMs =
        span * 1000 / static_cast<double>(result.Tokens - 1);
  }

  const Scenario &Load;
  const RunOptions &Options;
  IoContext Io;
  http::Client Client;
  std::vector<PlannedRequest> Requests;
  std::vector<RequestRecord> Records;
  MonoTime Start;
};

bool isGood(const RequestRecord &r) {
  return r.Outcome == CallOutcome::Complete && r.IsCorrect && r.MetDeadline;
}

json::object describe(const Summary &s) {
  return {{"requests", s.Requests},
          {"good", s.Good},
          {"good_share", s.goodRatio()},
          {"refused", s.Rejected},
          {"late", s.Late},
          {"failed", s.Failed},
          {"wrong", s.Incorrect},
          {"tokens", s.Tokens},
          {"first_token_ms_50", s.FirstTokenMs50},
          {"first_token_ms_95", s.FirstTokenMs95},
          {"between_tokens_ms_95", s.BetweenTokensMs95},
          {"refusal_ms_99", s.RejectionMs99}};
}

} // namespace

std::string makePrompt(const RequestKind &kind, const PlannedRequest &r,
                       uint64_t number) {
  std::string prompt;
  if (kind.Prefixes > 0) {
    std::string unit = fmt::format("{} case file {} ", kind.Name, r.Prefix);
    while (prompt.size() < TokensPerPrefix * BytesPerToken)
      prompt += unit;
    prompt.resize(TokensPerPrefix * BytesPerToken);
  }
  std::string unit = fmt::format("request {} ", number);
  size_t size = std::max<size_t>(r.PromptTokens * BytesPerToken, 8);
  while (prompt.size() < size)
    prompt += unit;
  prompt.resize(std::max(size, prompt.size()));
  return prompt;
}

std::vector<RequestRecord> runScenario(const Scenario &s,
                                       const RunOptions &options) {
  return Runner(s, options).run();
}

Summary summarize(const std::vector<RequestRecord> &records) {
  Summary s;
  std::vector<double> firstToken;
  std::vector<double> betweenTokens;
  std::vector<double> rejections;
  for (const RequestRecord &it : records) {
    ++s.Requests;
    s.Tokens += it.Tokens;
    s.Good += isGood(it) ? 1 : 0;
    s.Incorrect += it.IsCorrect ? 0 : 1;
    bool isComplete = it.Outcome == CallOutcome::Complete;
    s.Late += isComplete && !it.MetDeadline ? 1 : 0;
    s.Rejected += it.Outcome == CallOutcome::Rejected ? 1 : 0;
    s.Failed += !isComplete && it.Outcome != CallOutcome::Rejected ? 1 : 0;
    if (it.Outcome == CallOutcome::Rejected)
      rejections.push_back(static_cast<double>(it.RejectionTime.count()));
    if (!isComplete)
      continue;
    firstToken.push_back(static_cast<double>(it.TimeToFirstToken.count()));
    betweenTokens.push_back(it.MeanBetweenTokensMs);
  }
  s.FirstTokenMs50 = Quantile(firstToken).at(0.5);
  s.FirstTokenMs95 = Quantile(firstToken).at(0.95);
  s.BetweenTokensMs95 = Quantile(betweenTokens).at(0.95);
  s.RejectionMs99 = Quantile(rejections).at(0.99);
  return s;
}

std::map<std::string, Summary>
summarizeKinds(const Scenario &s, const std::vector<RequestRecord> &records) {
  std::map<std::string, Summary> out;
  for (size_t i = 0; i < s.Kinds.size(); ++i) {
    std::vector<RequestRecord> ofKind;
    for (const RequestRecord &it : records)
      if (it.Kind == i)
        ofKind.push_back(it);
    out[s.Kinds[i].Name] = summarize(ofKind);
  }
  return out;
}

std::string toJson(const Scenario &s,
                   const std::vector<RequestRecord> &records) {
  json::object kinds;
  for (const auto &[name, summary] : summarizeKinds(s, records))
    kinds[name] = describe(summary);
  return json::serialize(json::object{{"scenario", s.Name},
                                      {"all", describe(summarize(records))},
                                      {"kinds", std::move(kinds)}});
}

std::string toSvg(const Scenario &s,
                  const std::vector<RequestRecord> &records) {
  constexpr int Width = 900;
  constexpr int Height = 240;
  constexpr int Bins = 90;
  struct Bin {
    int Good = 0;
    int Rejected = 0;
    int Failed = 0;
  };
  std::vector<Bin> bins(Bins);
  int64_t length = std::max<int64_t>(1, totalLength(s).count());
  int highest = 1;
  for (const RequestRecord &it : records) {
    int64_t i = std::min<int64_t>(Bins - 1, it.Planned.count() * Bins / length);
    Bin &b = bins[static_cast<size_t>(i)];
    (isGood(it)                            ? b.Good
     : it.Outcome == CallOutcome::Rejected ? b.Rejected
                                           : b.Failed) += 1;
    highest = std::max(highest, b.Good + b.Rejected + b.Failed);
  }
  std::string out = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='12'>\n"
      "<text x='8' y='16'>{}: requests by outcome (good green, rejected amber, "
      "late or failed red)</text>\n",
      Width, Height + 30, s.Name);
  double step = static_cast<double>(Width) / Bins;
  for (int i = 0; i < Bins; ++i) {
    double y = Height + 25;
    auto bar = [&](int n, const char *colour) {
      double h = static_cast<double>(n) * Height / highest;
      y -= h;
      out += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' "
                         "height='{:.1f}' fill='{}'/>\n",
                         i * step, y, step - 1, h, colour);
    };
    const Bin &b = bins[static_cast<size_t>(i)];
    bar(b.Good, "#2a9d5c");
    bar(b.Rejected, "#e0a93b");
    bar(b.Failed, "#c0392b");
  }
  return out + "</svg>\n";
}

} // namespace sardineford::load
