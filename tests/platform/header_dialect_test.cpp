#include "platform/platform.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

const header_dialect dialect;

header_fields fields_of(std::initializer_list<header_field> given) {
  header_fields fields;
  for (const header_field& one : given)
    fields.add(one.name, one.value);
  return fields;
}

} // namespace

TEST_CASE("a request's fields become its terms") {
  const request_terms terms =
      dialect.read_request(fields_of({{"Attempt-Id", "9c41"},
                                      {"Authorization", "Token secret"},
                                      {"Deadline-Ms", "15000"},
                                      {"Last-Event-Id", "12"},
                                      {"Model", "m"},
                                      {"Token-Usage", "1460,80"},
                                      {"Prefix-Hash", "5c1e:800,91bd:410,e440:250"}}));
  CHECK(terms.id == "9c41");
  CHECK(terms.bearer == "secret");
  CHECK(terms.patience == time_ms{15000});
  CHECK(terms.last_event == 12);
  REQUIRE(terms.generation.has_value());
  CHECK(terms.generation->bound() == 1540);
  REQUIRE(terms.generation->parts.size() == 3);
  CHECK(terms.generation->parts[1].id == "91bd");
  CHECK(terms.generation->parts[1].tokens == 410);
}

TEST_CASE("a request without token usage has no generation terms") {
  const request_terms terms = dialect.read_request(fields_of({{"Attempt-Id", "1"}}));
  CHECK_FALSE(terms.generation);
  CHECK_FALSE(terms.patience);
  CHECK(terms.bearer.empty());
}

TEST_CASE("token usage that is not a pair of numbers is refused") {
  for (const char* text : {"", "12", "12,", ",12", "a,b", "1,2,3", "-1,2"})
    CHECK_THROWS_AS((void)dialect.read_request(fields_of({{"Token-Usage", text}})), error);
}

// Fields that control how endpoints keep, move or trust work must not be forwarded from callers.
TEST_CASE("an endpoint gets the host's fields, not the caller's") {
  header_fields fields = fields_of({{"Authorization", "Token secret"},
                                    {"Tenant", "someone-else"},
                                    {"Kv-From", "10.0.0.1:1/2"},
                                    {"Kv-Backup", "10.0.0.1:1"},
                                    {"Pin-Ms", "4000"},
                                    {"Retention", "abc"},
                                    {"Request-Priority", "0"},
                                    {"Expected-Instance", "x"},
                                    {"X-Own", "kept"}});
  endpoint_send send;
  send.endpoint = "i-1";
  send.team = "team-a";
  send.time_left = time_ms{700};
  send.urgency = 4;
  dialect.to_endpoint(fields, send);
  for (const char* gone :
       {"Authorization", "Kv-From", "Kv-Backup", "Pin-Ms", "Retention", "Kv-Fetch"})
    CHECK_FALSE(fields.has(gone));
  CHECK(*fields.find("Tenant") == "team-a");
  CHECK(*fields.find("Expected-Instance") == "i-1");
  CHECK(*fields.find("Deadline-Ms") == "700");
  CHECK(*fields.find("Request-Priority") == "4");
  CHECK(*fields.find("X-Own") == "kept");
}

TEST_CASE("a caller's team name is dropped where no team is known") {
  header_fields fields = fields_of({{"Tenant", "someone"}});
  dialect.to_endpoint(fields, {.endpoint = "i-1",
                               .team = {},
                               .time_left = time_ms{1},
                               .resume_behind = {},
                               .fetch_from = {},
                               .urgency = {}});
  CHECK_FALSE(fields.has("Tenant"));
}

TEST_CASE("a reply says whether the request ran") {
  response_head head;
  head.status = 503;
  head.fields = fields_of({{"Not-Executed", "1"}, {"Instance-Load", "3,1,8"}});
  CHECK(dialect.read_reply(head).not_run);
  REQUIRE(dialect.read_reply(head).load.has_value());
  CHECK(dialect.read_reply(head).load->waiting == 1);
  head.status = 421;
  head.fields = {};
  CHECK(dialect.read_reply(head).not_run);
  CHECK(dialect.read_reply(head).misdirected);
  head.status = 200;
  CHECK_FALSE(dialect.read_reply(head).whole);
  head.fields =
      fields_of({{"Response-Signature", "s"}, {"Attempt-Id", "7"}, {"Instance-Load", "x"}});
  CHECK(dialect.read_reply(head).whole);
  CHECK(dialect.read_reply(head).echoed_id == "7");
  CHECK_FALSE(dialect.read_reply(head).load);
}

TEST_CASE("a refusal says when to retry, in seconds") {
  header_fields fields;
  dialect.to_refusal(fields, "9", time_ms{750});
  CHECK(*fields.find("Retry-After") == "0.750");
  CHECK(*fields.find("Attempt-Id") == "9");
  header_fields bare;
  dialect.to_refusal(bare, "", std::nullopt);
  CHECK(bare.all().empty());
}

