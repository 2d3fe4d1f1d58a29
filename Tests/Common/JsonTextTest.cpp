#include "Sardineford/Common/JsonText.h"
#include "Sardineford/Common/Numbers.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace sardineford;

TEST_CASE("elements of JSON texts are separated without being decoded") {
  auto items =
      splitJsonArray(" [ 1 ,\n{\"a\":[1,\"]\"]}, \"x,\\\"]\" ,NaN,[] ] ");
  REQUIRE(items);
  CHECK(*items == std::vector<std::string_view>{"1", R"({"a":[1,"]"]})",
                                                R"("x,\"]")", "NaN", "[]"});
  auto members =
      splitJsonObject(R"({ "a" : {"b":"}"} ,"\u0063":-1e99999,"a":2})");
  REQUIRE(members);
  CHECK(findMember(*members, "c") == "-1e99999");
  CHECK(findMember(*members, "a") == "2");
  CHECK_FALSE(findMember(*members, "b"));
  CHECK(splitJsonArray("[]")->empty());
  CHECK(splitJsonObject(" {} ")->empty());
  CHECK(compactJson(" { \"a b\" : [ 1 ,\t\"\\\" \" ] }\n") ==
        R"({"a b":[1,"\" "]})");
}

TEST_CASE("texts that are no JSON array or object are not separated") {
  for (const char *it : {"", "1", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]",
                         "[1]x", "{}", "[\"a]", "[\"\\", "[}"}) {
    INFO(it);
    CHECK_FALSE(splitJsonArray(it));
  }
  for (const char *it : {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}",
                         "{\"a\":1", "[]", "{1:2}", "{\"a\":1]"}) {
    INFO(it);
    CHECK_FALSE(splitJsonObject(it));
  }
}

TEST_CASE("elements of any depth are separated") {
  std::string text = "[" + std::string(5'000'000, '[');
  text.append(5'000'000, ']');
  text += ",7]";
  auto items = splitJsonArray(text);
  REQUIRE(items);
  CHECK(items->at(1) == "7");
}

TEST_CASE("numbers are converted only within their bounds") {
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  CHECK(toWhole(8.0, 0U, 10U) == 8U);
  CHECK(toWhole(10.0, 0U, 10U) == 10U);
  for (double it :
       {-1.0, 10.5, 11.0, 1e308, -1e308, Infinity, -Infinity, std::nan("")})
    CHECK_FALSE(toWhole(it, 0U, 10U));
  CHECK(toIntegerWithin(7.9, 0, 10) == 7);
  CHECK(toIntegerWithin(1e300, 0, 10) == 10);
  CHECK(toIntegerWithin(Infinity, 0, 10) == 10);
  CHECK(toIntegerWithin(-1e300, -3, 10) == -3);
  CHECK(toIntegerWithin(std::nan(""), 1, 10) == 1);
}
