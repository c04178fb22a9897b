// End-to-end tests with endpoints that restart under the same id.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <thread>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr time_ms first_start{1'790'000'000'000};
constexpr time_ms second_start{first_start - time_ms{60'000}}; // the wall clock was set back

scripted_reply whole(const scripted_endpoint::seen_request& request) {
  return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
}

scripted_reply full(const scripted_endpoint::seen_request&) {
  return {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", then::keep, ""};
}

/// An endpoint's reply to a status request.
scripted_reply status_reply(const std::string& body) {
  return {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          then::close, ""};
}

std::string status_json(time_ms started) {
  return R"({"Phase":"unified","Busy":false,"born":)" + std::to_string(started.count()) + "}";
}

/// Sends one request on a new connection and waits for the answer as long as its deadline allows.
std::string call(const relay_fixture& at, const std::string& path, const std::string& attempt,
                 const std::string& method = "GET", const std::string& body = "") {
  constexpr time_ms patience{1600};
  raw_caller caller{at.address()};
  caller.send(request_text(path, attempt, "", method, body));
  return caller.read_all(patience);
}

void sleep_ms(int span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

/// The first incarnation resets its connection, as in a crash; the second is listed at once.
struct crashing_endpoint {
  explicit crashing_endpoint(scripted_endpoint::script later)
      : second{std::move(later)}, first{[this](const auto&) {
          at.add_endpoint("e", second.address(), second_start);
          return scripted_reply{"", then::reset, ""};
        }} {
    at.add_endpoint("e", first.address(), first_start);
  }

  relay_fixture at;
  scripted_endpoint second;
  scripted_endpoint first;
};

} // namespace

// A replica crashed with a request and restarted at once. The request may have run: sent to the new
// incarnation it could run twice, and reported as not run it would be sent again by the caller.
TEST_CASE("a request that may have run in an earlier incarnation is neither repeated nor reported "
          "as not run") {
  for (const auto& later : {whole, full}) {
    crashing_endpoint it{later};
    const int status = status_of(call(it.at, "/unsafe/", "id-1", "POST", "order"));
    CHECK(status == 502);
    CHECK(it.first.seen().size() == 1);
    CHECK(it.second.seen().empty());
  }
}

TEST_CASE("a stream that may run once is not repeated after a restart of its endpoint") {
  crashing_endpoint it{whole};
  CHECK(status_of(call(it.at, "/once/", "id-1", "POST", "p")) == 502);
  CHECK(it.second.seen().empty());
}

// The only endpoint crashed with a request that may be repeated. Its next incarnation was excluded
// as the endpoint that had failed, and the caller got an error although the endpoint was there.
TEST_CASE("a request that may run again is sent to the next incarnation of its endpoint") {
  crashing_endpoint it{whole};
  CHECK(status_of(call(it.at, "/safe/", "id-1")) == 200);
  CHECK(it.second.seen().size() == 1);
}

// The new incarnation is full and replies that it did not run the request. The earlier one may
// have.
TEST_CASE(
    "a new incarnation's reply that it did not run a request does not cover the earlier one") {
  crashing_endpoint it{full};
  CHECK(status_of(call(it.at, "/safe/", "id-1")) == 502);
  CHECK(it.second.seen().size() == 1);
}

TEST_CASE("a stream is resumed at the next incarnation of its endpoint after the last event") {
  scripted_endpoint second{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(3) + "0\r\n\r\n",
                          then::keep, ""};
  }};
  relay_fixture at;
  scripted_endpoint first{[&](const auto& request) {
    at.add_endpoint("e", second.address(), second_start);
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1) + event_chunk(2),
                          then::reset, ""};
  }};
  at.add_endpoint("e", first.address(), first_start);
  const std::string answer = call(at, "/stream/", "id-1", "POST", "p");
  CHECK(answer.ends_with("\r\n0\r\n\r\n"));
  CHECK(answer.find("id: 3") != std::string::npos);
  REQUIRE(second.seen().size() == 1);
  CHECK(second.seen()[0].head.fields.number("Last-Event-Id") == 2);
}

// A machine lost power behind a network partition, so an idle connection to it still looks open. A
// request written to it would get no answer and could not be sent again.
TEST_CASE("connections to an earlier incarnation are not used") {
  scripted_endpoint first{whole};
  scripted_endpoint second{whole};
  relay_fixture at;
  at.add_endpoint("e", first.address(), first_start);
  CHECK(status_of(call(at, "/unsafe/", "id-1", "POST", "b")) == 200);
  at.add_endpoint("e", second.address(), second_start);
  CHECK(status_of(call(at, "/unsafe/", "id-2", "POST", "b")) == 200);
  CHECK(first.seen().size() == 1);
  CHECK(second.seen().size() == 1);
}

