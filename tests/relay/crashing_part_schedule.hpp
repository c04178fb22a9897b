#pragma once

// Random schedules of a fleet with parts of prompts that crash endpoints: lost and late messages,
// hosts that are cut off or restart, a log that is away, endpoints that die of other causes.
// Invariants, over all hosts together: requests with such a part are sent on at most three times
// later than three seconds after the fifth crash; other requests are not refused.

#include "relay/relay.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sedgechute::crashing_parts {

inline constexpr time_ms step{20};
inline constexpr time_ms stable{3000}; // undisturbed time after which a host must keep the promise
inline constexpr std::size_t crashes_before_promise = 5;
inline constexpr int sends_after_promise = 3;
inline constexpr time_ms bad_from{4000}; ///< the earliest request that crashes its endpoint
inline constexpr time_ms end_span{10000};

/// Injected faults that the schedules must find.
enum class mutation {
  none,
  news_not_sent, ///< hosts keep their evidence to themselves
  no_records,    ///< a restarted fleet forgets its evidence
  all_blamed,    ///< runs that have written for long are blamed like others
  no_harmless,   ///< an answer clears no part
};

/// Which part of the prompts crashes endpoints.
enum class guilty { first, middle };

struct shape {
  std::size_t hosts{9};
  std::size_t endpoints{12};
  std::size_t bad_parts{1};
  guilty place{guilty::middle};
  std::uint64_t first_parts{3};     ///< that sound requests begin with
  std::uint64_t second_parts{120};  ///< that sound requests go on with
  std::size_t requests_per_step{1}; ///< sound ones
  time_ms crash_delay{100};         ///< maximum time from the first byte to the crash
  time_ms longest_answer{3000};
  time_ms longest_pause{1000}; ///< between two requests with a bad part
  bool bad_content{false};     ///< besides, one whole request crashes endpoints
  bool one_host_serves{false}; ///< all requests arrive at the first host
  bool disturbed{false};       ///< hosts are cut off and restart, messages are late and lost
  bool outages{false};         ///< endpoints die together
  /// Requests with a bad part begin with one first part. Sound requests begin with it only from the
  /// time on at which the bad ones come.
  bool new_first_part{false};
  std::optional<time_ms> fixed_at{}; ///< from which on no request crashes an endpoint
  time_ms length{40000};
};

struct message {
  time_ms due;
  std::size_t to{};
  bool on_parts{false};
  std::string bytes;
};

struct endpoint_run {
  std::size_t host{};
  content_run sent;
  time_ms begins; ///< to write
  time_ms ends;
  std::optional<std::size_t> bad; ///< index of the cause that crashes the endpoint at the end
  int tries_left{0};
};

struct endpoint_state {
  endpoint_id id;
  endpoint_hash incarnation{};
  bool alive{true};
  bool listed{true};
  time_ms back_at;
  time_ms unlisted_at;
  std::vector<endpoint_run> runs;
};

struct host_state {
  std::unique_ptr<content_guard> guard;
  time_ms disturbed_at{-10000};
  time_ms cut_until{-1};
  time_ms next_news;
  time_ms next_snapshot;
  time_ms next_read;
};

/// A part or a whole request that crashes endpoints.
struct cause {
  bool is_content{false};
  std::vector<time_ms> crashes;
  int late_sends{0};
  time_ms next;
};

struct loss {
  time_ms at;
  std::size_t host{};
  endpoint_id endpoint;
  endpoint_hash incarnation{};
};

struct prompt {
  content_fingerprint content{};
  std::vector<part_fingerprint> parts;
  std::optional<std::size_t> bad;
  int tries_left{1};
  bool repeated{false};
};

struct later_prompt {
  time_ms at;
  prompt what;
};

inline constexpr part_fingerprint first_part = 1000;
inline constexpr part_fingerprint second_part = 2000;
inline constexpr part_fingerprint bad_part = 9000;
inline constexpr content_fingerprint bad_content = 77;

