// Random schedules of a fleet with requests that crash endpoints: lost and late messages between
// hosts, hosts that are cut off or restart, a log that is away, outages and rollouts of endpoints.
// Invariants, over all hosts together: such a request is sent on at most three times later than
// three seconds after it has crashed the third endpoint; other requests are not refused.

#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

using namespace sedgechute;

namespace {

constexpr time_ms step{20};
constexpr time_ms stable{3000}; // undisturbed time after which a host must keep the promise
constexpr std::size_t crashes_before_promise = 3;
constexpr int sends_after_promise = 3;

/// Injected faults that the schedules must find.
enum class mutation {
  none,
  news_not_sent, ///< hosts keep their evidence to themselves
  no_records,    ///< a restarted fleet forgets its verdicts
  no_outages,    ///< deaths in an outage count like others
};

struct shape {
  std::size_t hosts{9};
  std::size_t endpoints{12};
  std::size_t poisons{2};
  bool one_host_serves{false}; ///< all requests arrive at the first host
  bool disturbed{false};       ///< hosts are cut off and restart, messages are late and lost
  bool outages{false};         ///< endpoints die together
  int resets{0};               ///< connections that break in each step without a death
  bool popular{false};         ///< all callers send one harmless content besides their own
  time_ms length{40000};
};

struct message {
  time_ms due;
  std::size_t to{};
  std::string bytes;
};

struct endpoint_run {
  std::size_t host{};
  content_run sent;
  time_ms ends;
  bool crashes{false};
  int tries_left{0};
};

struct endpoint_state {
  endpoint_id id;
  endpoint_hash incarnation{};
  bool alive{true};
  time_ms back_at;
  time_ms unlisted_at;
  bool listed{true};
  std::vector<endpoint_run> runs;
};

struct host_state {
  std::unique_ptr<content_guard> guard;
  time_ms disturbed_at{-10000};
  time_ms cut_until{-1};
  time_ms next_news;
  time_ms next_snapshot;
  time_ms next_read;
  std::size_t datagrams{0};
};

struct poison_state {
  std::vector<time_ms> crashes;
  int late_sends{0};
  time_ms next;
};

class schedule {
 public:
  schedule(std::uint64_t seed, const shape& of, mutation fault)
      : random_{seed}, shape_{of}, fault_{fault}, hosts_(of.hosts), endpoints_(of.endpoints),
        poisons_(of.poisons) {
    for (host_state& host : hosts_)
      start(host);
    for (endpoint_state& endpoint : endpoints_)
      revive(endpoint);
    for (poison_state& poison : poisons_)
      poison.next = time_ms{static_cast<std::int64_t>(random_.below(3000))};
  }

  void run() {
    for (; now_ < shape_.length; now_ += step) {
      disturb();
      end_runs();
      send_requests();
      exchange();
    }
  }

  [[nodiscard]] int worst_late_sends() const {
    int worst = 0;
    for (const poison_state& one : poisons_)
      worst = std::max(worst, one.late_sends);
    return worst;
  }
  [[nodiscard]] int innocents_refused() const noexcept { return innocents_refused_; }
  /// \returns refusals with a time to come back, until the deaths have settled
  [[nodiscard]] int innocents_held() const noexcept { return innocents_held_; }
  [[nodiscard]] int innocents_served() const noexcept { return innocents_served_; }
  [[nodiscard]] std::size_t most_datagrams_per_second() const {
    std::size_t most = 0;
    for (const host_state& host : hosts_)
      most = std::max(most, host.datagrams);
    return most * 1000 / static_cast<std::size_t>(shape_.length.count());
  }

 private:
  [[nodiscard]] time_ms draw_ms(std::uint64_t most) {
    return time_ms{static_cast<std::int64_t>(random_.below(most))};
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
    if (fault_ == mutation::no_outages)
      options.policy.outage_deaths = 1000;
    host.guard = std::make_unique<content_guard>(options, log_);
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
    endpoint.back_at = now_ + time_ms{1000} + draw_ms(7000);
    endpoint.unlisted_at = now_ + time_ms{3500};
    for (const endpoint_run& one : endpoint.runs)
      cut(endpoint, one);
    endpoint.runs.clear();
  }

