#include "Sardineford/Control/Edits.h"

#include "Sardineford/Store/Write.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace sardineford::control {

namespace json = boost::json;
using config::RawObject;

namespace {

constexpr Milliseconds WriteTimeout{10'000};

bool isSameObject(const RawObject &a, const RawObject &b) {
  return a.Kind == b.Kind && a.Name == b.Name;
}

Error conflictError(const RawObject &o, uint64_t expected, uint64_t found) {
  return Error(
      ErrorKind::Conflict,
      fmt::format("{}/{} has version {}, but the edit is based on version {}",
                  o.Kind, o.Name, found, expected),
      "read the object again, repeat the edit on it and apply it");
}

} // namespace

Awaitable<std::vector<StoredObject>> readObjects(store::ObjectStore &store,
                                                 std::string kind) {
  std::vector<StoredObject> out;
  for (const std::string &it : config::objectKinds()) {
    if (!kind.empty() && it != kind)
      continue;
    store::ObjectList list = co_await store.list(it);
    for (store::Object &o : list.Objects)
      out.push_back({{o.Kind, o.Name, std::move(o.Value)}, o.Version});
  }
  co_return out;
}

std::vector<PlannedEdit> planEdits(const std::vector<StoredObject> &current,
                                   const std::vector<RawObject> &edits) {
  std::vector<PlannedEdit> out;
  std::vector<RawObject> edited;
  edited.reserve(current.size() + edits.size());
  for (const StoredObject &it : current)
    edited.push_back(it.Object);
  for (const RawObject &edit : edits) {
    PlannedEdit p{edit, 0, false};
    for (const StoredObject &it : current) {
      if (!isSameObject(it.Object, edit))
        continue;
      p.Version = it.Version;
      p.Unchanged = it.Object.Text == edit.Text;
    }
    out.push_back(std::move(p));
    std::erase_if(edited,
                  [&](const RawObject &it) { return isSameObject(it, edit); });
    edited.push_back(edit);
  }
  std::string errors;
  for (const config::ValidationError &it : config::parseCatalog(edited).Errors)
    errors += toString(it) + "\n";
  if (!errors.empty())
    throw Error(ErrorKind::BadConfiguration, errors,
                "correct the fields named above; nothing was written");
  return out;
}

Awaitable<std::vector<StoredObject>>
applyEdits(store::ObjectStore &store, std::vector<PlannedEdit> edits) {
  std::vector<StoredObject> out;
  for (PlannedEdit &it : edits) {
    if (it.Unchanged) {
      out.push_back({it.Object, it.Version});
      continue;
    }
    store::Object object{it.Object.Kind, it.Object.Name, it.Version,
                         it.Object.Text};
    std::string text = it.Object.Text;
    store::IsOwnWrite isOwn = [text](const std::string &v) {
      return v == text;
    };
    bool isConflict = false;
    try {
      uint64_t version = co_await store::putWithReadBack(
          store, std::move(object), isOwn, MonoClock::now() + WriteTimeout);
      out.push_back({it.Object, version});
    } catch (const store::StoreError &e) {
      if (e.Reason != store::Failure::VersionConflict)
        throw;
      isConflict = true;
    }
    if (!isConflict)
      continue;
    std::optional<store::Object> found =
        co_await store.get(it.Object.Kind, it.Object.Name);
    throw conflictError(it.Object, it.Version, found ? found->Version : 0);
  }
  co_return out;
}

Awaitable<void> removeObject(store::ObjectStore &store, std::string kind,
                             std::string name) {
  std::vector<StoredObject> current = co_await readObjects(store);
  std::optional<uint64_t> version;
  std::vector<RawObject> rest;
  for (const StoredObject &it : current) {
    if (it.Object.Kind == kind && it.Object.Name == name)
      version = it.Version;
    else
      rest.push_back(it.Object);
  }
  if (!version)
    throw Error(ErrorKind::NotFound, kind + "/" + name + " does not exist",
                "list the objects with 'get'");
  std::string errors;
  for (const config::ValidationError &it : config::parseCatalog(rest).Errors)
    errors += toString(it) + "\n";
  if (!errors.empty())
    throw Error(ErrorKind::BadConfiguration, errors,
                "first remove the objects that refer to this object");
  co_await store.remove(kind, name, *version);
}

Awaitable<std::optional<uint64_t>>
findPublishedGeneration(store::ObjectStore &store,
                        std::vector<StoredObject> objects) {
  std::optional<store::Object> pointer =
      co_await store.get(config::kinds::Pointer, config::PointerName);
  if (!pointer)
    co_return std::nullopt;
  config::Delta d = co_await config::readNewestGeneration(store);
  bool all =
      std::all_of(objects.begin(), objects.end(), [&](const StoredObject &o) {
        return std::any_of(
            d.Records.begin(), d.Records.end(), [&](const config::Record &r) {
              return r.Kind == o.Object.Kind && r.Name == o.Object.Name &&
                     r.Version >= o.Version;
            });
      });
  if (all)
    co_return d.Generation;
  std::string rejected;
  for (const std::string &it : config::decodePointer(pointer->Value).Rejected)
    rejected += it + "\n";
  if (!rejected.empty())
    throw Error(ErrorKind::BadConfiguration,
                "the configuration was not published:\n" + rejected,
                "correct the fields named above and apply again");
  co_return std::nullopt;
}

RawObject editEngineList(const RawObject &pool, const std::string &list,
                         const std::string &engine, bool add) {
  boost::system::error_code ec;
  json::value root = json::parse(pool.Text, ec);
  json::value *found = ec ? nullptr : root.find_pointer("/spec", ec);
  json::object *spec = found ? found->if_object() : nullptr;
  if (!spec)
    throw Error(ErrorKind::BadConfiguration,
                "the pool '" + pool.Name + "' has no spec",
                "repair it with 'sardinefordctl apply -f FILE'");
  json::array names;
  const json::value *old = spec->if_contains(list);
  if (old && !old->is_array())
    throw Error(ErrorKind::BadConfiguration,
                "'" + list + "' of the pool '" + pool.Name + "' is no list",
                "repair it with 'sardinefordctl apply -f FILE'");
  if (old)
    for (const json::value &it : old->get_array())
      if (it != json::value(engine))
        names.push_back(it);
  if (add)
    names.push_back(json::value(engine));
  (*spec)[list] = std::move(names);
  return {pool.Kind, pool.Name, json::serialize(root)};
}

} // namespace sardineford::control