class schedule {
 public:
  schedule(std::uint64_t seed, const shape& of, mutation fault)
      : random_{seed}, shape_{of}, fault_{fault}, hosts_(of.hosts), endpoints_(of.endpoints),
        causes_(of.bad_parts + (of.bad_content ? 1 : 0)) {
    for (host_state& host : hosts_)
      start(host);
    for (endpoint_state& endpoint : endpoints_)
      revive(endpoint);
    for (cause& one : causes_)
      one.next = bad_from + draw_ms(3000);
    if (of.bad_content)
      causes_.back().is_content = true;
  }

  void run() {
    for (; now_ < shape_.length; now_ += step) {
      disturb();
      end_runs();
      send_requests();
      exchange();
    }
  }

  /// \returns the most requests with one bad part that were sent on too late
  [[nodiscard]] int worst_late_sends() const {
    int worst = 0;
    for (const cause& one : causes_)
      worst = std::max(worst, one.late_sends);
    return worst;
  }
  [[nodiscard]] std::size_t crashes() const {
    std::size_t all = 0;
    for (const cause& one : causes_)
      all += one.crashes.size();
    return all;
  }
  /// \returns sound requests that were refused as their parts are quarantined
  [[nodiscard]] int refused() const noexcept { return refused_; }
  /// \returns sound requests that were refused until deaths have settled
  [[nodiscard]] int held() const noexcept { return held_; }
  /// \returns refusals in the last ten seconds of requests with a part that crashed endpoints once
  [[nodiscard]] int refused_at_end() const noexcept { return refused_at_end_; }
  [[nodiscard]] int served() const noexcept { return served_; }

 private:
  [[nodiscard]] time_ms draw_ms(std::uint64_t most) {
    return time_ms{static_cast<std::int64_t>(random_.below(most))};
  }
  [[nodiscard]] time_ms draw_ms(time_ms most) {
    return draw_ms(static_cast<std::uint64_t>(most.count()));
  }
  [[nodiscard]] bool one_in(std::uint64_t n) { return random_.below(n) == 0; }
  [[nodiscard]] bool cut_off(const host_state& host) const { return now_ < host.cut_until; }
  [[nodiscard]] bool in_touch(const host_state& host) const {
    return now_ - host.disturbed_at > stable && now_ - host.cut_until > stable &&
           now_ - log_away_until_ > stable;
  }

  void start(host_state& host) {
    content_guard_options options;
    options.policy.first_quarantine_duration = time_ms{10000};
    if (fault_ == mutation::all_blamed) {
      options.parts.full_blame = time_ms{10000};
      options.parts.no_blame = time_ms{20000};
      options.parts.harmless_after = time_ms{30000};
    }
    if (fault_ == mutation::no_harmless)
      options.parts.answer_lifetime = time_ms{0};
    host.guard = std::make_unique<content_guard>(options, log_);
    host.guard->set_hosts("h" + std::to_string(&host - hosts_.data()), hosts_.size());
    host.next_news = now_ + draw_ms(50);
    host.next_snapshot = now_ + draw_ms(1000);
    host.next_read = now_;
  }

  void revive(endpoint_state& endpoint) {
    endpoint.id = endpoint_id{"e" + std::to_string(++started_)};
    endpoint.incarnation = incarnation_of(endpoint.id, std::nullopt);
    endpoint.alive = true;
    endpoint.listed = true;
  }

  void crash(endpoint_state& endpoint) {
    endpoint.alive = false;
    endpoint.back_at = now_ + time_ms{1000} + draw_ms(5000);
    endpoint.unlisted_at = now_ + time_ms{3500};
    const std::vector<endpoint_run> runs = std::exchange(endpoint.runs, {});
    for (const endpoint_run& one : runs)
      cut(endpoint, one);
  }

  // A host that has lost a run probes the endpoint within 300 ms; the list shows it if no probe is
  // refused.
  void cut(const endpoint_state& endpoint, const endpoint_run& run) {
    content_run ended = run.sent;
    ended.written = std::max(now_ - run.begins, time_ms{});
    hosts_[run.host].guard->note_end(ended, send_outcome::failed, now_);
    if (!one_in(7))
      losses_.push_back({now_ + draw_ms(300), run.host, endpoint.id, endpoint.incarnation});
    if (run.tries_left > 0)
      again_.push_back({now_ + draw_ms(200),
                        {run.sent.content, run.sent.parts, run.bad, run.tries_left - 1, true}});
  }

