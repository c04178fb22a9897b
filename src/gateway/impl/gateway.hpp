#pragma once

#include "gateway/impl/answer_table.hpp"
#include "gateway/impl/chat_request.hpp"
#include "gateway/impl/endpoint_connections.hpp"
#include "gateway/impl/ports.hpp"

namespace sedgechute {

/// \brief Everything that the callers' API works with. The host owns the parts and outlives it.
struct gateway {
  host_id host;
  const clock& time;
  chat_limits limits;
  time_ms body_timeout{30000}; ///< for a whole request body
  host_port& status;
  access_port& access;
  budget_port& budgets;
  dispatch_port& dispatch;
  claim_port& claims;
  peer_answers_port& peers;
  endpoint_connections& connections;
  answer_table& answers;

  void note_internal_error(const std::string& what) const noexcept {
    status.note_internal_error(what);
  }
};

} // namespace sedgechute
