#include "Sardineford/Fleet/VersionRecord.h"

#include "Sardineford/Common/Random.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace sardineford::fleet {

namespace json = boost::json;

namespace {

/// Time until a process acts in the place of the first one, and between two
/// such processes.
constexpr Milliseconds FirstAddDelay{400};
constexpr Milliseconds AddDelayPerRank{100};
/// The same for a removal, which is not urgent.
constexpr Milliseconds FirstRemoveDelay{2'000};
constexpr Milliseconds RemoveDelayPerRank{500};

bool isSubset(const std::set<std::string> &part,
              const std::set<std::string> &whole) {
  return std::includes(whole.begin(), whole.end(), part.begin(), part.end());
}

} // namespace

std::string recordName(const std::string &service) {
  return fmt::format("{:016x}", hash64(service));
}

std::string encodeRecord(const VersionRecord &record) {
  json::array versions(record.Versions.begin(), record.Versions.end());
  return json::serialize(
      json::object{{"service", record.Service}, {"versions", versions}});
}

VersionRecord decodeRecord(const std::string &text, uint64_t version) {
  json::value v = json::parse(text);
  VersionRecord out;
  out.Service = json::value_to<std::string>(v.at("service"));
  out.Versions = json::value_to<std::set<std::string>>(v.at("versions"));
  out.Version = version;
  return out;
}

RecordChange neededChange(const KnownVersions &known) {
  if (!isSubset(known.Present, known.Recorded))
    return RecordChange::Add;
  return isSubset(known.Recorded, known.Possible) ? RecordChange::None
                                                  : RecordChange::Remove;
}

Milliseconds changeDelay(RecordChange change, unsigned rank) {
  if (rank == 0 || change == RecordChange::None)
    return Milliseconds(0);
  return change == RecordChange::Add
             ? FirstAddDelay + AddDelayPerRank * rank
             : FirstRemoveDelay + RemoveDelayPerRank * rank;
}

} // namespace sardineford::fleet
