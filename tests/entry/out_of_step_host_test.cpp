// Random schedules of a release while hosts stand still, or are cut off from the store or from each
// other, over the list of endpoints and the records of streams as the program keeps them.

#include "entry/entry.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

const std::string service = "s";
constexpr time_ms step{50};
constexpr time_ms patience{2000}; ///< of callers, and timeout of their route
constexpr std::size_t holders_of_record = 4;

/// How hosts read the list; `stale` is the fault that the schedules must find.
enum class reading { anew, stale };

class release_schedule {
 public:
  release_schedule(std::uint64_t seed, int hosts, reading how)
      : random_{seed}, how_{how}, list_{hosts_named(hosts)} {
    route_.timeout = patience;
    for (int i = 0; i < 3; ++i)
      start_endpoint("v0");
    for (const record_host& one : list_)
      hosts_.push_back(std::make_unique<host>(one.name, time_));
  }

  struct counts {
    int taken_up{0};
    int went_on{0};
    int joined{0}; ///< streams that went on at another build
  };

  counts run(int steps) {
    for (int i = 0; i < steps; ++i) {
      time_.advance(step);
      change_endpoints();
      for (const auto& one : hosts_)
        live(*one);
      deliver_records();
      begin_stream();
      take_up_streams();
    }
    return counted_;
  }

 private:
  struct host {
    host(std::string host_name, const manual_clock& time)
        : name{std::move(host_name)}, endpoints{data_centre_id{"dc"}, choice_weights{}, time},
          log{{.host = name, .file = "/dev/null"}}, figures{name}, faults{log, figures},
          registered{endpoints, settle_time(time_ms{1500}), faults, log} {}

    std::string name;
    endpoint_directory endpoints;
    structured_log log;
    metrics figures;
    entry_faults faults;
    registered_endpoints registered;
    stream_build_table records;
    std::size_t read{0}; ///< changes of the list
    bool follows{false};
    time_ms stands_still_until;
    time_ms without_store_until;
    time_ms without_peers_until;
  };
  struct stream {
    stream_key key{};
    build_hash build{};
    time_ms begun;
    time_ms breaks; ///< and is taken up
    std::size_t host{};
  };
  struct late_record {
    std::size_t to{};
    stream_record record;
    time_ms arrives;
  };

  static std::vector<record_host> hosts_named(int count) {
    std::vector<record_host> all;
    for (int i = 0; i < count; ++i) {
      const std::string name = "h" + std::to_string(i);
      all.push_back({name, "dc" + std::to_string(i % 3), stable_hash(name)});
    }
    return all;
  }

  [[nodiscard]] bool one_in(std::uint64_t odds) { return random_.below(odds) == 0; }
  [[nodiscard]] time_ms span_up_to(std::uint64_t ms) {
    return time_ms{static_cast<std::int64_t>(random_.below(ms))};
  }

  // The store keeps a change for good unless it forgets its history.
  void write(const std::string& id, std::optional<endpoint_entry> entry) {
    changes_.push_back({endpoint_id{id}, std::move(entry)});
  }

  void list_endpoint(const std::string& id) {
    endpoint_entry entry{endpoint_id{id}, service, "127.0.0.1:1", data_centre_id{"dc"}, 8, false};
    entry.version = running_.at(id);
    write(id, std::move(entry));
  }

  void start_endpoint(const std::string& version) {
    const std::string id = "e" + std::to_string(named_++);
    running_[id] = version;
    list_endpoint(id);
  }

  void change_endpoints() {
    if (one_in(400))
      newest_version_ = "v" + std::to_string(++versions_);
    if (one_in(25))
      start_endpoint(newest_version_);
    if (running_.size() > 1 && one_in(25)) {
      auto at = running_.begin();
      std::advance(at, static_cast<std::ptrdiff_t>(random_.below(running_.size())));
      const std::string id = at->first;
      if (one_in(4)) { // it starts again under its id with the newest version
        at->second = newest_version_;
        list_endpoint(id);
      } else {
        running_.erase(at);
        write(id, std::nullopt);
      }
    }
    if (one_in(300))
      forgotten_ = changes_.size();
  }

  void live(host& one) {
    const time_ms now = time_.now();
    if (one_in(150))
      one.stands_still_until = now + span_up_to(3000);
    if (one_in(150))
      one.without_store_until = now + span_up_to(4000);
    if (one_in(150))
      one.without_peers_until = now + span_up_to(4000);
    if (now >= one.stands_still_until && one_in(12))
      (void)read_list(one);
  }

  bool read_list(host& one) {
    if (time_.now() < one.without_store_until)
      return false;
    const bool all = !one.follows || one.read < forgotten_;
    if (all)
      one.endpoints.begin_list();
    endpoint_changes page{{}, changes_.size(), false};
    if (all)
      for (const auto& [id, version] : running_)
        page.changes.push_back(last_change_of(id));
    else
      page.changes.assign(changes_.begin() + static_cast<std::ptrdiff_t>(one.read), changes_.end());
    one.registered.apply(page, all, time_.now());
    one.registered.drop_lapsed();
    one.read = changes_.size();
    one.follows = true;
    return true;
  }

  [[nodiscard]] endpoint_change last_change_of(const std::string& id) const {
    return *std::find_if(changes_.rbegin(), changes_.rend(),
                         [&](const endpoint_change& change) { return change.id.str() == id; });
  }

