// Property test over random sequences of events: restarts, heartbeats, reads of the list, sends and
// their results, load reports, datagrams of other hosts and probes, in any order and arbitrarily
// late. The state of an endpoint must equal that on a host that has seen only its current
// incarnation.

#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <vector>

using namespace sedgechute;

namespace {

enum class event {
  restart,
  heartbeat,
  lapse,
  read_list,
  send,
  begin,
  load,
  leave,
  end,
  report,
  probe,
  answer
};

/// Events to draw from; those that depend on several earlier ones are listed more often.
constexpr std::array events{event::restart,   event::heartbeat, event::lapse, event::read_list,
                            event::read_list, event::send,      event::send,  event::begin,
                            event::load,      event::leave,     event::end,   event::end,
                            event::report,    event::report,    event::probe, event::probe,
                            event::answer,    event::answer,    event::answer};

constexpr time_ms first_start{1'790'000'000'000};
constexpr time_ms step{100}; // below the first probe backoff; 80 steps are shorter than the time
                             // for which prefixes count as cached
constexpr int longest_course = 80;
constexpr std::uint64_t this_host = 99; // sender of its own reports; others have small numbers

const endpoint_id& name() {
  static const endpoint_id of{"e"};
  return of;
}

const generation_terms& terms() {
  static const generation_terms of{"m", 6000, 100, {{"subject", 5000}, {"own", 1000}}};
  return of;
}

endpoint_entry entry(time_ms started) {
  return {name(), "s", "127.0.0.1:7000", data_centre_id{"dc"}, 64, false, started};
}

/// Two hosts: one sees every event, the reference only those of the current incarnation.
class course {
 public:
  course() {
    seen_.on_restart([this](const endpoint_restart& found) { begin_life(found.started); });
    read_list();
  }

  void play(event next, std::uint32_t drawn) {
    time_.advance(step);
    switch (next) {
    case event::restart: // its wall clock may have been set forward or back
      ++starts_;
      running_ = first_start + time_ms{(drawn % 2 == 0 ? 1000 : -1000) * starts_};
      break;
    case event::heartbeat:
      listed_ = running_;
      break;
    case event::lapse:
      seen_.remove(name());
      only_.reset();
      shown_.reset();
      break;
    case event::read_list:
      read_list();
      break;
    case event::send:
      send();
      break;
    case event::begin:
      on_send(drawn, [](endpoint_directory& at, const placement& of) { at.note_started(of); });
      break;
    case event::load:
      on_send(drawn, [&](endpoint_directory& at, const placement& of) {
        at.note_load(of, {drawn % 50, drawn % 7, 64});
      });
      break;
    case event::leave:
      if (drawn % 4 == 0)
        on_send(drawn, [](endpoint_directory& at, const placement& of) { at.note_leaving(of); });
      break;
    case event::end:
      end(drawn);
      break;
    case event::report:
      report(drawn);
      break;
    case event::probe:
      for (const auto& due : seen_.due_probes())
        probes_.push_back({due, running_, life_});
      break;
    case event::answer:
      answer(drawn);
      break;
    }
  }

  /// Checks that both hosts place the next request alike and for the same reasons.
  void compare() {
    const auto seen = seen_.place({"s", &terms(), {}});
    const auto only = only_ ? only_->place({"s", &terms(), {}}) : std::nullopt;
    RC_ASSERT(seen.has_value() == only.has_value());
    if (!seen)
      return;
    RC_ASSERT(seen->incarnation == incarnation_of(name(), believed_));
    RC_ASSERT(seen->expected_open == only->expected_open);
    RC_ASSERT(seen->unread_before == only->unread_before);
    RC_ASSERT(seen->missing_tokens == only->missing_tokens);
    RC_ASSERT(seen->prompt_tokens == only->prompt_tokens);
    RC_ASSERT(seen->load_age == only->load_age);
    note_read(seen->incarnation);
    seen_.release(*seen, send_outcome::caller_left, false);
    only_->release(*only, send_outcome::caller_left, false);
  }

 private:
  struct send_under_way {
    placement seen;
    placement only; ///< of the same request on the reference host
    std::uint64_t life{};
  };
  struct probe_under_way {
    endpoint_directory::probe asked;
    time_ms running; ///< start time of the endpoint when it was queried
    std::uint64_t life{};
  };

  void read_list() {
    const bool news = !shown_ || *shown_ != listed_;
    const bool first = !shown_;
    const time_ms before = believed_;
    shown_ = listed_;
    seen_.put(entry(listed_));
    if (first)
      begin_life(listed_);
    RC_ASSERT(believed_ == (news ? listed_ : before)); // a repeated entry changes nothing
  }

