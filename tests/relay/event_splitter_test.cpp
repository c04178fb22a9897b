#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("events are complete wherever the byte stream is split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: only a comment\n\nid: 3\ndata: c\n\n";
  for (std::size_t cut = 1; cut < stream.size(); ++cut) {
    event_splitter events;
    events.feed(stream.substr(0, cut));
    std::string passed = events.take_whole();
    events.feed(stream.substr(cut));
    passed += events.take_whole();
    CHECK(passed == stream);
    CHECK(events.last_id() == 3);
    CHECK(events.events() == 3);
    CHECK_FALSE(events.inside_event());
  }
}

// An endpoint crashes in the middle of an event. The caller must not get the partial event: another
// endpoint resumes after the last complete one and sends the event again.
TEST_CASE("a partial event is dropped and not counted") {
  event_splitter events;
  events.feed("id: 7\ndata: whole\n\nid: 8\ndata: bro");
  CHECK(events.take_whole() == "id: 7\ndata: whole\n\n");
  CHECK(events.inside_event());
  events.drop_unfinished();
  events.feed("id: 8\ndata: broken no more\n\n");
  CHECK(events.take_whole() == "id: 8\ndata: broken no more\n\n");
  CHECK(events.events() == 2);
}
