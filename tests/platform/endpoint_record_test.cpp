#include "platform/platform.hpp"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace sedgechute;

namespace {

using field = std::pair<std::string, std::string>; ///< name and JSON text

const std::vector<field> plain{{"Service", R"("s")"},    {"Address", R"("10.0.0.9:8080")"},
                               {"Zone", R"("z")"},       {"Version", R"("v1")"},
                               {"Slots", "64"},          {"State", R"("ready")"},
                               {"ColdRemainingMs", "0"}, {"Sequence", "4"}};

std::string text_of(const std::vector<field>& fields) {
  std::string text = "{";
  for (const auto& [name, value] : fields)
    text.append(text.size() > 1 ? "," : "").append("\"" + name + "\":" + value);
  return text + "}";
}

std::string with(const std::string& name, const std::string& value) {
  std::vector<field> fields = plain;
  for (field& one : fields)
    if (one.first == name)
      one.second = value;
  if (text_of(fields) == text_of(plain))
    fields.emplace_back(name, value);
  return text_of(fields);
}

std::string without(const std::string& name) {
  std::vector<field> fields = plain;
  std::erase_if(fields, [&](const field& one) { return one.first == name; });
  return text_of(fields);
}

void check_refused(const std::string& id, const std::string& text) {
  INFO(text.substr(0, 300));
  CHECK_THROWS_AS((void)parse_endpoint_record(id, text), error);
}

void check_taken(const std::string& text) {
  INFO(text.substr(0, 300));
  CHECK_NOTHROW((void)parse_endpoint_record("i-1", text));
}

} // namespace

TEST_CASE("an endpoint's record is read completely") {
  const endpoint_entry entry = parse_endpoint_record("i-7f3a91c2", with("State", R"("draining")"));
  CHECK(entry.id.str() == "i-7f3a91c2");
  CHECK(entry.service == "s");
  CHECK(entry.address == "10.0.0.9:8080");
  CHECK(entry.data_centre.str() == "z");
  CHECK(entry.slots == 64);
  CHECK(entry.draining);
  CHECK_FALSE(parse_endpoint_record("i-1", text_of(plain)).draining);
}

TEST_CASE("an endpoint's start is read if it is present") {
  CHECK_FALSE(parse_endpoint_record("i-1", text_of(plain)).started);
  CHECK(parse_endpoint_record("i-1", with("born", "1764734000123")).started ==
        time_ms{1'764'734'000'123});
}

// A newer release of the endpoints writes a field that this release does not know. If its records
// were refused, a host would drop all endpoints at once during an update.
TEST_CASE("unknown fields of an endpoint's record are ignored, and optional ones may be missing") {
  check_taken(with("New", "5"));
  check_taken(with("New", R"({"State":"gone","list":[1,2,{"deep":[[[]]]}]})"));
  check_taken(with("New", "123456789012345678901234567890"));
  check_taken(with("Phase", R"("unified")"));
  check_taken(with("Phase", "null"));
  check_taken(with("Models", R"([{"Name":"m","Version":1,"Adapters":[]}])"));
  check_taken(with("born", "1764734000000"));
  check_taken(with("Slots", "64.0"));
  check_taken(with("ColdRemainingMs", "0.5"));
  check_taken(with("Zone", "\"Z\xc3\xbcrich\""));
}

// Another program writes under an endpoint's key and leaves out a field that every endpoint writes.
// The host would send requests to an address at which anything may listen.
TEST_CASE("a record without one of an endpoint's fields names no endpoint") {
  for (const field& one : plain)
    check_refused("i-1", without(one.first));
}

// A field has another type, for instance the slots as a string or the state as a number. If it were
// read leniently the record would become an endpoint with one slot that is never draining.
TEST_CASE("a record with a field of another type names no endpoint") {
  for (const field& one : plain)
    for (const char* value : {"null", "true", "[]", "{}", "[\"s\"]", "1.5e300"})
      if (!(one.first == "ColdRemainingMs" && value[0] == '1'))
        check_refused("i-1", with(one.first, value));
  for (const char* name : {"Service", "Address", "Zone", "Version", "State"}) {
    check_refused("i-1", with(name, "7"));
    check_refused("i-1", with(name, R"("")"));
  }
  for (const char* name : {"Slots", "ColdRemainingMs", "Sequence"})
    check_refused("i-1", with(name, R"("64")"));
  check_refused("i-1", with("Phase", "1"));
  check_refused("i-1", with("Models", R"("m")"));
}

