#include "pool/impl/own_policies.hpp"

#include "pool/impl/shipped_policy.hpp"

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <unordered_map>

namespace sedgechute::pool {

namespace {

constexpr time_ms starts_kept{25'000}; // as long as the shipped policy believes in a start

std::uint32_t hosts_of(const deployment& of) {
  std::uint32_t count = 0;
  for (const zone& at : of.zones)
    count += at.hosts;
  return count;
}

bool avoided(const open_request& request, std::uint32_t engine) {
  return std::find(request.avoid.begin(), request.avoid.end(), engine) != request.avoid.end();
}

/// \returns the engine of least cost, beginning the search at `first`
std::optional<chosen_engine> cheapest(const open_request& request, std::size_t engines,
                                      std::size_t first,
                                      const std::function<double(std::uint32_t)>& cost) {
  std::optional<chosen_engine> best;
  double least = 0;
  for (std::size_t i = 0; i < engines; ++i) {
    const auto engine = static_cast<std::uint32_t>((first + i) % engines);
    if (avoided(request, engine))
      continue;
    const double costs = cost(engine);
    if (best && costs >= least)
      continue;
    best = chosen_engine{engine, std::nullopt};
    least = costs;
  }
  return best;
}

/// \brief A policy that neither tells other hosts anything nor asks engines.
class silent_policy : public placement_policy {
 public:
  void now_is(double at_ms) override { now_ms_ = at_ms; }
  void started(const open_request& /*request*/, engine_load /*load*/) override {}
  void ended(const open_request& /*request*/, send_end /*how*/, bool /*started*/) override {}
  void poll(std::uint32_t /*host*/, std::span<const engine_view> /*engines*/) override {}
  std::vector<std::string> due_messages(std::uint32_t /*host*/) override { return {}; }
  void take_message(std::uint32_t /*host*/, const std::string& /*bytes*/) override {}

 protected:
  [[nodiscard]] double now_ms() const noexcept { return now_ms_; }

 private:
  double now_ms_{0};
};

class round_robin_policy final : public silent_policy {
 public:
  round_robin_policy(std::uint32_t hosts, random_source random) : next_(hosts) {
    for (std::size_t& at : next_)
      at = random.below(1U << 16U);
  }

  std::optional<chosen_engine> choose(const open_request& request,
                                      std::span<const engine_view> engines) override {
    return cheapest(request, engines.size(), next_.at(request.what->host)++,
                    [](std::uint32_t) { return 0.0; });
  }

 private:
  std::vector<std::size_t> next_;
};

class least_outstanding_policy final : public silent_policy {
 public:
  least_outstanding_policy(std::uint32_t hosts, std::uint32_t engines, random_source random)
      : open_(hosts, std::vector<std::uint32_t>(engines)), random_{random} {}

  std::optional<chosen_engine> choose(const open_request& request,
                                      std::span<const engine_view> engines) override {
    std::vector<std::uint32_t>& open = open_.at(request.what->host);
    const auto chosen = cheapest(request, engines.size(), random_.below(engines.size()),
                                 [&](std::uint32_t engine) { return open[engine]; });
    if (!chosen)
      return chosen;
    ++open[chosen->engine];
    at_[request.number] = chosen->engine;
    return chosen;
  }

  void ended(const open_request& request, send_end /*how*/, bool /*started*/) override {
    --open_.at(request.what->host)[at_.at(request.number)];
    at_.erase(request.number);
  }

 private:
  std::vector<std::vector<std::uint32_t>> open_; ///< by host and engine
  std::unordered_map<std::uint32_t, std::uint32_t> at_;
  random_source random_;
};

/// \brief The wait that a host expects from what engines report and from what it sent itself.
class prefix_policy final : public silent_policy {
 public:
  prefix_policy(const deployment& of, random_source random)
      : sheet_{of.sheet}, hosts_(hosts_of(of), host{of.engines}), random_{random} {}

  std::optional<chosen_engine> choose(const open_request& request,
                                      std::span<const engine_view> engines) override {
    host& at = hosts_.at(request.what->host);
    const time_ms now{static_cast<std::int64_t>(now_ms())};
    const auto starts = shared_prefixes(request.what->terms);
    const auto unread = [&](std::uint32_t engine) {
      return request.what->prompt_tokens - at.starts.tokens_at(starts, engine, now);
    };
    const auto chosen =
        cheapest(request, engines.size(), random_.below(engines.size()), [&](std::uint32_t engine) {
          return wait_at(at, engine) +
                 static_cast<double>(unread(engine)) / sheet_.tokens_read_a_ms;
        });
    if (!chosen)
      return chosen;
    at_[request.number] = {chosen->engine, unread(chosen->engine)};
    at.open[chosen->engine] += 1;
    at.unread[chosen->engine] += unread(chosen->engine);
    at.sent_since[chosen->engine] += 1;
    for (const prompt_prefix& start : starts)
      at.starts.note({start.hash, chosen->engine}, now);
    return chosen;
  }

  void started(const open_request& request, engine_load /*load*/) override {
    const sent& one = at_.at(request.number);
    hosts_.at(request.what->host).unread[one.engine] -= one.unread;
  }

  void ended(const open_request& request, send_end /*how*/, bool started) override {
    const sent one = at_.at(request.number);
    host& at = hosts_.at(request.what->host);
    at.open[one.engine] -= 1;
    if (!started)
      at.unread[one.engine] -= one.unread;
    at_.erase(request.number);
  }

  void poll(std::uint32_t host_number, std::span<const engine_view> engines) override {
    host& at = hosts_.at(host_number);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      at.told[i] = engines[i].told;
      at.sent_since[i] = 0;
    }
  }

 private:
  struct host {
    explicit host(std::uint32_t engines)
        : open(engines), unread(engines), told(engines), sent_since(engines), starts{starts_kept} {}
    std::vector<std::uint64_t> open;
    std::vector<std::uint64_t> unread;
    std::vector<engine_load> told;
    std::vector<std::uint64_t> sent_since;
    prefix_index starts;
  };
  struct sent {
    std::uint32_t engine{};
    std::uint64_t unread{};
  };

  // Of the prompts that wait there by its report nothing is known but a usual length.
  [[nodiscard]] double wait_at(const host& at, std::uint32_t engine) const {
    constexpr double usual_prompt = 2500;
    const engine_load& told = at.told[engine];
    const auto running = static_cast<double>(std::max<std::uint64_t>(
        at.open[engine], told.running + told.waiting + at.sent_since[engine]));
    const double unread =
        std::max(static_cast<double>(at.unread[engine]), told.waiting * usual_prompt);
    return running * sheet_.step_ms_each_running + unread / sheet_.tokens_read_a_ms;
  }

  engine_sheet sheet_;
  std::vector<host> hosts_;
  std::unordered_map<std::uint32_t, sent> at_;
  random_source random_;
};

/// \brief Sees every engine as it is, and all that is on the way to it.
class oracle_policy final : public silent_policy {
 public:
  explicit oracle_policy(random_source random) : random_{random} {}