  /// Creates a new reference host and passes it the other hosts' reports on this incarnation.
  void begin_life(time_ms started) {
    ++life_;
    believed_ = started;
    only_ = std::make_unique<endpoint_directory>(data_centre_id{"dc"}, choice_weights{}, time_);
    only_->put(entry(started));
    for (const use_report& one : reports_)
      only_->take_report(of_present(one));
  }

  [[nodiscard]] use_report of_present(use_report report) const {
    const endpoint_hash present = incarnation_of(name(), believed_);
    std::erase_if(report.entries, [&](const use_entry& e) { return e.endpoint != present; });
    std::erase_if(report.sightings, [&](const start_sighting& s) { return s.endpoint != present; });
    return report;
  }

  void send() {
    const auto seen = seen_.place({"s", &terms(), {}});
    if (!seen)
      return;
    sends_.push_back({*seen, *only_->place({"s", &terms(), {}}), life_});
    note_read(seen->incarnation);
  }

  /// Records that the incarnation has cached the prefix; this holds while it runs, even if this
  /// host assumed another incarnation in between.
  void note_read(endpoint_hash at) {
    take_report({this_host, ++number_, false, {}, {{shared_starts(terms()).back().hash, at}}});
  }

  void take_report(const use_report& report) {
    reports_.push_back(report);
    seen_.take_report(report);
    if (only_)
      only_->take_report(of_present(report));
  }

  template <typename Action>
  void on_send(std::uint32_t drawn, const Action& act) {
    if (sends_.empty())
      return;
    const send_under_way& one = sends_[drawn % sends_.size()];
    act(seen_, one.seen);
    if (only_ && one.life == life_)
      act(*only_, one.only);
  }

  void end(std::uint32_t drawn) {
    static constexpr std::array ends{send_outcome::answered, send_outcome::failed,
                                     send_outcome::unreachable, send_outcome::silent,
                                     send_outcome::not_run};
    const send_outcome how = ends[drawn / 64 % ends.size()];
    on_send(drawn,
            [&](endpoint_directory& at, const placement& of) { at.release(of, how, false); });
    if (!sends_.empty())
      sends_.erase(sends_.begin() + static_cast<std::ptrdiff_t>(drawn % sends_.size()));
  }

  /// Sends a report of another host, which may know any incarnation up to the running one.
  void report(std::uint32_t drawn) {
    const time_ms known = drawn % 3 == 0 ? running_ : drawn % 3 == 1 ? believed_ : first_start;
    const endpoint_hash at = incarnation_of(name(), known);
    take_report({1 + drawn % 2,
                 ++number_,
                 drawn % 5 == 0,
                 {{at, {drawn % 9, drawn % 900}}},
                 {{shared_starts(terms()).back().hash, drawn % 4 == 0 ? at : 0}}});
  }

  void answer(std::uint32_t drawn) {
    if (probes_.empty())
      return;
    const auto at = probes_.begin() + static_cast<std::ptrdiff_t>(drawn % probes_.size());
    const probe_under_way one = *at;
    probes_.erase(at);
    const bool reached = drawn % 3 != 0;
    const bool silent = drawn % 2 == 0;
    seen_.note_probe(one.asked, reached, silent);
    if (only_ && one.life == life_)
      only_->note_probe({name(), one.asked.address, 1, false}, reached, silent);
    if (!reached || !one.asked.ask_start)
      return;
    const time_ms before = believed_;
    const bool of_present = only_ && one.life == life_;
    seen_.note_start(one.asked, one.running);
    RC_ASSERT(believed_ == (of_present ? one.running : before));
  }

  manual_clock time_;
  endpoint_directory seen_{data_centre_id{"dc"}, choice_weights{}, time_};
  std::unique_ptr<endpoint_directory> only_; ///< null: the endpoint is not in the list
  time_ms running_{first_start};
  time_ms listed_{first_start};
  std::optional<time_ms> shown_; ///< start time in the list when it was last read
  time_ms believed_{first_start};
  std::int64_t starts_{0};
  std::uint64_t life_{0};
  std::uint32_t number_{0};
  std::vector<send_under_way> sends_;
  std::vector<probe_under_way> probes_;
  std::vector<use_report> reports_;
};

} // namespace

TEST_CASE("a belief never crosses incarnations") {
  CHECK(rc::check([] {
    const auto drawn =
        *rc::gen::resize(longest_course, rc::gen::container<std::vector<std::uint32_t>>(
                                             rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
    course run;
    for (const std::uint32_t one : drawn) {
      run.play(events[one % events.size()], one / events.size());
      run.compare();
    }
  }));
}
