#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace sedgechute;

namespace {

std::vector<std::uint64_t> host_hashes(std::size_t hosts, std::uint64_t salt) {
  std::vector<std::uint64_t> hashes(hosts);
  for (std::size_t i = 0; i < hosts; ++i)
    hashes[i] = stable_hash(std::to_string(salt) + "/" + std::to_string(i));
  return hashes;
}

/// \returns the requests that a host may send in any second if it knows `list`
std::size_t quota_of(std::uint64_t self, std::vector<std::uint64_t> list, std::size_t limit,
                     endpoint_hash endpoint) {
  std::erase(list, self);
  const cold_start_split split = split_cold_start_limit(limit, list.size() + 1);
  return sends_to_cold(endpoint, self, list, split.senders) ? split.requests : 0;
}

/// A host with one cold endpoint and `warm` other ones.
struct cold_fixture {
  explicit cold_fixture(std::size_t others, int warm = 1, time_ms cold = time_ms{3000}) {
    directory.set_cold_start({{"engines", {time_ms{3000}, 10}}});
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < others; ++i)
      hosts.push_back("host-" + std::to_string(i));
    directory.set_hosts("self", hosts);
    time.advance(time_ms{10000});
    put("cold", cold);
    for (int i = 0; i < warm; ++i)
      put("warm-" + std::to_string(i), time_ms{});
  }

  void put(const std::string& id, time_ms cold_left,
           std::optional<time_ms> started = std::nullopt) {
    directory.put({endpoint_id{id}, "engines", "127.0.0.1:1", data_centre_id{"dc"}, 64, false,
                   started, cold_left});
  }

  /// \returns how many of `requests` that are placed and sent at once go to the cold endpoint
  std::size_t sent_to_cold(int requests) {
    std::size_t cold = 0;
    for (int i = 0; i < requests; ++i) {
      auto place = directory.place({"engines", nullptr, {}});
      if (!place)
        continue;
      directory.note_sent(*place);
      directory.release(*place, send_outcome::answered, false);
      cold += place->endpoint.str() == "cold" ? 1 : 0;
    }
    return cold;
  }

  manual_clock time;
  endpoint_directory directory{
      data_centre_id{"dc"},     choice_weights{}, time, random_source{7}, {},
      cold_start_bounds{1.5, 5}};
};

} // namespace

