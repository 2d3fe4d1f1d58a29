#include "Sardineford/Config/Generation.h"

#include "Sardineford/Common/Log.h"
#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/json.hpp>

#include <set>

namespace sardineford::config {

namespace json = boost::json;
using store::ObjectStore;

namespace {

/// Records are grouped into buckets by a hash of their key, so that a new
/// generation writes only the buckets that changed.
constexpr size_t BucketCount = 16;
constexpr Milliseconds WriteTimeout{5'000};

std::string recordKey(const std::string &kind, const std::string &name) {
  return kind + "/" + name;
}

size_t bucketOf(const std::string &key) { return hash64(key) % BucketCount; }

json::object toJson(const Record &record) {
  return {{"kind", record.Kind},
          {"name", record.Name},
          {"text", record.Text},
          {"version", record.Version},
          {"changed_in", record.ChangedIn},
          {"removed", record.Removed}};
}

Record fromJson(const json::object &object) {
  Record record;
  record.Kind = json::value_to<std::string>(object.at("kind"));
  record.Name = json::value_to<std::string>(object.at("name"));
  record.Text = json::value_to<std::string>(object.at("text"));
  record.Version = object.at("version").to_number<uint64_t>();
  record.ChangedIn = object.at("changed_in").to_number<uint64_t>();
  record.Removed = object.at("removed").as_bool();
  return record;
}

std::string encodeBucket(const std::vector<Record> &records) {
  json::array all;
  for (const Record &it : records)
    all.push_back(toJson(it));
  return json::serialize(all);
}

void decodeBucket(const std::string &text, std::vector<Record> &out) {
  json::value root = json::parse(text);
  for (const json::value &it : root.as_array())
    out.push_back(fromJson(it.as_object()));
}

/// A generation pointer and its version in the store.
struct StoredPointer {
  GenerationPointer Value;
  uint64_t Version = 0;
};

Awaitable<StoredPointer> readPointer(ObjectStore &store) {
  StoredPointer out;
  std::optional<store::Object> found =
      co_await store.get(kinds::Pointer, PointerName);
  if (found) {
    out.Value = decodePointer(found->Value);
    out.Version = found->Version;
  }
  co_return out;
}

Awaitable<Delta> readGeneration(ObjectStore &store,
                                const GenerationPointer &pointer) {
  Delta delta;
  delta.Generation = pointer.Generation;
  for (const std::string &it : pointer.Buckets) {
    if (it.empty())
      continue;
    std::optional<store::Object> bucket = co_await store.get(kinds::Bucket, it);
    if (!bucket)
      throw store::StoreError(store::Failure::Unavailable,
                              "configuration bucket " + it + " is missing");
    decodeBucket(bucket->Value, delta.Records);
  }
  co_return delta;
}

/// Reads the current objects of the configuration from the store.
Awaitable<std::vector<Record>> readObjects(ObjectStore &store) {
  std::vector<Record> out;
  for (const std::string &kind : objectKinds()) {
    store::ObjectList list = co_await store.list(kind);
    for (store::Object &it : list.Objects) {
      Record record;
      record.Kind = it.Kind;
      record.Name = it.Name;
      record.Text = std::move(it.Value);
      record.Version = it.Version;
      out.push_back(std::move(record));
    }
  }
  co_return out;
}

/// Compares the objects with the last generation, sets ChangedIn of each record
/// and appends the tombstones. Returns the indices of the changed buckets.
std::set<size_t> markChanges(std::vector<Record> &records, const Delta &last,
                             uint64_t generation) {
  std::map<std::string, Record> previous;
  for (const Record &it : last.Records)
    previous[recordKey(it.Kind, it.Name)] = it;
  std::set<size_t> changed;
  for (Record &it : records) {
    std::string key = recordKey(it.Kind, it.Name);
    auto found = previous.find(key);
    bool isUnchanged = found != previous.end() && !found->second.Removed &&
                       found->second.Version == it.Version;
    it.ChangedIn = isUnchanged ? found->second.ChangedIn : generation;
    if (!isUnchanged)
      changed.insert(bucketOf(key));
    if (found != previous.end())
      previous.erase(found);
  }
  for (auto &[key, record] : previous) {
    if (!record.Removed) {
      record.Removed = true;
      record.Text.clear();
      record.ChangedIn = generation;
      changed.insert(bucketOf(key));
    }
    records.push_back(record);
  }
  return changed;
}

std::vector<RawObject> toRaw(const std::vector<Record> &records) {
  std::vector<RawObject> out;
  for (const Record &it : records)
    if (!it.Removed)
      out.push_back({it.Kind, it.Name, it.Text});
  return out;
}

Awaitable<void> writeBuckets(ObjectStore &store, GenerationPointer &next,
                             const std::vector<Record> &records,
                             const std::set<size_t> &changed) {
  next.Buckets.resize(BucketCount);
  for (size_t bucket : changed) {
    std::vector<Record> content;
    for (const Record &it : records)
      if (bucketOf(recordKey(it.Kind, it.Name)) == bucket)
        content.push_back(it);
    // The name is unique to this write, so a bucket never changes after it is
    // written.
    std::string name = std::to_string(next.Generation) + "-" +
                       std::to_string(bucket) + "-" + next.WriteId;
    store::Object object{kinds::Bucket, name, 0, encodeBucket(content)};
    std::string text = object.Value;
    store::IsOwnWrite isOwn = [text](const std::string &value) {
      return value == text;
    };
    co_await store::putWithReadBack(store, std::move(object), isOwn,
                                    MonoClock::now() + WriteTimeout);
    next.Buckets[bucket] = name;
  }
}

Awaitable<void> writePointer(ObjectStore &store, GenerationPointer next,
                             uint64_t version) {
  store::Object object{kinds::Pointer, PointerName, version,
                       encodePointer(next)};
  std::string id = next.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &value) {
    return decodePointer(value).WriteId == id;
  };
  co_await store::putWithReadBack(store, std::move(object), isOwn,
                                  MonoClock::now() + WriteTimeout);
}

std::vector<std::string> describe(const std::vector<ValidationError> &errors) {
  std::vector<std::string> out;
  out.reserve(errors.size());
  for (const ValidationError &it : errors)
    out.push_back(toString(it));
  return out;
}

/// Removes the buckets that only the last pointer refers to. A bucket whose
/// removal fails stays in the store, but is never read.
Awaitable<void> removeOldBuckets(ObjectStore &store,
                                 const GenerationPointer &last,
                                 const GenerationPointer &next) {
  std::set<std::string> used(next.Buckets.begin(), next.Buckets.end());
  for (const std::string &it : last.Buckets) {
    if (it.empty() || used.contains(it))
      continue;
    try {
      std::optional<store::Object> found =
          co_await store.get(kinds::Bucket, it);
      if (found)
        co_await store.remove(kinds::Bucket, it, found->Version);
    } catch (const store::StoreError &e) {
      log::debug(log::Category::Config,
                 "cannot remove configuration bucket {}: {}", it, e.what());
    }
  }
}

} // namespace

bool GenerationState::apply(const Delta &delta) {
  if (delta.Generation <= Generation)
    return false;
  if (delta.Base > Generation)
    return false;
  if (delta.Base == 0) {
    Records.clear();
    Objects = Catalog();
  }
  std::vector<ValidationError> ignoredErrors;
  for (const Record &it : delta.Records) {
    Records[recordKey(it.Kind, it.Name)] = it;
    if (it.Removed)
      removeObject(Objects, it.Kind, it.Name);
    else
      addObject(Objects,
                parseObject({it.Kind, it.Name, it.Text}, ignoredErrors));
  }
  Generation = delta.Generation;
  Objects.Generation = delta.Generation;
  return true;
}

Delta GenerationState::deltaSince(uint64_t generation) const {
  Delta delta;
  delta.Base = generation;
  delta.Generation = Generation;
  for (const auto &[key, record] : Records)
    if (record.ChangedIn > generation)
      delta.Records.push_back(record);
  return delta;
}

std::string encodePointer(const GenerationPointer &pointer) {
  json::array buckets;
  for (const std::string &it : pointer.Buckets)
    buckets.push_back(json::value(it));
  json::array rejected;
  for (const std::string &it : pointer.Rejected)
    rejected.push_back(json::value(it));
  return json::serialize(json::object{{"generation", pointer.Generation},
                                      {"buckets", buckets},
                                      {"write_id", pointer.WriteId},
                                      {"rejected", rejected}});
}

GenerationPointer decodePointer(const std::string &text) {
  json::value root = json::parse(text);
  GenerationPointer pointer;
  pointer.Generation = root.at("generation").to_number<uint64_t>();
  pointer.Buckets =
      json::value_to<std::vector<std::string>>(root.at("buckets"));
  pointer.WriteId = json::value_to<std::string>(root.at("write_id"));
  pointer.Rejected =
      json::value_to<std::vector<std::string>>(root.at("rejected"));
  return pointer;
}

Awaitable<Delta> readNewestGeneration(ObjectStore &store) {
  StoredPointer pointer = co_await readPointer(store);
  co_return co_await readGeneration(store, pointer.Value);
}

Awaitable<PublishResult> publish(ObjectStore &store) {
  StoredPointer last = co_await readPointer(store);
  Delta lastGeneration = co_await readGeneration(store, last.Value);
  std::vector<Record> records = co_await readObjects(store);
  GenerationPointer next = last.Value;
  next.Generation = last.Value.Generation + 1;
  next.WriteId = makeId();
  std::set<size_t> changed =
      markChanges(records, lastGeneration, next.Generation);
  PublishResult result;
  result.Generation = last.Value.Generation;
  if (changed.empty() && last.Value.Rejected.empty())
    co_return result;
  result.Errors = parseCatalog(toRaw(records)).Errors;
  next.Rejected = describe(result.Errors);
  bool isValid = result.Errors.empty() && !changed.empty();
  if (!isValid) {
    // Keeps the generation and changes only the list of errors.
    if (next.Rejected == last.Value.Rejected)
      co_return result;
    next.Generation = last.Value.Generation;
  } else {
    co_await writeBuckets(store, next, records, changed);
  }
  co_await writePointer(store, next, last.Version);
  if (!isValid)
    co_return result;
  result.Published = true;
  result.Generation = next.Generation;
  co_await removeOldBuckets(store, last.Value, next);
  co_return result;
}

} // namespace sardineford::config