// The start of an endpoint is an integer number of milliseconds if it is present. With any other
// value two incarnations of an endpoint could be taken for one.
TEST_CASE("a record whose start is not an integer names no endpoint") {
  for (const char* value : {"1764734000000.5", R"("1764734000000")", "null", "true", "-1", "0",
                            "1e300", "[1764734000000]"})
    check_refused("i-1", with("born", value));
}

TEST_CASE("a record with a number out of range names no endpoint") {
  for (const char* value : {"0", "-1", "1.5", "1e9", "99999999999999999999"})
    check_refused("i-1", with("Slots", value));
  for (const char* value : {"-1", "0.5", "1e300"})
    check_refused("i-1", with("Sequence", value));
  for (const char* value : {"-1", "1e300"})
    check_refused("i-1", with("ColdRemainingMs", value));
}

// A host name would need a DNS lookup for every record, which would block the list of endpoints.
TEST_CASE("a record whose address is not an IP address and port names no endpoint") {
  for (const char* value : {R"("10.0.0.9")", R"("10.0.0.9:0")", R"("10.0.0.9:70000")",
                            R"("10.0.0.9:80x")", R"(":80")", R"("endpoint.example:80")",
                            R"("10.0.0:80")", R"("10.0.0.9:80 ")", R"("http://10.0.0.9:80")"})
    check_refused("i-1", with("Address", value));
}

// An endpoint reports a state that this release does not know, so it is unknown whether it would
// serve a request.
TEST_CASE("a record with an unknown state names no endpoint") {
  for (const char* value : {R"("failing")", R"("Ready")", R"("READY")", R"("ready ")", R"("gone")"})
    check_refused("i-1", with("State", value));
}

TEST_CASE("a record that is not a JSON object names no endpoint") {
  for (const char* text : {"", " ", "garbage", "{", "[]", "null", "7", "\"s\"", "{}",
                           "{\"Service\"", "\xff\xfe", "\x00\x01"})
    check_refused("i-1", text);
  check_refused("i-1", with("Zone", "\"\xff\xfe\""));
  check_refused("i-1", std::string(100, '\0'));
  check_refused("i-1", text_of(plain) + text_of(plain));
  const std::string whole = text_of(plain);
  for (std::size_t length = 0; length < whole.size(); ++length)
    check_refused("i-1", whole.substr(0, length));
}

// Of two fields with one name some parsers take the first and some the last: hosts could disagree
// on where an endpoint is.
TEST_CASE("a record with a duplicate field names no endpoint") {
  for (const field& one : plain) {
    std::vector<field> fields = plain;
    fields.push_back(one);
    check_refused("i-1", text_of(fields));
  }
}

// A record of any size or depth must take bounded time and must not crash the process.
TEST_CASE("huge and deep records name no endpoint") {
  check_refused("i-1", with("Service", "\"" + std::string(300000, 's') + "\""));
  check_refused("i-1", with("New", std::string(100000, '[') + std::string(100000, ']')));
  std::string wide = "{";
  for (int i = 0; i < 40000; ++i)
    wide += "\"f" + std::to_string(i) + "\":1,";
  check_refused("i-1", wide + "\"f\":1}");
  check_refused("i-1", with("New", "\"" + std::string(std::size_t{2} << 20U, 'n') + "\""));
}

// The id of an endpoint is sent in a header field of each request to it. A line break in it would
// begin another header field or another request.
TEST_CASE("an invalid key names no endpoint") {
  for (const std::string& key :
       {std::string{}, std::string{"i 1"}, std::string{"i\n1"}, std::string{"i-1\r\nX: y"},
        std::string{"\0", 1}, std::string{"i-\xff"}, std::string{"i-\x7f"}, std::string(200, 'i')})
    check_refused(key, text_of(plain));
}

TEST_CASE("the time for which an endpoint stays cold is read") {
  CHECK(parse_endpoint_record("i-1", with("ColdRemainingMs", "2750.5")).cold_left == time_ms{2750});
  CHECK(parse_endpoint_record("i-1", text_of(plain)).cold_left == time_ms{});
  for (const char* value : {"-1", "1e12", "true", "\"3000\"", "null"})
    check_refused("i-1", with("ColdRemainingMs", value));
}
