#pragma once

#include "routing/impl/work_class.hpp"

namespace sedgechute {

/// \brief A request to enqueue.
struct queued_work {
  std::uint64_t ticket{}; ///< number assigned by the caller, unique in the queue
  work_class kind{work_class::standard};
  double cost{1.0}; ///< expected cost in tokens
  time_ms deadline; ///< latest start
};

/// \brief The request at the head of the queue.
struct queue_head {
  std::uint64_t ticket{};
  work_class kind{work_class::standard};
  bool beyond_share{}; ///< its team exceeds its share of an overloaded pool
  double excess{};     ///< how far the team exceeds its share, 0..1
  time_ms waited;
};

/// \brief Selects the requests that `head` and `dequeue` consider.
struct queue_filter {
  work_class last{work_class::long_running}; ///< least urgent class to consider
  bool beyond_share{true};                   ///< include teams beyond their share
};

/// \brief A started request. Pass it to `fair_queue::settle` when the request ends.
struct work_grant {
  std::uint64_t ticket{};
  std::uint32_t team_slot{};
  work_class kind{work_class::standard};
  double cost{}; ///< charged to the team so far
  bool beyond_share{};
  time_ms waited; ///< time in the queue
};

/// \brief Result of `fair_queue::enqueue`.
struct admission {
  bool admitted{};
  error_kind refusal{error_kind::internal}; ///< if not admitted
  time_ms retry_after;                      ///< if not admitted: shortest useful delay of a retry
  time_ms expected_wait;                    ///< if admitted
};

/// \brief Totals of a queue.
struct queue_figures {
  std::size_t queued{};
  double queued_cost{};
  std::size_t running{};
  double running_cost{};
  double rate{}; ///< cost started per second while requests waited; 0 if unknown
};

} // namespace sedgechute
