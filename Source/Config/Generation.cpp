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

constexpr size_t BucketCount = 16;
constexpr Milliseconds WriteDeadline{5'000};

std::string recordKey(const std::string &kind, const std::string &name) {
  return kind + "/" + name;
}

size_t bucketOf(const std::string &key) { return hash64(key) % BucketCount; }

json::object toJson(const Record &r) {
  return {{"kind", r.Kind},
          {"name", r.Name},
          {"text", r.Text},
          {"version", r.Version},
          {"changed_in", r.ChangedIn},
          {"removed", r.Removed}};
}

Record fromJson(const json::object &o) {
  Record r;
  r.Kind = json::value_to<std::string>(o.at("kind"));
  r.Name = json::value_to<std::string>(o.at("name"));
  r.Text = json::value_to<std::string>(o.at("text"));
  r.Version = o.at("version").to_number<uint64_t>();
  r.ChangedIn = o.at("changed_in").to_number<uint64_t>();
  r.Removed = o.at("removed").as_bool();
  return r;
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

/// The pointer as it stands in the store, with its version.
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

Awaitable<Delta> readGeneration(ObjectStore &store, const GenerationPointer &p) {
  Delta d;
  d.Generation = p.Generation;
  for (const std::string &it : p.Buckets) {
    if (it.empty())
      continue;
    std::optional<store::Object> bucket = co_await store.get(kinds::Bucket, it);
    if (!bucket)
      throw store::StoreError(store::Failure::Unavailable,
                              "bucket " + it + " is missing");
    decodeBucket(bucket->Value, d.Records);
  }
  co_return d;
}

/// All objects of the configuration as they stand in the store.
Awaitable<std::vector<Record>> readObjects(ObjectStore &store) {
  std::vector<Record> out;
  for (const std::string &kind : objectKinds()) {
    store::ObjectList list = co_await store.list(kind);
    for (store::Object &it : list.Objects) {
      Record r;
      r.Kind = it.Kind;
      r.Name = it.Name;
      r.Text = std::move(it.Value);
      r.Version = it.Version;
      out.push_back(std::move(r));
    }
  }
  co_return out;
}

/// Marks what differs from the last generation. Returns the changed buckets.
std::set<size_t> markChanges(std::vector<Record> &now, const Delta &last,
                             uint64_t generation) {
  std::map<std::string, Record> old;
  for (const Record &it : last.Records)
    old[recordKey(it.Kind, it.Name)] = it;
  std::set<size_t> changed;
  for (Record &it : now) {
    std::string key = recordKey(it.Kind, it.Name);
    auto before = old.find(key);
    bool same = before != old.end() && !before->second.Removed &&
                before->second.Version == it.Version;
    it.ChangedIn = same ? before->second.ChangedIn : generation;
    if (!same)
      changed.insert(bucketOf(key));
    if (before != old.end())
      old.erase(before);
  }
  for (auto &[key, r] : old) {
    if (!r.Removed) {
      r.Removed = true;
      r.Text.clear();
      r.ChangedIn = generation;
      changed.insert(bucketOf(key));
    }
    now.push_back(r);
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
    // The name is new, so that a bucket never changes once it is written.
    std::string name = std::to_string(next.Generation) + "-" +
                       std::to_string(bucket) + "-" + next.WriteId;
    store::Object object{kinds::Bucket, name, 0, encodeBucket(content)};
    std::string text = object.Value;
    store::IsOwnWrite isOwn = [text](const std::string &v) {
      return v == text;
    };
    co_await store::putWithReadBack(store, std::move(object), isOwn,
                               MonoClock::now() + WriteDeadline);
    next.Buckets[bucket] = name;
  }
}

Awaitable<void> writePointer(ObjectStore &store, GenerationPointer next,
                             uint64_t version) {
  store::Object object{kinds::Pointer, PointerName, version,
                       encodePointer(next)};
  std::string id = next.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &v) {
    return decodePointer(v).WriteId == id;
  };
  co_await store::putWithReadBack(store, std::move(object), isOwn,
                             MonoClock::now() + WriteDeadline);
}

std::vector<std::string> describe(const std::vector<ValidationError> &errors) {
  std::vector<std::string> out;
  out.reserve(errors.size());
  for (const ValidationError &it : errors)
    out.push_back(toString(it));
  return out;
}

/// Removes buckets that the last pointer named and the new one does not. A
/// failure leaves them; they are then only garbage.
Awaitable<void> removeOldBuckets(ObjectStore &store, const GenerationPointer &last,
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
      log::debug(log::Category::Config, "bucket {} stays: {}", it, e.what());
    }
  }
}

} // namespace

bool GenerationState::apply(const Delta &d) {
  if (d.Generation <= Generation)
    return false;
  if (d.Base > Generation)
    return false;
  if (d.Base == 0) {
    Records.clear();
    Objects = Catalog();
  }
  std::vector<ValidationError> ignored;
  for (const Record &it : d.Records) {
    Records[recordKey(it.Kind, it.Name)] = it;
    if (it.Removed)
      removeObject(Objects, it.Kind, it.Name);
    else
      addObject(Objects, parseObject({it.Kind, it.Name, it.Text}, ignored));
  }
  Generation = d.Generation;
  Objects.Generation = d.Generation;
  return true;
}

Delta GenerationState::deltaSince(uint64_t generation) const {
  Delta d;
  d.Base = generation;
  d.Generation = Generation;
  for (const auto &[key, r] : Records)
    if (r.ChangedIn > generation)
      d.Records.push_back(r);
  return d;
}

std::string encodePointer(const GenerationPointer &p) {
  json::array buckets;
  for (const std::string &it : p.Buckets)
    buckets.push_back(json::value(it));
  json::array rejected;
  for (const std::string &it : p.Rejected)
    rejected.push_back(json::value(it));
  return json::serialize(json::object{{"generation", p.Generation},
                                      {"buckets", buckets},
                                      {"write_id", p.WriteId},
                                      {"rejected", rejected}});
}

GenerationPointer decodePointer(const std::string &text) {
  json::value root = json::parse(text);
  GenerationPointer p;
  p.Generation = root.at("generation").to_number<uint64_t>();
  p.Buckets = json::value_to<std::vector<std::string>>(root.at("buckets"));
  p.WriteId = json::value_to<std::string>(root.at("write_id"));
  p.Rejected = json::value_to<std::vector<std::string>>(root.at("rejected"));
  return p;
}

Awaitable<Delta> readNewestGeneration(ObjectStore &store) {
  StoredPointer p = co_await readPointer(store);
  co_return co_await readGeneration(store, p.Value);
}

Awaitable<PublishResult> publish(ObjectStore &store) {
  StoredPointer last = co_await readPointer(store);
  Delta before = co_await readGeneration(store, last.Value);
  std::vector<Record> records = co_await readObjects(store);
  GenerationPointer next = last.Value;
  next.Generation = last.Value.Generation + 1;
  next.WriteId = makeId();
  std::set<size_t> changed = markChanges(records, before, next.Generation);
  PublishResult result;
  result.Generation = last.Value.Generation;
  if (changed.empty() && last.Value.Rejected.empty())
    co_return result;
  result.Errors = parseCatalog(toRaw(records)).Errors;
  next.Rejected = describe(result.Errors);
  bool isValid = result.Errors.empty() && !changed.empty();
  if (!isValid) {
    // Keeps the generation; only the list of errors changes.
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
