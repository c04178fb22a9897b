// Random schedules of streams that are taken up at hosts of a fleet with several builds.

#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t holders_of_record = 4;
constexpr time_ms lifetime{60000};
const std::string service = "s";

std::vector<record_host> hosts_named(int from, int to, int centres) {
  std::vector<record_host> hosts;
  for (int i = from; i < to; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back({name, "dc" + std::to_string(i % centres), stable_hash(name)});
  }
  return hosts;
}

/// A stream and the build that began it.
struct begun_stream {
  stream_key key{};
  build_hash build{};
  std::string host;
};

/// A fleet whose hosts exchange records by datagrams that may be lost.
struct record_fleet {
  struct host {
    std::vector<record_host> list;
    std::vector<record_host> earlier;
    stream_build_table table;
  };

  record_fleet(int hosts, int centres, double lost, std::uint64_t seed)
      : all{hosts_named(0, hosts, centres)}, centre_count{centres}, loss{lost}, random{seed} {
    for (const record_host& one : all)
      alive[one.name].list = all;
  }

  [[nodiscard]] bool arrives() { return random.unit() >= loss; }

  [[nodiscard]] std::string any_host() {
    auto at = alive.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random.below(alive.size())));
    return at->first;
  }

  void begin(const begun_stream& stream) {
    const stream_record record{stream.key, {stream_build::state::known, stream.build}, lifetime};
    host& at = alive.at(stream.host);
    at.table.note(record, now);
    for (int sends = 0; sends < 2; ++sends)
      for (const std::string& holder : record_holders(stream.key, at.list, holders_of_record)) {
        ++messages;
        if (const auto to = alive.find(holder); to != alive.end() && arrives())
          to->second.table.note(record, now);
      }
  }

  [[nodiscard]] stream_build find(const std::string& name, stream_key stream) {
    host& at = alive.at(name);
    if (const stream_build here = at.table.find(stream, now);
        here.knowledge != stream_build::state::unknown)
      return here;
    build_lookup lookup{possible_holders(stream, at.list, at.earlier, holders_of_record), {}, now};
    while (!lookup.result(now)) {
      for (const std::size_t i : lookup.due(now)) {
        const auto to = alive.find(lookup.holders()[i]);
        if (to != alive.end() && arrives() && arrives())
          lookup.take(i, to->second.table.find(stream, now));
      }
      now += time_ms{5};
    }
    return *lookup.result(now);
  }

  /// \brief Kills a host; it is back at once and has forgotten all.
  void kill(const std::string& name) { alive.at(name).table = stream_build_table{}; }

  /// \brief Adds hosts, which some hosts of the list do not know yet.
  void add_hosts(int count) {
    const int known = static_cast<int>(all.size());
    for (const record_host& one : hosts_named(known, known + count, centre_count)) {
      all.push_back(one);
      alive[one.name];
    }
    for (auto& [name, one] : alive)
      if (one.list.empty() || random.below(2) == 0) {
        one.earlier = std::exchange(one.list, all);
      }
  }

  std::vector<record_host> all;
  std::map<std::string, host> alive;
  int centre_count;
  double loss;
  random_source random;
  time_ms now;
  std::size_t messages{0};
};

} // namespace

// Of streams whose host was killed, at least half as many go on as new ones begin, which in this
// model all do; none goes on at another build. Hosts are killed, added and lose datagrams.
TEST_CASE("no schedule lets a stream go on at another build, and most go on") {
  CHECK(rc::check([] {
    const int hosts = *rc::gen::element(2, 3, 9, 30, 100, 300);
    const int builds = *rc::gen::inRange(1, 4);
    record_fleet fleet{hosts, *rc::gen::inRange(1, 5), *rc::gen::element(0.0, 0.02, 0.2),
                       *rc::gen::arbitrary<std::uint64_t>()};
    constexpr int streams = 60;
    std::vector<begun_stream> begun;
    for (int i = 0; i < streams; ++i) {
      begun.push_back({stream_key_of("team", "a" + std::to_string(i)),
                       build_of(service, "v" + std::to_string(fleet.random.below(
                                                   static_cast<std::uint64_t>(builds)))),
                       fleet.any_host()});
      fleet.begin(begun.back());
      fleet.now += time_ms{20};
    }
    RC_ASSERT(fleet.messages <= 2 * holders_of_record * streams);
    if (*rc::gen::arbitrary<bool>())
      fleet.add_hosts(*rc::gen::inRange(1, 4));
    std::set<std::string> killed;
    const std::size_t to_kill = std::max<std::size_t>(1, static_cast<std::size_t>(hosts) / 3);
    while (killed.size() < to_kill)
      killed.insert(fleet.any_host());
    for (const std::string& one : killed)
      fleet.kill(one);
    int taken_up = 0;
    int went_on = 0;
    for (const begun_stream& one : begun) {
      if (!killed.contains(one.host))
        continue;
      const resume_decision made = decide_resume(
          fleet.find(fleet.any_host(), one.key), [] { return std::nullopt; },
          [](build_hash) { return true; });
      ++taken_up;
      went_on += made.build ? 1 : 0;
      RC_ASSERT(!made.build || *made.build == one.build);
    }
    if (hosts >= 9 && taken_up >= 12)
      RC_ASSERT(2 * went_on >= taken_up);
  }));
}