  [[nodiscard]] bool in_touch(const host& a, const host& b) const {
    const time_ms now = time_.now();
    return now >= a.without_peers_until && now >= b.without_peers_until &&
           now >= b.stands_still_until;
  }

  // An endpoint that has restarted is known as another one to whoever connects to it.
  void begin_stream() {
    const std::size_t index = random_.below(hosts_.size());
    host& at = *hosts_[index];
    if (time_.now() < at.stands_still_until || !at.follows || one_in(3))
      return;
    placement_request request{service, nullptr, {}};
    const auto place = at.endpoints.place(request);
    if (!place)
      return;
    at.endpoints.release(*place, send_outcome::caller_left, false);
    const auto runs = running_.find(place->endpoint.str());
    if (runs == running_.end() || place->build != build_of(service, runs->second))
      return;
    const time_ms now = time_.now();
    const stream begun{stream_key_of("t", std::to_string(++streams_begun_)), *place->build, now,
                       now + span_up_to(2000), random_.below(hosts_.size())};
    streams_.push_back(begun);
    const stream_record record{
        begun.key, {stream_build::state::known, begun.build}, taken_up_after_deadline};
    at.records.note(record, now);
    for (const std::string& holder : record_holders(begun.key, list_, holders_of_record)) {
      const std::size_t to = static_cast<std::size_t>(std::stoul(holder.substr(1)));
      if (in_touch(at, *hosts_[to]) && !one_in(4))
        late_.push_back({to, record, now + (one_in(3) ? span_up_to(1500) : time_ms{})});
    }
  }

  void deliver_records() {
    std::erase_if(late_, [&](const late_record& one) {
      if (one.arrives > time_.now())
        return false;
      hosts_[one.to]->records.note(one.record, time_.now());
      return true;
    });
  }

  [[nodiscard]] stream_build find_record(const host& at, stream_key key) const {
    stream_build found = at.records.find(key, time_.now());
    for (const std::string& holder : record_holders(key, list_, holders_of_record)) {
      const host& other = *hosts_[static_cast<std::size_t>(std::stoul(holder.substr(1)))];
      if (in_touch(at, other))
        found = combine(found, other.records.find(key, time_.now()));
    }
    return found;
  }

  [[nodiscard]] std::optional<build_hash> find_sole_build(host& at, time_ms left) {
    const auto age = max_stream_age(route_, left, patience);
    if (!age)
      return std::nullopt;
    const time_ms since = time_.now() - *age;
    const auto sole = at.endpoints.sole_build(service, since);
    if (!sole || how_ == reading::stale)
      return sole;
    return read_list(at) ? at.endpoints.sole_build(service, since) : std::nullopt;
  }

  // A host that stands still reads the request when it goes on.
  void take_up_streams() {
    const time_ms now = time_.now();
    std::erase_if(streams_, [&](const stream& one) {
      host& at = *hosts_[one.host];
      const bool caller_left = now >= one.begun + patience;
      if (!caller_left && (now < one.breaks || now < at.stands_still_until || !at.follows))
        return false;
      if (caller_left)
        return true;
      const time_ms left = one.begun + patience - one.breaks;
      const resume_decision made = decide_resume(
          find_record(at, one.key), [&] { return find_sole_build(at, left); },
          [](build_hash) { return true; });
      ++counted_.taken_up;
      counted_.went_on += made.build ? 1 : 0;
      counted_.joined += made.build && *made.build != one.build ? 1 : 0;
      return true;
    });
  }

  manual_clock time_;
  random_source random_;
  reading how_;
  std::vector<record_host> list_;
  route route_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::map<std::string, std::string> running_; ///< version by id
  std::vector<endpoint_change> changes_;
  std::size_t forgotten_{0}; ///< changes that the store no longer has
  int named_{0};
  int versions_{0};
  std::string newest_version_{"v0"};
  std::vector<stream> streams_;
  std::vector<late_record> late_;
  int streams_begun_{0};
  counts counted_;
};

release_schedule::counts play(std::uint64_t first_seed, int seeds, int hosts, int steps,
                              reading how) {
  release_schedule::counts sum;
  for (std::uint64_t seed = first_seed; seed < first_seed + static_cast<std::uint64_t>(seeds);
       ++seed) {
    const release_schedule::counts one = release_schedule{seed, hosts, how}.run(steps);
    sum.taken_up += one.taken_up;
    sum.went_on += one.went_on;
    sum.joined += one.joined;
  }
  return sum;
}

} // namespace

// Events of two builds in one stream are no answer of either.
TEST_CASE("no stream goes on at another build at a host that is out of step during a release") {
  struct size {
    int hosts;
    int seeds;
    int steps;
  };
  for (const size of : {size{1, 60, 600}, size{3, 60, 600}, size{9, 40, 600}, size{30, 10, 600},
                        size{300, 1, 400}}) {
    const auto seen = play(1, of.seeds, of.hosts, of.steps, reading::anew);
    CAPTURE(of.hosts);
    CHECK(seen.joined == 0);
    CHECK(seen.taken_up > 50);
    CHECK(seen.went_on * 4 >= seen.taken_up);
  }
}

// The schedules are useful only if they find the fault that they are written for.
TEST_CASE("schedules of releases find a host that trusts the list as it last read it") {
  CHECK(play(1, 60, 9, 600, reading::stale).joined > 0);
}
