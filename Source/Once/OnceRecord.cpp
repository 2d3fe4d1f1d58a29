#include "Sardineford/Once/OnceRecord.h"

#include "Sardineford/Common/Random.h"
#include "Sardineford/Store/Write.h"

#include <boost/json.hpp>

#include <array>

namespace sardineford::once {

namespace json = boost::json;

namespace {

constexpr const char *RecordKind = "OnceRecord";
constexpr std::array<std::string_view, 4> StateNames = {"recorded", "answered",
                                                        "released", "unknown"};

RecordState parseState(std::string_view text) {
  auto it = std::find(StateNames.begin(), StateNames.end(), text);
  // A state of a newer version is treated as one that must not run again.
  size_t index =
      it == StateNames.end() ? StateNames.size() - 1 : it - StateNames.begin();
  return static_cast<RecordState>(index);
}

} // namespace

std::string encodeRecord(const OnceRecord &r) {
  json::object answer = {{"status", r.Response.Status},
                         {"content_type", r.Response.ContentType},
                         {"body", r.Response.Body},
                         {"is_digest", r.Response.IsDigest}};
  return json::serialize(
      json::object{{"state", StateNames[static_cast<size_t>(r.State)]},
                   {"owner", r.OwnerName},
                   {"incarnation", r.OwnerIncarnation},
                   {"address", r.OwnerAddress},
                   {"request_hash", r.RequestHash},
                   {"written_ms", r.WrittenMs},
                   {"write_id", r.WriteId},
                   {"answer", std::move(answer)}});
}

OnceRecord decodeRecord(const std::string &text) {
  json::value root = json::parse(text);
  auto textOf = [&](const char *name) {
    return json::value_to<std::string>(root.at(name));
  };
  OnceRecord r;
  r.State = parseState(textOf("state"));
  r.OwnerName = textOf("owner");
  r.OwnerIncarnation = textOf("incarnation");
  r.OwnerAddress = textOf("address");
  r.RequestHash = root.at("request_hash").to_number<uint64_t>();
  r.WrittenMs = root.at("written_ms").to_number<int64_t>();
  r.WriteId = textOf("write_id");
  const json::value &answer = root.at("answer");
  r.Response.Status = answer.at("status").to_number<unsigned>();
  r.Response.ContentType = json::value_to<std::string>(answer.at("content_type"));
  r.Response.Body = json::value_to<std::string>(answer.at("body"));
  r.Response.IsDigest = answer.at("is_digest").as_bool();
  return r;
}

Awaitable<std::optional<VersionedRecord>> ObjectOnceStore::read(std::string key) {
  std::optional<store::Object> found = co_await Store.get(RecordKind, key);
  if (!found)
    co_return std::nullopt;
  co_return VersionedRecord{decodeRecord(found->Value), found->Version};
}

Awaitable<uint64_t> ObjectOnceStore::write(std::string key, OnceRecord record,
                                        uint64_t version, MonoTime deadline) {
  store::Object object{RecordKind, key, version, encodeRecord(record)};
  std::string id = record.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &v) {
    return decodeRecord(v).WriteId == id;
  };
  co_return co_await store::putWithReadBack(Store, std::move(object), isOwn,
                                       deadline);
}

StoredResponse makeStoredResponse(unsigned status, std::string contentType,
                      std::string body) {
  StoredResponse a{status, std::move(contentType), std::move(body), false};
  if (a.Body.size() <= MaxStoredResponseBytes)
    return a;
  a.IsDigest = true;
  a.Body = "xxh3:" + std::to_string(hash64(a.Body));
  return a;
}

} // namespace sardineford::once
