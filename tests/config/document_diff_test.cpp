#include "config/config.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("a difference is named by the entry's id, not by its place") {
  const auto before = parse_json(R"({"a":1,"list":[{"id":"x","n":1},{"id":"y","n":2}],"p":["u"]})");
  const auto after = parse_json(R"({"list":[{"id":"y","n":3},{"id":"z","n":4}],"p":["u","v"]})");
  const std::vector<difference> wanted{{"/a", "1", ""},
                                       {"/list/x", R"({"id":"x","n":1})", ""},
                                       {"/list/y/n", "2", "3"},
                                       {"/list/z", "", R"({"id":"z","n":4})"},
                                       {"/p/v", "", R"("v")"}};
  CHECK(diff_documents(before, after) == wanted);
  CHECK(diff_documents(before, before).empty());
}
