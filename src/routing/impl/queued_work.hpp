#pragma once

#include "routing/impl/work_class.hpp"

namespace sedgechute {

/// \brief One request as the queue sees it.
struct queued_work {
  std::uint64_t ticket{}; ///< the caller's number for it, unique in the queue
  work_class kind{work_class::standard};
  double cost{1.0}; ///< expected cost in tokens
  time_ms deadline; ///< latest useful start
};

/// \brief The request that would start next.
struct queue_head {
  std::uint64_t ticket{};
  work_class kind{work_class::standard};
  bool beyond_share{}; ///< its team takes more than its share of a pool that is short
  double excess{};     ///< how far, 0..1
  time_ms waited;
};

/// \brief Which requests `head` and `dequeue` consider.
struct queue_filter {
  work_class last{work_class::long_running}; ///< the least urgent class
  bool beyond_share{true};                   ///< teams beyond their share, too
};

/// \brief A request that may go to an endpoint now. Keep it and hand it to `fair_queue::settle`.
struct work_grant {
  std::uint64_t ticket{};
  std::uint32_t team_slot{};
  work_class kind{work_class::standard};
  double cost{}; ///< what the team was charged so far
  bool beyond_share{};
  time_ms waited; ///< time in the queue
};

/// \brief The queue's answer to a new request, given at once.
struct admission {
  bool admitted{};
  error_kind refusal{error_kind::internal}; ///< when not admitted
  time_ms retry_after;                      ///< when not admitted: least wait worth trying again
  time_ms expected_wait;                    ///< when admitted
};

/// \brief What a queue can tell of itself.
struct queue_figures {
  std::size_t queued{};
  double queued_cost{};
  std::size_t running{};
  double running_cost{};
  double rate{}; ///< cost started per second while there was a queue; 0 when not known yet
};

} // namespace sedgechute
