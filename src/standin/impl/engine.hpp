#pragma once

#include "standin/impl/http_server.hpp"
#include "standin/impl/pacer.hpp"
#include "standin/impl/prefix_cache.hpp"
#include "standin/impl/prompt.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace sedgechute::standin {

/// \brief Settings of one engine. Paces are in milliseconds; 0 produces at once.
struct engine_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::vector<std::string> models{"lens-writer"};
  int max_running{16};
  double first_token_ms{40};
  double token_ms{10};
  double prefill_tokens_per_s{20'000}; ///< of prompt tokens that are not cached; 0: instant
  std::int64_t answer_tokens{96};      ///< answers have between half and one and a half of it
  std::int64_t kv_total_tokens{200'000};
  std::size_t cache_blocks{2048};
  std::int64_t load_lag_ms{200};
  std::int64_t event_delay_ms{300};
  std::int64_t abandoned_ms{10'000}; ///< a run nobody reads goes on for so long
};

enum class run_state { waiting, running, finished, cancelled, lost };

/// \brief One run: its tokens follow from the prompt, so only their count is kept.
struct engine_run {
  std::string id;
  prompt asked;
  int priority{0};
  std::uint64_t order{0};
  run_state state{run_state::waiting};
  std::int64_t length{0}; ///< tokens of the whole answer
  std::int64_t produced{0};
  std::int64_t cached_tokens{0};
  std::uint64_t readers_seen{0}; ///< changes when a reader comes, so an old farewell lapses
  int readers{0};
  std::condition_variable changed;
};

/// \brief What really happened to a request at this engine, over the engine's whole life.
struct run_account {
  std::string fingerprint;
  std::uint64_t runs{0};
  std::uint64_t joins{0};
  std::int64_t prompt_tokens{0};
  std::int64_t tokens{0};
  bool finished{false};
  bool cancelled{false};
};

/// \brief A model engine in miniature: continuous batching, a waiting queue by priority, a prefix
/// cache, resumable and cancellable runs, and orders with fencing.
class engine {
 public:
  engine(const engine_options& options, pacer& pace);
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;
  ~engine();

  [[nodiscard]] http_server& server() noexcept { return server_; }

 private:
  using run_ptr = std::shared_ptr<engine_run>;
  struct waiting_first {
    bool operator()(const run_ptr& a, const run_ptr& b) const noexcept {
      return a->priority != b->priority ? a->priority < b->priority : a->order < b->order;
    }
  };

  /// The pacer's tasks may outlive the engine; they hold this and find no owner.
  struct liveness {
    explicit liveness(engine* alive) noexcept : owner{alive} {}
    std::mutex mutex;
    engine* owner;
  };

  // Calls, in engine_calls.cpp.
  void handle(exchange& call);
  void complete(exchange& call);
  void resume(exchange& call, const std::string& id);
  void cancel(exchange& call, const std::string& id);
  void order(exchange& call);
  void send_events(exchange& call, const run_ptr& run, std::int64_t after);
  void send_whole(exchange& call, const run_ptr& run);
  bool send_ready(exchange& call, std::ostream& out, const run_ptr& run, std::int64_t& sent);
  [[nodiscard]] std::string load_text();
  [[nodiscard]] std::string stats_text();
  [[nodiscard]] bool serves(const std::string& model);

  // Runs; the lock is held.
  [[nodiscard]] run_ptr start_or_join(const std::string& id, prompt asked, int priority);
  void admit_waiting();
  void begin(const run_ptr& run);
  void produce(const run_ptr& run);
  void pace_next(const run_ptr& run, double after_ms);
  void end(const run_ptr& run, run_state how);
  void reader_left(const run_ptr& run);
  void forget_later(const run_ptr& run);
  void lose_everything();
  [[nodiscard]] run_account& account(const engine_run& run) { return accounts_[run.id]; }

  engine_options options_;
  pacer& pace_;
  mutable std::mutex mutex_;
  bool stopping_{false};
  std::unordered_map<std::string, run_ptr> runs_;
  std::set<run_ptr, waiting_first> waiting_;
  int running_{0};
  std::uint64_t next_order_{1};
  prefix_cache cache_;
  std::unordered_map<std::string, run_account> accounts_;
  std::uint64_t crashes_{0};
  std::uint64_t prompt_tokens_done_{0};
  std::uint64_t tokens_done_{0};
  std::string load_shown_;
  std::int64_t load_shown_ms_{0};
  std::uint64_t prompt_tokens_shown_{0};
  std::uint64_t tokens_shown_{0};
  std::set<std::string> models_;
  std::set<std::string> adapters_;
  std::string role_{"any"};
  std::uint64_t newest_fencing_{0};
  std::uint64_t orders_done_{0};
  std::uint64_t orders_refused_{0};
  std::shared_ptr<liveness> self_;
  http_server server_; ///< last: its threads use all of the above
};

} // namespace sedgechute::standin
