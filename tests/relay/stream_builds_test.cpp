#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace sedgechute;

namespace {

using state = stream_build::state;

constexpr stream_build first{state::known, 1};
constexpr stream_build second{state::known, 2};
constexpr stream_build ambiguous{state::ambiguous, 0};

endpoint_entry entry_of(const std::string& id, const std::string& version, bool draining = false) {
  endpoint_entry entry{endpoint_id{id}, "s", "127.0.0.1:1", data_centre_id{"dc"}, 8, draining};
  entry.version = version;
  return entry;
}

struct directory_fixture {
  [[nodiscard]] std::optional<placement> place(build_hash build) {
    placement_request request;
    request.service = "s";
    request.build = build;
    return endpoints.place(request);
  }

  manual_clock time;
  endpoint_directory endpoints{data_centre_id{"dc"}, choice_weights{}, time};
};

} // namespace

TEST_CASE("a team cannot name the attempts of another team") {
  CHECK(stream_key_of("a", "id") != stream_key_of("b", "id"));
  CHECK(stream_key_of("a", "id") != stream_key_of("a", "id2"));
  CHECK(stream_key_of("ab", "c") != stream_key_of("a", "bc"));
}

// Two streams under one attempt id: whichever was recorded last would be a guess.
TEST_CASE("an attempt under which streams of two builds began names none of them") {
  stream_build_table table;
  table.note({7, first, time_ms{1000}}, time_ms{0});
  CHECK(table.find(7, time_ms{10}) == first);
  table.note({7, first, time_ms{1000}}, time_ms{20});
  CHECK(table.find(7, time_ms{30}) == first);
  table.note({7, second, time_ms{1000}}, time_ms{40});
  CHECK(table.find(7, time_ms{50}) == ambiguous);
  table.note({7, first, time_ms{1000}}, time_ms{60});
  CHECK(table.find(7, time_ms{70}) == ambiguous);
}

TEST_CASE("records end with their lifetime and are bounded in number") {
  stream_build_table table{2};
  table.note({1, first, time_ms{100}}, time_ms{0});
  CHECK(table.find(1, time_ms{99}) == first);
  CHECK(table.find(1, time_ms{100}) == stream_build{});
  table.note({2, first, time_ms{100}}, time_ms{50});
  table.note({3, first, time_ms{100}}, time_ms{60});
  CHECK(table.find(3, time_ms{61}) == stream_build{});
  table.note({4, second, time_ms{100}}, time_ms{120}); // the first has ended
  CHECK(table.find(4, time_ms{121}) == second);
  CHECK(table.records(time_ms{121}).size() == 2);
}

TEST_CASE("records lie in as many data centres as possible") {
  std::vector<record_host> hosts;
  for (int i = 0; i < 12; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back({name, "dc" + std::to_string(i % 3), stable_hash(name)});
  }
  for (stream_key stream = 1; stream < 50; ++stream) {
    const auto holders = record_holders(stream, hosts, 4);
    REQUIRE(holders.size() == 4);
    std::set<std::string> centres;
    for (const std::string& holder : holders)
      centres.insert(std::find_if(hosts.begin(), hosts.end(), [&](const record_host& one) {
                       return one.name == holder;
                     })->data_centre);
    CHECK(centres.size() == 3);
    CHECK(std::set<std::string>(holders.begin(), holders.end()).size() == 4);
  }
  CHECK(record_holders(1, std::span{hosts}.first(2), 4).size() == 2);
}

TEST_CASE("a lookup ends with the first record, with all answers, or in time") {
  constexpr build_lookup_options options{};
  build_lookup found{{"a", "b"}, options, time_ms{0}};
  CHECK(found.due(time_ms{0}).size() == 2);
  CHECK(found.due(time_ms{1}).empty());
  found.take(0, {});
  CHECK_FALSE(found.result(time_ms{2}));
  CHECK(found.due(options.resend_interval) == std::vector<std::size_t>{1});
  found.take(1, second);
  CHECK(found.result(time_ms{30}) == second);
  build_lookup unknown{{"a", "b"}, options, time_ms{0}};
  unknown.take(0, {});
  unknown.take(1, {});
  CHECK(unknown.result(time_ms{1}) == stream_build{});
  build_lookup silent{{"a"}, options, time_ms{0}};
  CHECK_FALSE(silent.result(options.timeout - time_ms{1}));
  CHECK(silent.result(options.timeout) == stream_build{});
  CHECK(build_lookup{{}, options, time_ms{0}}.result(time_ms{0}) == stream_build{});
}