  // A host that has lost a run probes the endpoint within 100 ms.
  void cut(const endpoint_state& endpoint, const endpoint_run& run) {
    content_guard& guard = *hosts_[run.host].guard;
    guard.note_end(run.sent, send_outcome::failed, now_);
    if (!endpoint.alive)
      losses_.push_back({now_ + draw_ms(100), run.host, endpoint.id, endpoint.incarnation});
    if (run.crashes)
      return;
    if (run.tries_left > 0)
      again_.push_back({now_ + draw_ms(800), run.sent.content, run.tries_left - 1});
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
      restart_all();
    if (shape_.outages && one_in(400)) {
      const std::size_t dying = 2 + random_.below(endpoints_.size() / 2);
      const std::uint64_t spread = one_in(2) ? 1500 : 600 * dying; // a rack, or a rollout
      for (std::size_t i = 0; i < dying; ++i)
        deaths_.push_back({now_ + draw_ms(spread), random_.below(endpoints_.size())});
    }
    for (const auto& [at, index] : deaths_)
      if (at <= now_ && endpoints_[index].alive)
        crash(endpoints_[index]);
    std::erase_if(deaths_, [&](const auto& one) { return one.first <= now_; });
    for (int i = 0; i < shape_.resets; ++i)
      reset_one();
    for (endpoint_state& endpoint : endpoints_) {
      if (!endpoint.alive && endpoint.listed && now_ >= endpoint.unlisted_at)
        unlist(endpoint);
      if (!endpoint.alive && now_ >= endpoint.back_at)
        unlist(endpoint), revive(endpoint);
    }
  }

  void restart_all() {
    for (host_state& host : hosts_) {
      host.disturbed_at = now_;
      start(host);
    }
  }

  void reset_one() {
    endpoint_state& endpoint = endpoints_[random_.below(endpoints_.size())];
    if (endpoint.runs.empty() || !endpoint.alive)
      return;
    const auto drawn = static_cast<std::ptrdiff_t>(random_.below(endpoint.runs.size()));
    const endpoint_run broken = endpoint.runs[static_cast<std::size_t>(drawn)];
    if (broken.crashes)
      return;
    endpoint.runs.erase(endpoint.runs.begin() + drawn);
    cut(endpoint, broken);
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
      const auto crashing = std::ranges::find_if(
          endpoint.runs, [&](const endpoint_run& one) { return one.crashes && one.ends <= now_; });
      if (crashing != endpoint.runs.end()) {
        poisons_[static_cast<std::size_t>(crashing->sent.content) - 1].crashes.push_back(now_);
        crash(endpoint);
        continue;
      }
      for (const endpoint_run& one : endpoint.runs)
        if (one.ends <= now_) {
          hosts_[one.host].guard->note_end(one.sent, send_outcome::answered, now_);
          ++innocents_served_;
        }
      std::erase_if(endpoint.runs, [&](const endpoint_run& one) { return one.ends <= now_; });
    }
  }

  [[nodiscard]] std::size_t draw_host() {
    return shape_.one_host_serves ? 0 : random_.below(hosts_.size());
  }

  /// \returns null where no endpoint is alive
  [[nodiscard]] endpoint_state* draw_endpoint() {
    for (std::size_t tries = 0; tries < 3 * endpoints_.size(); ++tries) {
      endpoint_state& drawn = endpoints_[random_.below(endpoints_.size())];
      if (drawn.alive)
        return &drawn;
    }
    return nullptr;
  }

  void send_requests() {
    for (std::size_t i = 0; i < poisons_.size(); ++i) {
      poison_state& poison = poisons_[i];
      if (now_ < poison.next)
        continue;
      poison.next = now_ + time_ms{200} + draw_ms(1400);
      send_poison(poison, static_cast<content_fingerprint>(i + 1));
    }
    for (std::uint64_t i = 0; i < 2; ++i)
      send_innocent(++contents_, 3);
    if (shape_.popular)
      send_innocent(popular_content, 0);
    const auto due = std::move(again_);
    again_.clear();
    for (const auto& one : due)
      if (one.at <= now_)
        send_innocent(one.content, one.tries_left);
      else
        again_.push_back(one);
  }

  void send_poison(poison_state& poison, content_fingerprint content) {
    const std::size_t host = draw_host();
    endpoint_state* const endpoint = draw_endpoint();
    if (endpoint == nullptr || hosts_[host].guard->refusal(content, now_))
      return;
    const bool promised = poison.crashes.size() >= crashes_before_promise &&
                          now_ - poison.crashes[crashes_before_promise - 1] > stable;
    if (promised && in_touch(hosts_[host]))
      ++poison.late_sends;
    endpoint->runs.push_back({host,
                              {content, endpoint->id, endpoint->incarnation, now_},
                              now_ + time_ms{50} + draw_ms(60),
                              true,
                              0});
  }