TEST_CASE("an endpoint's start is read from its report about itself") {
  const header_dialect dialect;
  const request_head question = dialect.status_request("i-1");
  CHECK(question.method == "GET");
  CHECK(question.target == "/report");
  CHECK(*question.fields.find("Expected-Instance") == "i-1");
  CHECK(dialect.parse_start_time(R"({"Phase":"unified","born":1790000000123})") ==
        time_ms{1'790'000'000'123});
  CHECK_FALSE(dialect.parse_start_time(R"({"Models":[{"born":1790000000123}]})"));
  CHECK_FALSE(dialect.parse_start_time("[1]"));
  CHECK_FALSE(dialect.parse_start_time(""));
}

TEST_CASE("a reply names the limit of its endpoint") {
  const auto read = [](const std::string& text) {
    response_head head;
    head.status = 200;
    head.fields.add("Server-Limit", text);
    return dialect.read_reply(head);
  };
  CHECK(read("1.7").limit == 1.7);
  CHECK(read("12").limit == 12);
  CHECK_FALSE(read("1.7").malformed_limit.has_value());
  CHECK_FALSE(dialect.read_reply({}).malformed_limit.has_value());
  CHECK_FALSE(dialect.read_reply({}).limit.has_value());
  for (const char* bad : {"", "-1", "0", "0.0", "1e9", "99999999", "many", "1.7 ", "nan", "inf"}) {
    CAPTURE(bad);
    CHECK_FALSE(read(bad).limit.has_value());
    CHECK(read(bad).malformed_limit == bad);
  }
}

TEST_CASE("a reply says how many refusals a second its endpoint bears") {
  const auto read = [](const std::string& text) {
    response_head head;
    head.status = 503;
    head.fields.add("Server-Brittle", text);
    return dialect.read_reply(head);
  };
  CHECK(read("2").refusals_borne == 2);
  CHECK(read("0").refusals_borne == 0);
  CHECK_FALSE(read("2").malformed_refusals_borne.has_value());
  CHECK_FALSE(dialect.read_reply({}).refusals_borne.has_value());
  CHECK_FALSE(dialect.read_reply({}).malformed_refusals_borne.has_value());
  for (const char* bad : {"", "-1", "-0", "1e9", "99999999", "many", "2 ", "nan", "inf"}) {
    CAPTURE(bad);
    CHECK_FALSE(read(bad).refusals_borne.has_value());
    CHECK(read(bad).malformed_refusals_borne == bad);
  }
}

// Callers of the platform do not take 422 for the promise that their request has not run.
TEST_CASE("a quarantined request is refused with a status that says that it has not run") {
  CHECK(dialect.refusal_status(error_kind::quarantined) == 503);
  CHECK(dialect.refusal_status(error_kind::budget_exhausted) == 402);
}

// Guards against reports that are dropped whole because an endpoint sends more than three figures:
// hosts then place requests by what they have sent themselves.
TEST_CASE("a load report with further figures still counts") {
  const auto read = [](const std::string& text) {
    response_head head;
    head.status = 200;
    head.fields.add("Instance-Load", text);
    return dialect.read_reply(head);
  };
  for (const char* text : {"3,1,8", "3,1,8,250", "3,1,8,250,7", "3,1,8,,", "3,1,8,0", "3,1,8,-5",
                           "3,1,8,99999999999999999999", "3,1,8,busy", "3,1,8,nan", "3,1,8,1e3"}) {
    CAPTURE(text);
    const reply_terms terms = read(text);
    REQUIRE(terms.load.has_value());
    CHECK(terms.load->running == 3);
    CHECK(terms.load->waiting == 1);
    CHECK(terms.load->slots == 8);
  }
  CHECK(read("3,1,8,250").load->work_time_percent == 250);
  CHECK(read("3,1,8,87.5,7").load->work_time_percent == 87.5);
  CHECK_FALSE(read("3,1,8,250,7").malformed_load.has_value());
  CHECK_FALSE(read("3,1,8").malformed_load.has_value());
  CHECK_FALSE(read("3,1,8").load->work_time_percent.has_value());
  for (const char* text : {"3,1,8,,", "3,1,8,0", "3,1,8,-5", "3,1,8,99999999999999999999",
                           "3,1,8,busy", "3,1,8,nan", "3,1,8,1e3"}) {
    CAPTURE(text);
    CHECK_FALSE(read(text).load->work_time_percent.has_value());
    CHECK(read(text).malformed_load == text);
  }
  for (const char* text : {"", "3", "3,1", "3,1,", "3,,8", "-3,1,8", "x,1,8,100"}) {
    CAPTURE(text);
    CHECK_FALSE(read(text).load.has_value());
    CHECK(read(text).malformed_load == text);
  }
}
