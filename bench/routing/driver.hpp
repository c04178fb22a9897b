#pragma once

#include "replica.hpp"

#include <functional>
#include <queue>

namespace sedgechute::bench {

/// \brief How a request ended for its caller.
enum class ending {
  open,     ///< not yet; at the end of a run: lost
  complete, ///< the whole answer
  refused,  ///< truthfully, before anything ran, or with what is known
  cut,      ///< part of the answer, then an explicit error
};

/// \brief One request's fate.
struct fate {
  ending end{ending::open};
  error_kind refusal{error_kind::internal};
  double first_token_ms{-1.0}; ///< since arrival
  double ended_at_ms{};
  std::uint32_t attempts{};
  std::uint32_t cached{};
  std::uint32_t answers{}; ///< ends told to the caller; more than one would be a fault
};

struct scenario {
  users who;
  engine_speed speed;
  double load{0.9}; ///< times capacity
  fault trouble{fault::none};
  double duration_ms{150'000.0};
  double measured_from_ms{40'000.0};
  double fault_at_ms{60'000.0};
  double lag_ms{2000.0};   ///< of load reports and cache events
  double lost_events{0.2}; ///< part of each second's cache events that are never delivered
  std::uint64_t seed{1};
};

class driver;

/// \brief What decides: one of the ways of routing under comparison.
class router {
 public:
  router() = default;
  router(const router&) = delete;
  router& operator=(const router&) = delete;
  virtual ~router() = default;

  virtual void arrived(driver& world, std::uint32_t request) = 0;
  virtual void first_token(driver& world, const run& r) = 0;
  virtual void completed(driver& world, const run& r) = 0;
  /// \param connected  false when no connection came about
  virtual void failed(driver& world, const run& r, bool connected) = 0;
  /// \brief Every 20 ms.
  virtual void tick(driver& world) = 0;
};

/// \brief Virtual time: arrivals in, replicas as queues, waiting times out.
class driver {
 public:
  explicit driver(const scenario& s);

  void play(router& way);

  [[nodiscard]] double now_ms() const noexcept { return now_; }
  [[nodiscard]] time_ms now() const noexcept { return time_ms{static_cast<std::int64_t>(now_)}; }
  [[nodiscard]] const scenario& setting() const noexcept { return scenario_; }
  [[nodiscard]] const std::vector<arrival>& arrivals() const noexcept { return arrivals_; }
  [[nodiscard]] const std::vector<fate>& fates() const noexcept { return fates_; }
  [[nodiscard]] std::vector<replica>& replicas() noexcept { return replicas_; }
  [[nodiscard]] const std::vector<replica>& replicas() const noexcept { return replicas_; }
  /// \returns tokens written, and prompt tokens read at their price, by second and team
  [[nodiscard]] const std::vector<std::vector<double>>& served() const noexcept { return served_; }
  [[nodiscard]] std::uint32_t crashes() const noexcept { return crashes_; }

  /// \brief Sends one attempt; its outcome comes back to the router.
  /// \returns the run's number
  std::uint32_t send(std::uint32_t request, std::uint32_t replica_number, std::uint32_t attempt,
                     std::uint32_t priority);
  void refuse(std::uint32_t request, error_kind kind);
  void cut(std::uint32_t request);
  void later(double wait_ms, std::function<void()> what);
  [[nodiscard]] bool is_open(std::uint32_t request) const {
    return fates_[request].end == ending::open;
  }
  [[nodiscard]] const run& run_of(std::uint32_t number) const { return runs_[number]; }

 private:
  struct event {
    double at{};
    std::uint64_t sequence{};
    std::function<void()> what;
    [[nodiscard]] bool operator<(const event& other) const noexcept {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void at(double when, std::function<void()> what);
  void end(std::uint32_t request, ending how);
  void place(replica& r, std::uint32_t run_number);
  void read_next(std::uint32_t replica_number);
  void start_writing(std::uint32_t run_number, std::uint64_t life);
  void finish(std::uint32_t run_number, std::uint64_t life);
  void crash(std::uint32_t replica_number, double down_ms);
  void count_service(std::uint32_t team, double from, double to, double tokens);
  void schedule_fault();
  void take_snapshots();

  scenario scenario_;
  random_source random_;
  std::vector<arrival> arrivals_;
  std::vector<fate> fates_;
  std::vector<replica> replicas_;
  std::vector<run> runs_;
  std::priority_queue<event> events_;
  std::vector<std::vector<double>> served_;
  router* way_{};
  double now_{};
  std::uint64_t sequence_{};
  std::uint32_t crashes_{};
};

/// \brief The replica that the faults strike.
inline constexpr std::uint32_t faulty_replica = 1;

/// \brief Price of a prompt token in tokens written.
inline constexpr double prompt_price = 0.15;

[[nodiscard]] inline double cost_of(const arrival& a, std::uint32_t cached, double output) {
  return (a.prompt_tokens - std::min(a.prompt_tokens, cached)) * prompt_price + output;
}

} // namespace sedgechute::bench