// Streams begin at any listed endpoint, as other hosts know the list; the host that is asked reads
// the list late, but once more before it decides.
TEST_CASE("no schedule takes a build for the sole one while streams of another may be taken up") {
  CHECK(rc::check([] {
    manual_clock time;
    endpoint_directory directory{data_centre_id{"dc"}, choice_weights{}, time};
    random_source random{*rc::gen::arbitrary<std::uint64_t>()};
    route on;
    on.timeout = time_ms{2000};
    struct change {
      std::string id;
      std::optional<endpoint_entry> entry;
    };
    std::vector<change> log;
    std::map<std::string, endpoint_entry> listed;
    std::map<build_hash, time_ms> last_begun;
    std::size_t read = 0;
    const auto read_list = [&] {
      std::map<std::string, const change*> last;
      for (std::size_t i = read; i < log.size(); ++i)
        last[log[i].id] = &log[i];
      for (std::size_t i = read; i < log.size(); ++i)
        if (log[i].entry && last.at(log[i].id) != &log[i])
          directory.note_listed(*log[i].entry);
      for (const auto& [id, one] : last)
        if (one->entry)
          directory.put(*one->entry);
        else
          directory.remove(endpoint_id{id});
      read = log.size();
    };
    int named = 0;
    int proved = 0;
    for (int step = 0; step < 300; ++step) {
      time.advance(time_ms{100});
      if (random.below(12) == 0) {
        const std::string id = "e" + std::to_string(named++);
        endpoint_entry entry{endpoint_id{id},      service, "127.0.0.1:1",
                             data_centre_id{"dc"}, 8,       false};
        entry.version = "v" + std::to_string(random.below(2));
        listed.emplace(id, entry);
        log.push_back({id, entry});
      } else if (random.below(12) == 0 && !listed.empty()) {
        log.push_back({listed.begin()->first, std::nullopt});
        listed.erase(listed.begin());
      }
      for (const auto& [id, entry] : listed)
        if (random.below(4) == 0)
          last_begun[build_of(service, *entry.version)] = time.now();
      if (step == 20)
        directory.begin_list();
      if (step >= 20 && random.below(8) == 0)
        read_list();
      if (step < 20 || random.below(3) != 0)
        continue;
      read_list();
      const time_ms since = time.now() - *max_stream_age(on, on.timeout, on.timeout);
      const auto sole = directory.sole_build(service, since);
      proved += sole ? 1 : 0;
      for (const auto& [build, begun] : last_begun)
        RC_ASSERT(!sole || begun < since || build == *sole);
    }
    RC_CLASSIFY(proved > 0);
  }));
}

TEST_CASE("a stream of a build that is gone or unknown is refused, whatever is served") {
  CHECK(rc::check([] {
    const auto knowledge = *rc::gen::element(
        stream_build::state::unknown, stream_build::state::known, stream_build::state::ambiguous);
    const build_hash build = *rc::gen::inRange<build_hash>(1, 4);
    std::set<build_hash> served;
    for (build_hash one = 1; one < 4; ++one)
      if (*rc::gen::arbitrary<bool>())
        served.insert(one);
    const bool sole = served.size() == 1 && *rc::gen::arbitrary<bool>();
    const resume_decision made = decide_resume(
        {knowledge, build}, [&] { return sole ? std::optional{*served.begin()} : std::nullopt; },
        [&](build_hash one) { return served.contains(one); });
    if (knowledge == stream_build::state::known)
      RC_ASSERT(made.build == (served.contains(build) ? std::optional{build} : std::nullopt));
    else if (knowledge == stream_build::state::ambiguous)
      RC_ASSERT(!made.build);
    else
      RC_ASSERT(made.build.has_value() == sole);
  }));
}
