#include "Fleet/KnownObjects.h"

#include <catch2/catch.hpp>

using namespace sardineford;
using namespace sardineford::fleet;

namespace {

store::Object object(const std::string &name, uint64_t version) {
  return {"servers", name, version, ""};
}

} // namespace

TEST_CASE("equal sets of objects have equal views whatever their history") {
  KnownObjects a;
  a.update(object("x", 3));
  a.update(object("y", 5));
  a.update(object("x", 9));
  a.update(object("y", 0));
  KnownObjects b;
  b.replaceAll({12, {object("x", 9)}});
  CHECK(a.view().Digest == b.view().Digest);
  CHECK(a.view().NewestVersion == 9);
  CHECK(b.view().NewestVersion == 9);
  b.update(object("z", 10));
  CHECK(a.view().Digest != b.view().Digest);
  b.update(object("z", 0));
  CHECK(a.view().Digest == b.view().Digest);
  CHECK(b.view().NewestVersion == 9);
  b.replaceAll({13, {}});
  CHECK(b.view().Digest == 0);
  CHECK(b.view().NewestVersion == 0);
}

TEST_CASE("only news of a watch is applied") {
  KnownObjects known;
  CHECK(known.applyNews({20, {object("a", 10), object("b", 12)}}).size() == 2);
  CHECK(known.applyNews({20, {object("a", 10), object("b", 11)}}).empty());
  // The removal is older than what is known.
  CHECK(known.applyNews({9, {object("a", 0)}}).empty());
  CHECK(known.applyNews({21, {object("a", 0)}}).size() == 1);
  CHECK(known.applyNews({21, {object("a", 0)}}).empty());
  // A change from before the removal arrives after it.
  CHECK(known.applyNews({18, {object("a", 18)}}).empty());
  CHECK(known.applyNews({30, {object("a", 25)}}).size() == 1);
}

// An entry that lapses and is written again within the interval in which
// changes are collected arrives in one answer.
TEST_CASE("an object that is removed and created again stays known") {
  KnownObjects known;
  known.applyNews({10, {object("a", 5)}});
  CHECK(known.applyNews({20, {object("a", 0), object("a", 15)}}).size() == 2);
  CHECK(known.view().NewestVersion == 15);
}

TEST_CASE("the changes to a list lead to the same digest") {
  KnownObjects known;
  known.applyNews({10, {object("a", 5), object("b", 6), object("c", 7)}});
  store::ObjectList list{20,
                         {object("a", 5), object("b", 16), object("d", 17)}};
  std::vector<store::Object> changes = known.changesTo(list);
  CHECK(changes.size() == 3);
  known.applyNews({20, changes});
  KnownObjects listed;
  listed.replaceAll(list);
  CHECK(known.view().Digest == listed.view().Digest);
}
