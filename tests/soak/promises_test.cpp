// The soak is worth what its checks find: each must fail on what it is there for.

#include "promises.hpp"

#include <doctest/doctest.h>

using namespace sedgechute::soak;

TEST_CASE("a calm run keeps every promise") {
  promises kept;
  kept.note_paid(100);
  kept.note_run("a", true, 40);
  kept.note_delivered(20);
  kept.note_outcome({"a", 200, true, true});
  kept.note_outcome({"b", 503, true, false});
  CHECK(kept.broken().empty());
}

TEST_CASE("tokens above the budget are found") {
  promises kept;
  kept.note_paid(100);
  kept.note_run("a", true, 90);
  kept.note_delivered(11);
  kept.note_paid(1000); // a later raise does not make it good
  CHECK(kept.broken().size() == 1);
}

TEST_CASE("a prompt that runs again is counted once") {
  promises kept;
  kept.note_paid(100);
  kept.note_run("a", false, 90);
  kept.note_run("a", false, 90);
  CHECK(kept.broken().empty());
}

TEST_CASE("a second run of what may run once is found") {
  promises kept;
  kept.note_run("a", true, 0);
  kept.note_run("a", true, 0);
  CHECK(kept.broken().size() == 1);
}

TEST_CASE("a refusal that lies is found, whichever way it says so") {
  for (const int status : {402, 408, 421, 429, 503}) {
    promises kept;
    kept.note_run("a", true, 0);
    kept.note_outcome({"a", status, true, false});
    CHECK(kept.broken().size() == 1);
  }
}

TEST_CASE("a complete answer that is another's, or that nobody gave, is found") {
  promises kept;
  kept.note_run("a", true, 0);
  kept.note_outcome({"a", 200, true, false});
  kept.note_outcome({"b", 200, true, true});
  CHECK(kept.broken().size() == 2);
}

TEST_CASE("with only planned work, what ran and was not answered whole is found") {
  promises kept;
  kept.only_planned_work();
  kept.note_run("a", true, 0);
  kept.note_outcome({"a", 200, false, false});
  kept.note_run("b", true, 0);
  kept.note_outcome({"b", 0, false, false});
  kept.note_outcome({"c", 0, false, false}); // never sent on
  kept.note_run("d", true, 0);
  kept.note_outcome({"d", 0, false, false, true}); // its caller left
  CHECK(kept.broken().size() == 2);
}

TEST_CASE("a stop that outlasts its grace, or ends in error, is found") {
  promises kept;
  kept.note_stop(0);
  kept.note_stop(-1);
  kept.note_stop(134);
  CHECK(kept.broken().size() == 2);
}

TEST_CASE("an answer that was cut and looks so breaks nothing") {
  promises kept;
  kept.note_run("a", true, 0);
  kept.note_outcome({"a", 200, false, false});
  CHECK(kept.broken().empty());
}