TEST_CASE("the limit of a cold endpoint is its rate times the overage and the tolerance") {
  CHECK(cold_start_limit({time_ms{3000}, 10}, {1.5, 5}) == 20);
  CHECK(cold_start_limit({time_ms{3000}, 0.5}, {1, 0}) == 0);
  CHECK(cold_start_limit({time_ms{3000}, 1e300}, {1e6, 0}) == 1'000'000'000);
}

TEST_CASE("a limit is split between as many hosts as it has requests for") {
  CHECK(split_cold_start_limit(20, 73) == cold_start_split{10, 1});
  CHECK(split_cold_start_limit(20, 4) == cold_start_split{4, 2});
  CHECK(split_cold_start_limit(500, 9) == cold_start_split{9, 27});
  CHECK(split_cold_start_limit(1, 9) == cold_start_split{});
}

// Guards against hosts that overload a cold endpoint together because their host lists differ: some
// are cut off from the store and know the hosts of before, the others know the new ones too.
TEST_CASE("hosts with an earlier and a later host list keep to the limit together") {
  const bool held = rc::check([] {
    const auto hosts = *rc::gen::inRange<std::size_t>(4, 400);
    const auto added = *rc::gen::inRange<std::size_t>(0, hosts + 1);
    const auto limit = *rc::gen::inRange<std::size_t>(5, 501);
    const auto salt = *rc::gen::arbitrary<std::uint64_t>();
    const std::vector<std::uint64_t> later = host_hashes(hosts + added, salt);
    const std::vector<std::uint64_t> earlier{later.begin(),
                                             later.begin() + static_cast<std::ptrdiff_t>(hosts)};
    std::size_t sum = 0;
    for (std::size_t i = 0; i < later.size(); ++i) {
      const bool cut_off = i < hosts && mix_hash(salt, i) % 2 == 0;
      sum += quota_of(later[i], cut_off ? earlier : later, limit, stable_hash("endpoint"));
    }
    RC_ASSERT(sum <= limit);
  });
  CHECK(held);
}

TEST_CASE("with one host list half of the limit is used, unless it is too small to be shared") {
  for (const std::size_t hosts : {4U, 9U, 73U, 300U, 1000U}) {
    const std::vector<std::uint64_t> all = host_hashes(hosts, 1);
    std::size_t sum = 0;
    for (const std::uint64_t host : all)
      sum += quota_of(host, all, 20, stable_hash("endpoint"));
    CHECK(sum <= 10);
    CHECK(sum >= std::min<std::size_t>(hosts, 8));
  }
}

// Guards against a crash of an endpoint that has just started: it is idle, hence the cheapest, and
// a burst would go there.
TEST_CASE("a burst does not go to an idle cold endpoint beyond this host's part of the limit") {
  cold_fixture at{4};
  CHECK(at.sent_to_cold(200) == 2);
  CHECK(at.sent_to_cold(200) == 0);
  at.time.advance(time_ms{1100});
  CHECK(at.sent_to_cold(200) == 2);
  at.time.advance(time_ms{2000});
  CHECK(at.sent_to_cold(200) > 2);
}

TEST_CASE("cold endpoints are not limited where their service states no rate") {
  cold_fixture at{4};
  at.directory.set_cold_start({{"engines", {time_ms{3000}, 0}}});
  CHECK(at.sent_to_cold(200) > 2);
}

TEST_CASE("a request that could not be sent does not use up the allowance of a cold endpoint") {
  cold_fixture at{4, 0};
  for (int i = 0; i < 5; ++i) {
    const auto place = at.directory.place({"engines", nullptr, {}});
    REQUIRE(place.has_value());
    at.directory.release(*place, send_outcome::caller_left, false);
  }
  CHECK(at.sent_to_cold(10) == 2);
}

TEST_CASE("a request that is being connected counts towards the allowance of a cold endpoint") {
  cold_fixture at{4, 0};
  CHECK(at.directory.place({"engines", nullptr, {}}).has_value());
  CHECK(at.directory.place({"engines", nullptr, {}}).has_value());
  at.time.advance(time_ms{1500});
  CHECK_FALSE(at.directory.place({"engines", nullptr, {}}).has_value());
}

// Guards against hosts that start together: each knows only itself at first, and would take the
// whole limit.
TEST_CASE("a host sends nothing to cold endpoints until the host list has settled") {
  cold_fixture at{0, 0, time_ms{60000}};
  endpoint_directory fresh{
      data_centre_id{"dc"},     choice_weights{}, at.time, random_source{7}, {},
      cold_start_bounds{1.5, 5}};
  fresh.set_cold_start({{"engines", {time_ms{3000}, 10}}});
  fresh.put({endpoint_id{"cold"}, "engines", "127.0.0.1:1", data_centre_id{"dc"}, 64, false,
             std::nullopt, time_ms{60000}});
  CHECK_FALSE(fresh.place({"engines", nullptr, {}}).has_value());
  fresh.set_hosts("self", {});
  at.time.advance(time_ms{5900});
  CHECK_FALSE(fresh.place({"engines", nullptr, {}}).has_value());
  at.time.advance(time_ms{200});
  CHECK(fresh.place({"engines", nullptr, {}}).has_value());
}

TEST_CASE("requests that were sent before an endpoint turned cold count towards its limit") {
  cold_fixture at{4, 0, time_ms{}};
  CHECK(at.sent_to_cold(7) == 7);
  at.put("cold", time_ms{3000});
  CHECK(at.sent_to_cold(7) == 0);
}

// Guards against a restart that the list shows before the time for which the endpoint is cold.
TEST_CASE("an endpoint that has restarted counts as cold for as long as it can be") {
  cold_fixture at{4, 0, time_ms{}};
  at.put("cold", time_ms{}, time_ms{100});
  at.time.advance(time_ms{5000});
  CHECK(at.sent_to_cold(7) == 7);
  at.put("cold", time_ms{}, time_ms{200});
  CHECK(at.sent_to_cold(7) == 2);
  at.time.advance(time_ms{3000});
  CHECK(at.sent_to_cold(7) == 7);
}
