#include "platform/platform.hpp"
#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

reply_terms refusal_with(const std::string& fields) {
  const auto head = parse_response_head("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: a\r\n" +
                                        fields + "\r\n");
  REQUIRE(head);
  return header_dialect{}.read_reply(*head);
}

class set_clock final : public clock {
 public:
  [[nodiscard]] time_ms now() const noexcept override { return at; }
  time_ms at{100000};
};

struct directory_fixture {
  directory_fixture() {
    for (const char* id : {"e1", "e2"})
      directory.put({endpoint_id{id}, "s", std::string{id} + ":1", data_centre_id{"dc"}, 8});
  }
  [[nodiscard]] std::optional<placement> place() { return directory.place({"s"}); }
  /// \returns a placement at one endpoint; the other one gets none
  [[nodiscard]] placement place_at(const std::string& id) {
    const std::string other = id == "e1" ? "e2" : "e1";
    placement_request request{"s"};
    request.avoid = {incarnation_of(endpoint_id{other}, std::nullopt)};
    const auto found = directory.place(request);
    REQUIRE(found);
    return *found;
  }
  void refuse(const placement& place, const std::string& seconds) {
    directory.note_pause(place, refusal_with("Retry-After: " + seconds + "\r\n"));
    directory.release(place, send_outcome::not_run, false);
  }

  set_clock time;
  endpoint_directory directory{data_centre_id{"dc"}, choice_weights{}, time};
};

} // namespace

