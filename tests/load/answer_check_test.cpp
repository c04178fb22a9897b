#include "load/load.hpp"

#include <doctest/doctest.h>

using namespace sedgechute::load;

namespace {

answer_check checked(const char* content, bool reason = true, bool marker = true) {
  answer_check check{"aa"};
  check.content(content);
  if (reason)
    check.finish_reason();
  if (marker)
    check.finish_marker();
  return check;
}

} // namespace

TEST_CASE("a whole answer passes, also when its tokens are split over pieces") {
  CHECK(checked("aa:1 aa:2 ").whole());
  answer_check split{"aa"};
  for (const char* piece : {"a", "a:1", " aa", ":2 "})
    split.content(piece);
  split.finish_reason();
  split.finish_marker();
  CHECK(split.whole());
  CHECK(split.tokens() == 2);
}

TEST_CASE("an answer with a token of another prompt is mixed") {
  CHECK(checked("aa:1 bb:2 ").mixed());
}

TEST_CASE("a missing, doubled or swapped token is seen") {
  CHECK(checked("aa:1 aa:3 ").disordered());
  CHECK(checked("aa:1 aa:1 aa:2 ").disordered());
  CHECK(checked("aa:2 aa:1 ").disordered());
}

TEST_CASE("an answer without its finish reason or marker, or in the middle of a token, is cut") {
  CHECK(checked("aa:1 ", false).cut());
  CHECK(checked("aa:1 ", true, false).cut());
  CHECK(checked("aa:1 aa:").cut());
}
