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
  // A state written by a newer version of the program is read as Unknown, so
  // that the request is not executed again.
  size_t index =
      it == StateNames.end() ? StateNames.size() - 1 : it - StateNames.begin();
  return static_cast<RecordState>(index);
}

} // namespace

std::string encodeRecord(const OnceRecord &record) {
  json::object response = {{"status", record.Response.Status},
                           {"content_type", record.Response.ContentType},
                           {"body", record.Response.Body},
                           {"is_digest", record.Response.IsDigest}};
  return json::serialize(
      json::object{{"state", StateNames[static_cast<size_t>(record.State)]},
                   {"owner", record.OwnerName},
                   {"incarnation", record.OwnerIncarnation},
                   {"address", record.OwnerAddress},
                   {"request_hash", record.RequestHash},
                   {"written_ms", record.WrittenMs},
                   {"write_id", record.WriteId},
                   {"answer", std::move(response)}});
}

OnceRecord decodeRecord(const std::string &text) {
  json::value root = json::parse(text);
  auto stringField = [&](const char *name) {
    return json::value_to<std::string>(root.at(name));
  };
  OnceRecord record;
  record.State = parseState(stringField("state"));
  record.OwnerName = stringField("owner");
  record.OwnerIncarnation = stringField("incarnation");
  record.OwnerAddress = stringField("address");
  record.RequestHash = root.at("request_hash").to_number<uint64_t>();
  record.WrittenMs = root.at("written_ms").to_number<int64_t>();
  record.WriteId = stringField("write_id");
  const json::value &response = root.at("answer");
  record.Response.Status = response.at("status").to_number<unsigned>();
  record.Response.ContentType =
      json::value_to<std::string>(response.at("content_type"));
  record.Response.Body = json::value_to<std::string>(response.at("body"));
  record.Response.IsDigest = response.at("is_digest").as_bool();
  return record;
}

Awaitable<std::optional<VersionedRecord>>
ObjectOnceStore::read(std::string key) {
  std::optional<store::Object> found = co_await Store.get(RecordKind, key);
  if (!found)
    co_return std::nullopt;
  co_return VersionedRecord{decodeRecord(found->Value), found->Version};
}

Awaitable<uint64_t> ObjectOnceStore::write(std::string key, OnceRecord record,
                                           uint64_t version,
                                           MonoTime deadline) {
  store::Object object{RecordKind, key, version, encodeRecord(record)};
  std::string id = record.WriteId;
  store::IsOwnWrite isOwn = [id](const std::string &value) {
    return decodeRecord(value).WriteId == id;
  };
  co_return co_await store::putWithReadBack(Store, std::move(object), isOwn,
                                            deadline);
}

StoredResponse makeStoredResponse(unsigned status, std::string contentType,
                                  std::string body) {
  StoredResponse response{status, std::move(contentType), std::move(body),
                          false};
  if (response.Body.size() <= MaxStoredResponseBytes)
    return response;
  response.IsDigest = true;
  response.Body = "xxh3:" + std::to_string(hash64(response.Body));
  return response;
}

} // namespace sardineford::once
