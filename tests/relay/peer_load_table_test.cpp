#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

use_report report_of(std::uint64_t sender, std::uint32_t number, std::vector<use_entry> entries,
                     bool whole = false) {
  return {sender, number, whole, std::move(entries), {}};
}

} // namespace

TEST_CASE("a report is decoded as it was encoded") {
  use_report sent = report_of(5, 9, {{1, {2, 3}}, {4, {5, 6}}}, true);
  sent.prefix_locations = {{77, 1}, {78, 4}};
  const auto read = decode_use_report(encode_use_report(sent));
  REQUIRE(read.has_value());
  CHECK(read->sender == 5);
  CHECK(read->number == 9);
  CHECK(read->whole);
  REQUIRE(read->entries.size() == 2);
  CHECK(read->entries[1].use == endpoint_use{5, 6});
  REQUIRE(read->prefix_locations.size() == 2);
  CHECK(read->prefix_locations[1].endpoint == 4);
}

TEST_CASE("truncated datagrams and other formats are rejected") {
  const std::string whole = encode_use_report(report_of(5, 9, {{1, {2, 3}}}));
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK_FALSE(decode_use_report(whole.substr(0, length)));
  std::string other = whole;
  other.front() = 9;
  CHECK_FALSE(decode_use_report(other));
}

// A corrupt report claims billions of requests at an endpoint. All hosts would avoid the endpoint
// for seconds.
TEST_CASE("a report with impossible values is rejected") {
  CHECK(decode_use_report(encode_use_report(report_of(5, 9, {{1, {1U << 20U, 1U << 30U}}}))));
  CHECK_FALSE(decode_use_report(encode_use_report(report_of(5, 9, {{1, {~0U, 3}}}))));
  CHECK_FALSE(decode_use_report(encode_use_report(report_of(5, 9, {{1, {2, ~0U}}}))));
  std::string odd = encode_use_report(report_of(5, 9, {}));
  odd[13] = 2; // invalid flag for a full report
  CHECK_FALSE(decode_use_report(odd));
}

TEST_CASE("uses of all hosts add up, and later values replace earlier ones") {
  peer_load_table table{time_ms{3000}};
  table.take(report_of(1, 1, {{10, {4, 400}}}), time_ms{0});
  table.take(report_of(2, 1, {{10, {1, 100}}}), time_ms{0});
  CHECK(table.at(10) == endpoint_use{5, 500});
  table.take(report_of(1, 2, {{10, {2, 0}}}), time_ms{10});
  CHECK(table.at(10) == endpoint_use{3, 100});
}

// Datagrams may be reordered: an older one must not overwrite a newer one.
TEST_CASE("a report that comes late is dropped") {
  peer_load_table table{time_ms{3000}};
  table.take(report_of(1, 5, {{10, {4, 400}}}), time_ms{0});
  table.take(report_of(1, 4, {{10, {9, 900}}}), time_ms{1});
  CHECK(table.at(10) == endpoint_use{4, 400});
}

// The datagram with the end of an endpoint's use was lost. The next full report has no entry for
// the endpoint, which clears its use.
TEST_CASE("a full report clears endpoints without an entry") {
  peer_load_table table{time_ms{3000}};
  table.take(report_of(1, 1, {{10, {4, 400}}, {11, {1, 1}}}), time_ms{0});
  table.take(report_of(1, 2, {{11, {2, 2}}}, true), time_ms{1});
  CHECK(table.at(10) == endpoint_use{});
  CHECK(table.at(11) == endpoint_use{2, 2});
}

TEST_CASE("a silent host no longer counts") {
  peer_load_table table{time_ms{3000}};
  table.take(report_of(1, 1, {{10, {4, 400}}}), time_ms{0});
  table.remove_silent(time_ms{2999});
  CHECK(table.at(10) == endpoint_use{4, 400});
  table.remove_silent(time_ms{3001});
  CHECK(table.at(10) == endpoint_use{});
  CHECK(table.hosts() == 0);
}