  void disturb() {
    for (host_state& host : hosts_) {
      if (!shape_.disturbed)
        break;
      if (one_in(500 * hosts_.size())) {
        host.cut_until = now_ + draw_ms(6000);
        host.disturbed_at = now_;
      }
      if (one_in(800 * hosts_.size())) {
        host.disturbed_at = now_;
        start(host);
      }
    }
    if (shape_.disturbed && one_in(1000))
      log_away_until_ = now_ + draw_ms(5000);
    if (shape_.disturbed && one_in(1000))
      for (host_state& host : hosts_) {
        host.disturbed_at = now_;
        start(host);
      }
    if (shape_.outages && one_in(400)) {
      const std::size_t dying = 2 + random_.below(endpoints_.size() / 2);
      const std::uint64_t spread = one_in(2) ? 1500 : 600 * dying; // a rack, or a rollout
      for (std::size_t i = 0; i < dying; ++i)
        deaths_.push_back({now_ + draw_ms(spread), random_.below(endpoints_.size())});
    }
    if (shape_.outages && one_in(150))
      deaths_.push_back({now_, random_.below(endpoints_.size())});
    for (const auto& [at, index] : deaths_)
      if (at <= now_ && endpoints_[index].alive)
        crash(endpoints_[index]);
    std::erase_if(deaths_, [&](const auto& one) { return one.first <= now_; });
    for (endpoint_state& endpoint : endpoints_) {
      if (!endpoint.alive && endpoint.listed && now_ >= endpoint.unlisted_at)
        unlist(endpoint);
      if (!endpoint.alive && now_ >= endpoint.back_at)
        unlist(endpoint), revive(endpoint);
    }
  }

  void unlist(endpoint_state& endpoint) {
    if (!std::exchange(endpoint.listed, false))
      return;
    for (host_state& host : hosts_)
      host.guard->note_lost(endpoint.id, endpoint.incarnation, loss_source::unlisted, now_);
  }

  void end_runs() {
    for (const loss& one : losses_)
      if (one.at <= now_)
        hosts_[one.host].guard->note_lost(one.endpoint, one.incarnation, loss_source::refused,
                                          now_);
    std::erase_if(losses_, [&](const loss& one) { return one.at <= now_; });
    for (endpoint_state& endpoint : endpoints_) {
      const auto crashing = std::ranges::find_if(endpoint.runs, [&](const endpoint_run& one) {
        return one.bad && !fixed() && one.ends <= now_;
      });
      if (crashing != endpoint.runs.end()) {
        causes_[*crashing->bad].crashes.push_back(now_);
        crash(endpoint);
        continue;
      }
      for (const endpoint_run& one : endpoint.runs)
        if (one.ends <= now_) {
          content_run ended = one.sent;
          ended.written = one.ends - one.begins;
          hosts_[one.host].guard->note_end(ended, send_outcome::answered, now_);
          ++served_;
        }
      std::erase_if(endpoint.runs, [&](const endpoint_run& one) { return one.ends <= now_; });
      for (const endpoint_run& one : endpoint.runs) {
        content_guard& guard = *hosts_[one.host].guard;
        const time_ms written = now_ - one.begins;
        if (written >= guard.policy().harmless_after &&
            written < guard.policy().harmless_after + step)
          guard.note_long_answer(one.sent, now_);
      }
    }
  }

  [[nodiscard]] endpoint_state* draw_endpoint() {
    for (std::size_t tries = 0; tries < 3 * endpoints_.size(); ++tries) {
      endpoint_state& drawn = endpoints_[random_.below(endpoints_.size())];
      if (drawn.alive)
        return &drawn;
    }
    return nullptr;
  }

  [[nodiscard]] bool fixed() const { return shape_.fixed_at && now_ >= *shape_.fixed_at; }