  void send_innocent(content_fingerprint content, int tries) {
    const std::size_t host = draw_host();
    endpoint_state* const endpoint = draw_endpoint();
    if (endpoint == nullptr)
      return;
    if (const auto refusal = hosts_[host].guard->refusal(content, now_)) {
      ++(refusal->quarantined ? innocents_refused_ : innocents_held_);
      if (!refusal->quarantined)
        again_.push_back({now_ + refusal->remaining, content, tries});
      return;
    }
    endpoint->runs.push_back({host,
                              {content, endpoint->id, endpoint->incarnation, now_},
                              now_ + time_ms{100} + draw_ms(3000),
                              false,
                              tries});
  }

  void exchange() {
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      send_messages(i);
    for (const message& one : network_)
      if (one.due <= now_ && !cut_off(hosts_[one.to]))
        if (const auto news = decode_quarantine_news(one.bytes))
          hosts_[one.to].guard->merge(*news, now_);
    std::erase_if(network_, [&](const message& one) { return one.due <= now_; });
    for (host_state& host : hosts_)
      use_log(host);
  }

  void send_messages(std::size_t from) {
    host_state& host = hosts_[from];
    const quarantine_exchange_options options;
    if (now_ >= host.next_news) {
      host.next_news = now_ + report_spacing(options.pacing, hosts_.size() - 1);
      const auto messages = encode_quarantine_news(host.guard->take_news(), options.max_datagrams);
      for (std::size_t to = 0; to < hosts_.size(); ++to)
        if (to != from)
          send(from, to, messages);
    }
    if (now_ < host.next_snapshot)
      return;
    host.next_snapshot = now_ + options.snapshot_interval;
    host.guard->expire(now_);
    const auto messages = encode_quarantine_news(host.guard->snapshot(now_), options.max_datagrams);
    for (std::size_t i = 0; i < options.snapshot_recipients && hosts_.size() > 1; ++i)
      if (const std::size_t to = random_.below(hosts_.size()); to != from)
        send(from, to, messages);
  }

  void send(std::size_t from, std::size_t to, const std::vector<std::string>& messages) {
    hosts_[from].datagrams += messages.size();
    if (fault_ == mutation::news_not_sent || cut_off(hosts_[from]))
      return;
    for (const std::string& bytes : messages) {
      if (shape_.disturbed && one_in(4))
        continue;
      const std::uint64_t delay = shape_.disturbed && one_in(8) ? 3000 : 10;
      network_.push_back({now_ + draw_ms(delay), to, bytes});
    }
  }

  void use_log(host_state& host) {
    if (fault_ == mutation::no_records || cut_off(host) || now_ < log_away_until_)
      return;
    if (now_ >= host.next_read) {
      host.next_read = now_ + quarantine_exchange_options{}.read_interval;
      host.guard->merge_recorded(read_log(), now_);
    }
    const quarantine_news due = host.guard->due_records(now_);
    if (due.empty())
      return;
    write_log(due);
    host.guard->note_recorded(due, now_);
  }

  void write_log(const quarantine_news& news) {
    std::map<content_fingerprint, logged> written;
    for (const quarantine_record& record : news.records)
      written[record.content].known.records.push_back(record);
    for (const death_evidence& death : news.deaths)
      written[death.content].known.deaths.push_back(death);
    for (auto& [content, entry] : written) {
      entry.at = now_;
      log_entries_[content] = std::move(entry);
    }
  }

  [[nodiscard]] quarantine_news read_log() const {
    quarantine_news all;
    for (const auto& [content, entry] : log_entries_) {
      for (quarantine_record record : entry.known.records) {
        record.remaining -= now_ - entry.at;
        all.records.push_back(record);
      }
      for (death_evidence death : entry.known.deaths) {
        death.age += now_ - entry.at;
        all.deaths.push_back(death);
      }
    }
    return all;
  }

  struct logged {
    time_ms at;
    quarantine_news known;
  };
  struct loss {
    time_ms at;
    std::size_t host{};
    endpoint_id endpoint;
    endpoint_hash incarnation{};
  };
  struct later_request {
    time_ms at;
    content_fingerprint content{};
    int tries_left{};
  };

