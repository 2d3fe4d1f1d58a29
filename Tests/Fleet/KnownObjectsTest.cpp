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