TEST_CASE("messages about streams are read as they were written, and others are refused") {
  std::vector<stream_record> records;
  for (stream_key i = 0; i < 100; ++i)
    records.push_back({i, i % 2 == 0 ? first : ambiguous, time_ms{1000}});
  std::size_t read = 0;
  for (const std::string& message : encode_records(records)) {
    CHECK(message.size() < 1400);
    const auto decoded = decode_stream_build_message(message);
    REQUIRE(decoded);
    for (const stream_record& one : std::get<std::vector<stream_record>>(*decoded)) {
      CHECK(one.stream == records[read].stream);
      CHECK(one.built_by == records[read].built_by);
      CHECK(one.lifetime == records[read].lifetime);
      ++read;
    }
    CHECK_FALSE(decode_stream_build_message(message.substr(0, message.size() - 1)));
  }
  CHECK(read == records.size());
  const auto query = decode_stream_build_message(encode(build_query{5, 3, 9, "host"}));
  REQUIRE(query);
  CHECK(std::get<build_query>(*query).id == 5);
  CHECK(std::get<build_query>(*query).holder == 3);
  CHECK(std::get<build_query>(*query).stream == 9);
  CHECK(std::get<build_query>(*query).asked_by == "host");
  const std::string text = encode(build_answer{5, 3, second});
  const auto answer = decode_stream_build_message(text);
  REQUIRE(answer);
  CHECK(std::get<build_answer>(*answer).built_by == second);
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(decode_stream_build_message(std::string_view{text}.substr(0, size)));
  CHECK_FALSE(decode_stream_build_message("\x09 unknown type"));
}

TEST_CASE("a caller that waits for longer than its route allows may have begun at any time") {
  route on;
  on.timeout = time_ms{2000};
  CHECK(max_stream_age(on, time_ms{1500}, on.timeout) >= time_ms{2000});
  CHECK_FALSE(max_stream_age(on, time_ms{2001}, on.timeout));
  CHECK_FALSE(max_stream_age(on, std::nullopt, on.timeout));
}

// Guards against taking a stream for younger than it is on a route whose timeout was lowered, or
// whose callers wait for longer than the route allows.
TEST_CASE("a stream may be as old as the longest time that callers of its team wait") {
  route on;
  on.timeout = time_ms{2000};
  caller_patience callers;
  CHECK_FALSE(max_stream_age(on, time_ms{1500}, callers.longest("r", "a")));
  callers.note("r", "a", time_ms{12000});
  callers.note("r", "a", time_ms{3000});
  callers.note("r", "b", time_ms{1000});
  CHECK(max_stream_age(on, time_ms{1500}, callers.longest("r", "a")) >= time_ms{12000});
  CHECK(callers.longest("r", "b") == time_ms{1000});
  CHECK(callers.longest("r", "c") == time_ms{12000});
  CHECK_FALSE(callers.longest("other", "a"));
}

TEST_CASE("an endpoint of another build, or of one that is unknown, is not chosen") {
  directory_fixture at;
  at.endpoints.put(entry_of("a", "v1"));
  at.endpoints.put(entry_of("b", "v2"));
  for (int i = 0; i < 20; ++i)
    CHECK(at.place(build_of("s", "v1"))->endpoint == endpoint_id{"a"});
  CHECK_FALSE(at.place(build_of("s", "v3")));
  CHECK(at.endpoints.service_of(build_of("s", "v2")) == "s");
  CHECK_FALSE(at.endpoints.service_of(build_of("s", "v3")));
}