  static constexpr content_fingerprint popular_content = 999;

  random_source random_;
  shape shape_;
  mutation fault_;
  structured_log log_{{.host = "content-guard-schedule", .file = "/dev/null"}};
  time_ms now_;
  time_ms log_away_until_{-1};
  std::vector<host_state> hosts_;
  std::vector<endpoint_state> endpoints_;
  std::vector<poison_state> poisons_;
  std::vector<message> network_;
  std::map<content_fingerprint, logged> log_entries_; ///< the newest of each content
  std::vector<loss> losses_;
  std::vector<std::pair<time_ms, std::size_t>> deaths_;
  std::vector<later_request> again_;
  std::uint64_t started_{0};
  content_fingerprint contents_{1000};
  int innocents_refused_{0};
  int innocents_held_{0};
  int innocents_served_{0};
};

struct outcome {
  int late_sends{0};
  int refused{0};
  int served{0};
  std::size_t datagrams{0};
};

// A harmless request may run on three endpoints in a row that die of other causes.
constexpr int harmless_per_refusal = 1000;
constexpr int harmless_per_hold = 100;

outcome play(const shape& of, std::uint64_t first_seed, int seeds,
             mutation fault = mutation::none) {
  outcome worst;
  for (int i = 0; i < seeds; ++i) {
    schedule one{first_seed + static_cast<std::uint64_t>(i), of, fault};
    one.run();
    INFO("seed " << first_seed + static_cast<std::uint64_t>(i));
    if (fault == mutation::none) {
      CHECK(one.worst_late_sends() <= sends_after_promise);
      CHECK(one.innocents_refused() * harmless_per_refusal <= one.innocents_served());
      CHECK(one.innocents_held() * harmless_per_hold <= one.innocents_served());
      CHECK(one.innocents_served() > 0);
    }
    worst.late_sends = std::max(worst.late_sends, one.worst_late_sends());
    worst.refused += one.innocents_refused();
    worst.served += one.innocents_served();
    worst.datagrams = std::max(worst.datagrams, one.most_datagrams_per_second());
  }
  return worst;
}

constexpr int seeds = 12;

} // namespace

// Guards against requests that crash endpoint after endpoint while each host knows only its own
// crashes.
TEST_CASE("no schedule sends a crashing request on for long, at any number of hosts") {
  for (const std::size_t hosts : {1U, 2U, 9U, 30U})
    play({.hosts = hosts}, 100 * hosts, seeds);
  play({.hosts = 300, .endpoints = 100, .poisons = 3, .length = time_ms{20000}}, 7, 2);
}

TEST_CASE("a crashing request is held back with lost messages, hosts cut off and restarts") {
  for (const std::size_t hosts : {2U, 9U, 30U})
    play({.hosts = hosts, .disturbed = true}, 1000 * hosts, seeds);
}

TEST_CASE("a crashing request is held back where one host has all the traffic") {
  play({.one_host_serves = true}, 31, seeds);
  play({.one_host_serves = true, .disturbed = true}, 41, seeds);
}

TEST_CASE("a crashing request is held back while endpoints die of other causes") {
  play({.outages = true}, 51, seeds);
  play({.outages = true, .resets = 3, .popular = true}, 61, seeds);
}

// Guards against refusals of harmless requests that ran on endpoints that died together.
TEST_CASE("no schedule of outages and rollouts refuses a harmless request") {
  play({.poisons = 0, .outages = true}, 71, 3 * seeds);
  play({.poisons = 0, .disturbed = true, .outages = true, .resets = 3, .popular = true}, 81,
       2 * seeds);
}

TEST_CASE("messages about crashing requests stay within their limit") {
  CHECK(play({.hosts = 9, .disturbed = true, .outages = true}, 91, 3).datagrams <= 408);
}

TEST_CASE("schedules find injected faults in the handling of crashing requests") {
  CHECK(play({}, 1, seeds, mutation::news_not_sent).late_sends > sends_after_promise);
  CHECK(play({.hosts = 2, .disturbed = true}, 1, 3 * seeds, mutation::no_records).late_sends >
        sends_after_promise);
  CHECK(play({.endpoints = 6, .poisons = 0, .outages = true}, 1, seeds, mutation::no_outages)
            .refused > 0);
}