  [[nodiscard]] part_fingerprint draw_first_part() {
    const bool unused = shape_.new_first_part && now_ < bad_from;
    const std::uint64_t unused_parts = unused ? 1 : 0;
    return first_part + unused_parts + random_.below(shape_.first_parts - unused_parts);
  }

  [[nodiscard]] prompt sound_prompt() {
    return {++contents_,
            {draw_first_part(), second_part + random_.below(shape_.second_parts)},
            std::nullopt};
  }

  [[nodiscard]] prompt bad_prompt(std::size_t index) {
    prompt made = sound_prompt();
    made.bad = index;
    if (causes_[index].is_content) {
      made.content = bad_content;
      made.parts = {first_part, second_part - 1};
    } else {
      made.parts[shape_.place == guilty::first ? 0 : 1] = bad_part + index;
      if (shape_.new_first_part)
        made.parts[0] = first_part;
    }
    return made;
  }

  void send_requests() {
    for (std::size_t i = 0; i < causes_.size(); ++i)
      if (now_ >= causes_[i].next) {
        causes_[i].next = now_ + time_ms{100} + draw_ms(shape_.longest_pause - time_ms{100});
        send(bad_prompt(i));
      }
    for (std::size_t i = 0; i < shape_.requests_per_step; ++i)
      send(sound_prompt());
    const auto due = std::exchange(again_, {});
    for (const later_prompt& one : due)
      if (one.at <= now_)
        send(one.what);
      else
        again_.push_back(one);
  }

  void send(const prompt& what) {
    const std::size_t host = shape_.one_host_serves ? 0 : random_.below(hosts_.size());
    endpoint_state* const endpoint = draw_endpoint();
    if (endpoint == nullptr)
      return;
    content_guard& guard = *hosts_[host].guard;
    const auto refusal = guard.refusal(what.content, what.parts, now_);
    const bool is_trial = refusal && refusal->part && !what.repeated &&
                          guard.begin_trial(what.content, what.parts, now_);
    if (refusal && !is_trial) {
      if (what.bad && now_ >= shape_.length - end_span)
        ++refused_at_end_;
      if (!what.bad)
        ++(refusal->quarantined ? refused_ : held_);
      return;
    }
    if (what.bad)
      count_late(causes_[*what.bad], hosts_[host]);
    const time_ms begins = now_ + time_ms{50} + draw_ms(250);
    const time_ms ends = what.bad ? begins + draw_ms(shape_.crash_delay)
                                  : begins + time_ms{100} + draw_ms(shape_.longest_answer);
    endpoint->runs.push_back({host,
                              {what.content, endpoint->id, endpoint->incarnation, now_, what.parts},
                              begins,
                              ends,
                              what.bad,
                              what.tries_left});
  }

  void count_late(cause& of, const host_state& host) const {
    const std::size_t before = of.is_content ? 3 : crashes_before_promise;
    if (of.crashes.size() >= before && now_ - of.crashes[before - 1] > stable && in_touch(host))
      ++of.late_sends;
  }

  void exchange() {
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      send_messages(i);
    for (const message& one : network_)
      if (one.due <= now_ && !cut_off(hosts_[one.to]))
        take(*hosts_[one.to].guard, one);
    std::erase_if(network_, [&](const message& one) { return one.due <= now_; });
    for (host_state& host : hosts_)
      use_log(host);
  }

  void take(content_guard& guard, const message& one) const {
    if (one.on_parts) {
      if (const auto news = decode_part_news(one.bytes))
        guard.merge(*news, now_);
    } else if (const auto news = decode_quarantine_news(one.bytes)) {
      guard.merge(*news, now_);
    }
  }