// A restart under the same id may bring another build, and the list shows it late.
TEST_CASE("an endpoint that has restarted has no known build until it is listed again") {
  directory_fixture at;
  endpoint_entry before = entry_of("a", "v1");
  before.started = time_ms{1000};
  at.endpoints.put(before);
  const auto place = at.place(build_of("s", "v1"));
  REQUIRE(place);
  at.endpoints.release(*place, send_outcome::failed, true);
  CHECK_FALSE(at.place(build_of("s", "v1"))); // it may have restarted
  for (const auto& probe : at.endpoints.due_probes())
    if (probe.query_start_time)
      at.endpoints.note_start_time(probe, time_ms{2000});
  CHECK_FALSE(at.place(build_of("s", "v1")));
  at.endpoints.put(before); // an old entry
  CHECK_FALSE(at.place(build_of("s", "v1")));
  endpoint_entry after = entry_of("a", "v2");
  after.started = time_ms{2000};
  at.endpoints.put(after);
  CHECK_FALSE(at.place(build_of("s", "v1")));
  CHECK(at.place(build_of("s", "v2")));
}

TEST_CASE("an id that is listed with another build is another incarnation") {
  directory_fixture at;
  at.endpoints.put(entry_of("a", "v1"));
  const auto place = at.place(build_of("s", "v1"));
  REQUIRE(place);
  at.endpoints.put(entry_of("a", "v2"));
  CHECK_FALSE(at.place(build_of("s", "v1")));
  const auto later = at.place(build_of("s", "v2"));
  REQUIRE(later);
  CHECK(later->local_incarnation != place->local_incarnation);
}

// The last endpoints of an old build all leave in a rollout.
TEST_CASE(
    "an endpoint that leaves takes up streams of its build for a short time if no other can") {
  directory_fixture at;
  at.endpoints.set_drain_grace(time_ms{600});
  at.endpoints.put(entry_of("a", "v1"));
  at.endpoints.put(entry_of("b", "v1"));
  at.endpoints.put(entry_of("c", "v2"));
  at.endpoints.put(entry_of("a", "v1", true));
  for (int i = 0; i < 20; ++i)
    CHECK(at.place(build_of("s", "v1"))->endpoint == endpoint_id{"b"});
  at.endpoints.put(entry_of("b", "v1", true));
  at.time.advance(time_ms{599});
  CHECK(at.place(build_of("s", "v1")));
  CHECK(at.endpoints.service_of(build_of("s", "v1")));
  at.time.advance(time_ms{1});
  CHECK_FALSE(at.place(build_of("s", "v1")));
  CHECK_FALSE(at.endpoints.service_of(build_of("s", "v1")));
  const auto fresh = at.endpoints.place({"s", nullptr, {}, {}, std::nullopt});
  REQUIRE(fresh);
  CHECK(fresh->endpoint == endpoint_id{"c"});
}

// A burst of streams that are taken up must not starve new ones, nor fill one build alone.
TEST_CASE("new streams use the endpoints of both builds beside those that are taken up") {
  directory_fixture at;
  for (int i = 0; i < 2; ++i)
    at.endpoints.put(entry_of("old" + std::to_string(i), "v1"));
  for (int i = 0; i < 4; ++i)
    at.endpoints.put(entry_of("new" + std::to_string(i), "v2"));
  std::map<build_hash, int> fresh;
  int taken_up = 0;
  for (int i = 0; i < 48; ++i) {
    if (i % 4 == 0)
      taken_up += at.place(build_of("s", "v1")) ? 1 : 0;
    else if (const auto place = at.endpoints.place({"s", nullptr, {}, {}, std::nullopt}))
      ++fresh[*place->build];
  }
  CHECK(taken_up == 12);
  CHECK(fresh[build_of("s", "v1")] >= 2);
  CHECK(fresh[build_of("s", "v2")] >= 24);
  CHECK(fresh[build_of("s", "v1")] + fresh[build_of("s", "v2")] == 36);
}