TEST_CASE("a refusal names a pause in decimal seconds, once") {
  CHECK(refusal_with("Retry-After: 3\r\n").pause == 3_s);
  CHECK(refusal_with("Retry-After: 0.4\r\n").pause == 400_ms);
  CHECK(refusal_with("Retry-After: 0.0001\r\n").pause == 0_ms);
  CHECK(refusal_with("Retry-After: " + std::string(400, '9') + "\r\n").pause.value_or(0_ms) !=
        1_ms);
  for (const char* bad : {"-1", "nan", "inf", "", "1e9", "3 s", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CAPTURE(bad);
    const reply_terms terms = refusal_with(std::string{"Retry-After: "} + bad + "\r\n");
    CHECK_FALSE(terms.pause.has_value());
    CHECK(terms.malformed_pause.has_value());
  }
  CHECK_FALSE(refusal_with("Retry-After: 3\r\nRetry-After: 4\r\n").pause.has_value());
  CHECK_FALSE(refusal_with("").malformed_pause.has_value());
}

TEST_CASE("only a refusal by the endpoint itself asks for a pause") {
  reply_terms terms;
  terms.not_run = true;
  terms.echoed_id = "a";
  CHECK(may_ask_for_pause(terms, 503, "a"));
  CHECK_FALSE(may_ask_for_pause(terms, 429, "a"));
  CHECK_FALSE(may_ask_for_pause(terms, 200, "a"));
  CHECK_FALSE(may_ask_for_pause(terms, 503, "b"));
  terms.not_run = false;
  CHECK_FALSE(may_ask_for_pause(terms, 503, "a"));
}

TEST_CASE("the latest end of a pause holds, whatever comes during it, for a bounded time") {
  endpoint_pause pause;
  CHECK(pause.allows(10_s));
  CHECK(pause.ask(3_s, 10_s));
  CHECK_FALSE(pause.ask(1_s, 10500_ms));
  CHECK_FALSE(pause.allows(12900_ms));
  pause.note_taken(9_s); // an answer to an earlier request
  CHECK_FALSE(pause.allows(12900_ms));
  CHECK_FALSE(pause.ask(4_s, 11_s));
  CHECK_FALSE(pause.allows(14900_ms));
  CHECK(pause.allows(15_s));
  CHECK(pause.ask(1000000_s, 20_s));
  CHECK(pause.allows(20_s + endpoint_pause::max_pause));
}

// Guards against all waiting requests arriving at the moment when a pause ends.
TEST_CASE("after a pause few requests are in flight until the endpoint has taken one") {
  endpoint_pause pause;
  CHECK(pause.ask(1_s, 10_s));
  for (std::size_t i = 0; i < endpoint_pause::max_trials; ++i) {
    CHECK(pause.allows(11_s));
    pause.begin_trial();
  }
  CHECK_FALSE(pause.allows(11_s));
  pause.end_trial();
  CHECK(pause.allows(11_s));
  pause.note_taken(11_s);
  pause.begin_trial();
  CHECK(pause.allows(11_s));
}

// Guards against requests that were placed before an endpoint asked for a pause and sent after it.
TEST_CASE("a request that was placed before a pause is not sent during it") {
  directory_fixture at;
  std::vector<placement> placed;
  for (int i = 0; i < 20; ++i)
    placed.push_back(at.place_at("e1"));
  CHECK(at.directory.note_sent(placed.front()));
  at.refuse(placed.front(), "3");
  at.time.at += 400_ms;
  for (std::size_t i = 1; i < placed.size(); ++i)
    CHECK_FALSE(at.directory.note_sent(placed[i]));
  for (std::size_t i = 1; i < placed.size(); ++i)
    at.directory.release(placed[i], send_outcome::withheld, false);
  for (int i = 0; i < 20; ++i)
    CHECK(at.place()->endpoint.str() == "e2");
}

TEST_CASE("the end of the first pause is known while all endpoints of a service pause") {
  directory_fixture at;
  at.refuse(at.place_at("e1"), "3");
  CHECK_FALSE(at.directory.first_pause_end("s").has_value());
  at.refuse(at.place_at("e2"), "2");
  CHECK(at.directory.first_pause_end("s") == at.time.at + 2_s);
  CHECK_FALSE(at.place().has_value());
  CHECK(at.directory.pausing() == 2);
  at.time.at += 2_s;
  CHECK_FALSE(at.directory.first_pause_end("s").has_value());
  CHECK(at.place()->endpoint.str() == "e2");
}

TEST_CASE("an endpoint that starts again, or whose address another one takes, pauses no more") {
  directory_fixture at;
  at.directory.put({endpoint_id{"e1"}, "s", "e1:1", data_centre_id{"dc"}, 8, false, 5_s});
  at.refuse(at.place_at("e1"), "3");
  at.directory.put({endpoint_id{"e1"}, "s", "e1:1", data_centre_id{"dc"}, 8, false, 5_s});
  CHECK(at.directory.pausing() == 1);
  at.directory.put({endpoint_id{"e1"}, "s", "e1:1", data_centre_id{"dc"}, 8, false, 6_s});
  CHECK(at.directory.pausing() == 0);
}

TEST_CASE("no schedule of refusals, answers and sends breaks a pause") {
  const bool kept = rc::check([] {
    directory_fixture at;
    std::vector<placement> open;
    time_ms until{};
    const int steps = *rc::gen::inRange(10, 200);
    for (int i = 0; i < steps; ++i) {
      at.time.at += time_ms{*rc::gen::inRange(0, 300)};
      const int what = *rc::gen::inRange(0, 4);
      if (what == 0) {
        if (auto place = at.directory.place({"s"}))
          open.push_back(*place);
        continue;
      }
      if (open.empty())
        continue;
      const auto index =
          static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(open.size())));
      placement& one = open[index];
      const bool first = one.endpoint.str() == "e1";
      if (!one.sent) {
        const bool sent = at.directory.note_sent(one);
        RC_ASSERT(!sent || !first || at.time.at >= until);
        if (sent)
          continue;
        at.directory.release(one, send_outcome::withheld, false);
      } else if (what == 1) {
        const int seconds = *rc::gen::inRange(1, 6);
        if (first)
          until = std::max(until, at.time.at + time_ms{seconds * 1000});
        at.refuse(one, std::to_string(seconds));
      } else {
        at.directory.note_prompt_read(one);
        at.directory.release(one, send_outcome::answered, true);
      }
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    }
  });
  CHECK(kept);
}