  void send_messages(std::size_t from) {
    host_state& host = hosts_[from];
    const quarantine_exchange_options options;
    if (now_ >= host.next_news) {
      host.next_news = now_ + report_spacing(options.pacing, hosts_.size() - 1);
      const auto news = encode_quarantine_news(host.guard->take_news(), options.max_datagrams);
      const auto parts = encode_part_news(host.guard->take_part_news(), options.max_datagrams);
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to == from)
          continue;
        post(from, to, false, news);
        post(from, to, true, parts);
      }
    }
    if (now_ < host.next_snapshot)
      return;
    host.next_snapshot = now_ + options.snapshot_interval;
    host.guard->expire(now_);
    const auto news = encode_quarantine_news(host.guard->snapshot(now_), options.max_datagrams);
    const auto parts = encode_part_news(host.guard->part_snapshot(now_), options.max_datagrams);
    for (std::size_t i = 0; i < options.snapshot_recipients && hosts_.size() > 1; ++i)
      if (const std::size_t to = random_.below(hosts_.size()); to != from) {
        post(from, to, false, news);
        post(from, to, true, parts);
      }
  }

  void post(std::size_t from, std::size_t to, bool on_parts,
            const std::vector<std::string>& messages) {
    if (fault_ == mutation::news_not_sent || cut_off(hosts_[from]))
      return;
    for (const std::string& bytes : messages) {
      if (shape_.disturbed && one_in(4))
        continue;
      const std::uint64_t delay = shape_.disturbed && one_in(8) ? 3000 : 10;
      network_.push_back({now_ + draw_ms(delay), to, on_parts, bytes});
    }
  }

  void use_log(host_state& host) {
    if (fault_ == mutation::no_records || cut_off(host) || now_ < log_away_until_)
      return;
    if (now_ >= host.next_read) {
      host.next_read = now_ + quarantine_exchange_options{}.read_interval;
      read_log(*host.guard);
    }
    const std::vector<part_record> due = host.guard->due_part_records(now_);
    for (const part_record& record : due)
      log_entries_[record.part] = {now_, record};
    host.guard->note_recorded(due);
    write_contents(*host.guard);
  }

  void read_log(content_guard& guard) const {
    std::vector<part_record> read;
    for (const auto& [part, entry] : log_entries_) {
      read.push_back(entry.known);
      for (recorded_part_death& death : read.back().deaths)
        death.age += now_ - entry.at;
    }
    guard.merge_recorded(read, now_);
    read_contents(guard);
  }

  void write_contents(content_guard& guard) {
    const quarantine_news due = guard.due_records(now_);
    std::map<content_fingerprint, logged_content> written;
    for (const quarantine_record& record : due.records)
      written[record.content].known.records.push_back(record);
    for (const death_evidence& death : due.deaths)
      written[death.content].known.deaths.push_back(death);
    for (auto& [content, entry] : written) {
      entry.at = now_;
      log_contents_[content] = std::move(entry);
    }
    guard.note_recorded(due, now_);
  }

  void read_contents(content_guard& guard) const {
    quarantine_news all;
    for (const auto& [content, entry] : log_contents_) {
      for (quarantine_record record : entry.known.records) {
        record.remaining -= now_ - entry.at;
        all.records.push_back(record);
      }
      for (death_evidence death : entry.known.deaths) {
        death.age += now_ - entry.at;
        all.deaths.push_back(death);
      }
    }
    guard.merge_recorded(all, now_);
  }

  struct logged_part {
    time_ms at;
    part_record known;
  };
  struct logged_content {
    time_ms at;
    quarantine_news known;
  };

  random_source random_;
  shape shape_;
  mutation fault_;
  structured_log log_{{.host = "crashing-part-schedule", .file = "/dev/null"}};
  time_ms now_;
  time_ms log_away_until_{-1};
  std::vector<host_state> hosts_;
  std::vector<endpoint_state> endpoints_;
  std::vector<cause> causes_;
  std::vector<message> network_;
  std::map<part_fingerprint, logged_part> log_entries_; ///< the newest of each part
  std::map<content_fingerprint, logged_content> log_contents_;
  std::vector<loss> losses_;
  std::vector<std::pair<time_ms, std::size_t>> deaths_;
  std::vector<later_prompt> again_;
  std::uint64_t started_{0};
  content_fingerprint contents_{100000};
  int refused_{0};
  int held_{0};
  int refused_at_end_{0};
  int served_{0};
};

} // namespace sedgechute::crashing_parts
