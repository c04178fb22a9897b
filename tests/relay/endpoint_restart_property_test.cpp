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
constexpr int max_steps = 80;
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
class scenario {
 public:
  scenario() {
    observed_.on_restart(
        [this](const endpoint_restart& found) { begin_incarnation(found.started); });
    read_list();
  }

  void apply(event next, std::uint32_t drawn) {
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
      observed_.remove(name());
      reference_.reset();
      last_shown_.reset();
      break;
    case event::read_list:
      read_list();
      break;
    case event::send:
      send();
      break;
    case event::begin:
      on_send(drawn, [](endpoint_directory& at, const placement& of) { at.note_prompt_read(of); });
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
      for (const auto& due : observed_.due_probes())
        probes_.push_back({due, running_, incarnation_number_});
      break;
    case event::answer:
      answer(drawn);
      break;
    }
  }

  /// Checks that both hosts place the next request alike and for the same reasons.
  void compare() {
    const auto seen = observed_.place({"s", &terms(), {}});
    const auto reference = reference_ ? reference_->place({"s", &terms(), {}}) : std::nullopt;
    RC_ASSERT(seen.has_value() == reference.has_value());
    if (!seen)
      return;
    RC_ASSERT(seen->incarnation == incarnation_of(name(), current_start_));
    RC_ASSERT(seen->expected_open == reference->expected_open);
    RC_ASSERT(seen->unread_before == reference->unread_before);
    RC_ASSERT(seen->missing_tokens == reference->missing_tokens);
    RC_ASSERT(seen->prompt_tokens == reference->prompt_tokens);
    RC_ASSERT(seen->load_age == reference->load_age);
    note_read(seen->incarnation);
    observed_.release(*seen, send_outcome::caller_left, false);
    reference_->release(*reference, send_outcome::caller_left, false);
  }

 private:
  struct pending_send {
    placement seen;
    placement reference; ///< of the same request on the reference host
    std::uint64_t incarnation_number{};
  };
  struct pending_probe {
    endpoint_directory::probe asked;
    time_ms running; ///< start time of the endpoint when it was queried
    std::uint64_t incarnation_number{};
  };

  void read_list() {
    const bool news = !last_shown_ || *last_shown_ != listed_;
    const bool first = !last_shown_;
    const time_ms before = current_start_;
    last_shown_ = listed_;
    observed_.put(entry(listed_));
    if (first)
      begin_incarnation(listed_);
    RC_ASSERT(current_start_ == (news ? listed_ : before)); // a repeated entry changes nothing
  }

  /// Creates a new reference host and passes it the other hosts' reports on this incarnation.
  void begin_incarnation(time_ms started) {
    ++incarnation_number_;
    current_start_ = started;
    reference_ =
        std::make_unique<endpoint_directory>(data_centre_id{"dc"}, choice_weights{}, time_);
    reference_->put(entry(started));
    for (const use_report& one : reports_)
      reference_->take_report(for_current(one));
  }

  [[nodiscard]] use_report for_current(use_report report) const {
    const endpoint_hash present = incarnation_of(name(), current_start_);
    std::erase_if(report.entries, [&](const use_entry& e) { return e.endpoint != present; });
    std::erase_if(report.prefix_locations,
                  [&](const prefix_location& s) { return s.endpoint != present; });
    return report;
  }

  void send() {
    const auto seen = observed_.place({"s", &terms(), {}});
    if (!seen)
      return;
    sends_.push_back({*seen, *reference_->place({"s", &terms(), {}}), incarnation_number_});
    note_read(seen->incarnation);
  }

  /// Records that the incarnation has cached the prefix; this holds while it runs, even if this
  /// host assumed another incarnation in between.
  void note_read(endpoint_hash at) {
    take_report({this_host, ++number_, false, {}, {{shared_prefixes(terms()).back().hash, at}}});
  }

  void take_report(const use_report& report) {
    reports_.push_back(report);
    observed_.take_report(report);
    if (reference_)
      reference_->take_report(for_current(report));
  }

  template <typename Action>
  void on_send(std::uint32_t drawn, const Action& act) {
    if (sends_.empty())
      return;
    const pending_send& one = sends_[drawn % sends_.size()];
    act(observed_, one.seen);
    if (reference_ && one.incarnation_number == incarnation_number_)
      act(*reference_, one.reference);
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
    const time_ms known = drawn % 3 == 0 ? running_ : drawn % 3 == 1 ? current_start_ : first_start;
    const endpoint_hash at = incarnation_of(name(), known);
    take_report({1 + drawn % 2,
                 ++number_,
                 drawn % 5 == 0,
                 {{at, {drawn % 9, drawn % 900}}},
                 {{shared_prefixes(terms()).back().hash, drawn % 4 == 0 ? at : 0}}});
  }

  void answer(std::uint32_t drawn) {
    if (probes_.empty())
      return;
    const auto at = probes_.begin() + static_cast<std::ptrdiff_t>(drawn % probes_.size());
    const pending_probe one = *at;
    probes_.erase(at);
    const bool reached = drawn % 3 != 0;
    const bool silent = drawn % 2 == 0;
    observed_.note_probe(one.asked, reached, silent);
    if (reference_ && one.incarnation_number == incarnation_number_)
      reference_->note_probe({name(), one.asked.address, 1, false}, reached, silent);
    if (!reached || !one.asked.query_start_time)
      return;
    const time_ms before = current_start_;
    const bool for_current = reference_ && one.incarnation_number == incarnation_number_;
    observed_.note_start_time(one.asked, one.running);
    RC_ASSERT(current_start_ == (for_current ? one.running : before));
  }

  manual_clock time_;
  endpoint_directory observed_{data_centre_id{"dc"}, choice_weights{}, time_};
  std::unique_ptr<endpoint_directory> reference_; ///< null: the endpoint is not in the list
  time_ms running_{first_start};
  time_ms listed_{first_start};
  std::optional<time_ms> last_shown_; ///< start time in the list when it was last read
  time_ms current_start_{first_start};
  std::int64_t starts_{0};
  std::uint64_t incarnation_number_{0};
  std::uint32_t number_{0};
  std::vector<pending_send> sends_;
  std::vector<pending_probe> probes_;
  std::vector<use_report> reports_;
};

} // namespace

TEST_CASE("endpoint state never crosses incarnations") {
  CHECK(rc::check([] {
    const auto drawn =
        *rc::gen::resize(max_steps, rc::gen::container<std::vector<std::uint32_t>>(
                                        rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
    scenario run;
    for (const std::uint32_t one : drawn) {
      run.apply(events[one % events.size()], one / events.size());
      run.compare();
    }
  }));
}