TEST_CASE("a connection returned late from an earlier incarnation is closed") {
  steady_clock time;
  scripted_endpoint endpoint{whole};
  connection_pool pool{time};
  const endpoint_id id{"e"};
  const auto open = [&] { return connect_to(endpoint.address(), time_ms{500}, time).link; };
  pool.give_back(id, 1, open());
  pool.give_back(id, 2, open());
  pool.give_back(id, 1, open());
  CHECK(pool.take(id, 1, time_ms{1000}) == nullptr);
  CHECK(pool.take(id, 2, time_ms{1000}) != nullptr);
  CHECK(pool.take(id, 2, time_ms{1000}) == nullptr);
  pool.give_back(id, 2, open());
  CHECK(pool.take(id, 3, time_ms{1000}) == nullptr);
  CHECK(pool.take(id, 2, time_ms{1000}) == nullptr);
}

// Endpoints were replaced repeatedly. A host kept up to sixteen connections to each removed one,
// until it had no descriptors left for its callers.
TEST_CASE("connections to removed endpoints are closed") {
  manual_clock time;
  const steady_clock real;
  scripted_endpoint endpoint{whole};
  connection_pool pool{time};
  const auto open = [&] { return connect_to(endpoint.address(), time_ms{500}, real).link; };
  for (int i = 0; i < 5; ++i) {
    pool.give_back(endpoint_id{"e" + std::to_string(i)}, 1, open());
    time.advance(time_ms{3000});
  }
  CHECK(pool.size() == 4);
  time.advance(time_ms{20000});
  pool.give_back(endpoint_id{"new"}, 1, open());
  CHECK(pool.size() == 1);
}

// The store is unreachable when a replica restarts, so the list shows no change. The refused
// connection makes the host query the replica, whose reply shows the restart.
TEST_CASE("a replica that refused a connection is queried for its start time when it is back") {
  relay_fixture at;
  structured_log log{{.host = "ask-test", .file = "/dev/null"}};
  const header_dialect dialect;
  const steady_clock time;
  std::vector<endpoint_restart> restarts;
  std::mutex mutex;
  at.endpoints().on_restart([&](const endpoint_restart& found) {
    const std::scoped_lock lock{mutex};
    restarts.push_back(found);
  });
  std::string address;
  {
    const scripted_endpoint first{whole};
    address = first.address();
    at.add_endpoint("e", address, first_start);
    CHECK(status_of(call(at, "/safe/", "id-1")) == 200);
  }
  CHECK(status_of(call(at, "/safe/", "id-2")) == 503);
  endpoint_prober prober{at.endpoints(), dialect, time_ms{300}, time, log};
  prober.start();
  const scripted_endpoint second{[](const auto& request) {
                                   return request.head.target == "/report"
                                              ? status_reply(status_json(second_start))
                                              : whole(request);
                                 },
                                 address};
  for (int i = 0; i < 300; ++i) {
    sleep_ms(10);
    const std::scoped_lock lock{mutex};
    if (!restarts.empty())
      break;
  }
  prober.stop();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].found_by == restart_source::endpoint);
  CHECK(restarts[0].started == second_start);
  REQUIRE_FALSE(second.seen().empty());
  CHECK(*second.seen()[0].head.fields.find("Expected-Instance") == "e");
  CHECK(status_of(call(at, "/safe/", "id-3")) == 200);
}

TEST_CASE("only a complete reply with a valid start time is used") {
  const steady_clock time;
  const header_dialect dialect;
  const auto ask = [&](const scripted_reply& reply) {
    const scripted_endpoint endpoint{[&](const auto&) { return reply; }};
    const auto link = connect_to(endpoint.address(), time_ms{500}, time).link;
    return query_start_time(*link, endpoint_id{"e"}, dialect, time.now() + time_ms{200});
  };
  CHECK(ask(status_reply(status_json(first_start))) == first_start);
  CHECK_FALSE(ask(status_reply("{}")));
  CHECK_FALSE(ask(status_reply(R"({"born":"1790000000000"})")));
  CHECK_FALSE(ask(status_reply(R"({"born":1790000000000.5})")));
  CHECK_FALSE(ask(status_reply("not JSON")));
  CHECK_FALSE(ask({"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", then::close, ""}));
  CHECK_FALSE(ask({"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{", then::close, ""}));
  CHECK_FALSE(ask({"garbage\r\n\r\n", then::close, ""}));
  CHECK_FALSE(ask({"", then::hang, ""}));
}
