#pragma once

#include "kernel/impl/enum_names.hpp"

#include <mutex>

namespace sedgechute {

/// \brief The lock order, stated here and nowhere else: a thread may take a lock only of a higher
/// rank than every lock it holds.
enum class lock_rank {
  lifecycle,   ///< start, drain and stop of the daemon
  answers,     ///< table of retained answers
  requests,    ///< one request or answer
  documents,   ///< contracts and fleet settings in force
  claims,      ///< idempotency keys
  budgets,     ///< ledger, delegations, reservations
  membership,  ///< hosts alive
  queues,      ///< waiting requests by pool and team
  endpoints,   ///< load, health and connections of endpoints
  outbox,      ///< messages and log records on their way out
  credentials, ///< keys and certificates in use
  telemetry,   ///< metrics, events, rate-limited logs
  worker_pool, ///< tasks waiting for a worker
};

template <>
struct enum_names<lock_rank> {
  static constexpr auto entries = enum_table<lock_rank>({{lock_rank::lifecycle, "lifecycle"},
                                                         {lock_rank::answers, "answers"},
                                                         {lock_rank::requests, "requests"},
                                                         {lock_rank::documents, "documents"},
                                                         {lock_rank::claims, "claims"},
                                                         {lock_rank::budgets, "budgets"},
                                                         {lock_rank::membership, "membership"},
                                                         {lock_rank::queues, "queues"},
                                                         {lock_rank::endpoints, "endpoints"},
                                                         {lock_rank::outbox, "outbox"},
                                                         {lock_rank::credentials, "credentials"},
                                                         {lock_rank::telemetry, "telemetry"},
                                                         {lock_rank::worker_pool, "worker_pool"}});
};

/// \brief A mutex with a rank. In checked builds, taking one out of order throws
/// `std::logic_error` before it blocks, so a deadlock shows in any run that merely could have it.
class ordered_mutex {
 public:
  explicit ordered_mutex(lock_rank rank) noexcept : rank_{rank} {}
  ordered_mutex(const ordered_mutex&) = delete;
  ordered_mutex& operator=(const ordered_mutex&) = delete;
  ~ordered_mutex() = default;

  void lock();
  [[nodiscard]] bool try_lock();
  void unlock() noexcept;

 private:
  lock_rank rank_;
  std::mutex mutex_;
};

} // namespace sedgechute