  std::optional<chosen_engine> choose(const open_request& request,
                                      std::span<const engine_view> engines) override {
    return cheapest(request, engines.size(), random_.below(engines.size()),
                    [&](std::uint32_t engine) { return cost(*request.what, engines[engine]); });
  }

 private:
  // Its own wait, and the wait that its reading costs each request that runs there.
  [[nodiscard]] static double cost(const arrival& what, const engine_view& at) {
    constexpr int all = 9;
    const engine& state = *at.state;
    const engine_sheet& sheet = state.sheet();
    const auto kept = static_cast<double>(state.kept_tokens(what.pieces));
    const double missing = what.prompt_tokens - kept;
    const auto before = static_cast<double>(state.unread_before(all) + at.unread_on_the_way);
    const engine_load load = state.load();
    const double others = static_cast<double>(load.running + load.waiting + at.on_the_way);
    const double reading = missing / sheet.tokens_read_a_ms;
    double cost = before / sheet.tokens_read_a_ms + reading + others * sheet.step_ms_each_running;
    cost += reading * others * harm_to_one;
    const auto room = static_cast<double>(state.memory().capacity() - state.memory().held());
    const bool full = missing + before > room || others >= sheet.batch;
    return (full ? cost + full_ms : cost) * state.slowness();
  }

  static constexpr double harm_to_one = 0.1; ///< a longer pause is less than a later first event
  static constexpr double full_ms = 1000;    ///< until places or memory are free again

  random_source random_;
};

} // namespace

std::unique_ptr<placement_policy> make_policy(policy_kind kind, const deployment& of,
                                              const choice_weights& weights, std::uint64_t seed) {
  const random_source random{mix_hash(seed, static_cast<std::uint64_t>(kind) + 1)};
  switch (kind) {
  case policy_kind::shipped:
    return std::make_unique<shipped_policy>(of, weights, seed);
  case policy_kind::round_robin:
    return std::make_unique<round_robin_policy>(hosts_of(of), random);
  case policy_kind::least_outstanding:
    return std::make_unique<least_outstanding_policy>(hosts_of(of), of.engines, random);
  case policy_kind::prefix_least_wait:
    return std::make_unique<prefix_policy>(of, random);
  case policy_kind::oracle:
    return std::make_unique<oracle_policy>(random);
  }
  throw std::logic_error{"no such policy"};
}

} // namespace sedgechute::pool
