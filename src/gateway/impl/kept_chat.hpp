#pragma once

#include "gateway/impl/answer.hpp"
#include "gateway/impl/ports.hpp"

namespace sedgechute {

/// \returns a whole answer as the JSON object that a caller without streaming gets.
[[nodiscard]] std::string answer_json(const answer_summary& summary, const model_id& model,
                                      const std::string& content);

/// \brief Plays a kept answer to a retry, as one event and its end. An answer that was too long to
/// be kept is refused as such.
void replay_chat(const kept_answer& kept, const request_id& id, answer_sink& sink);

/// \returns usage as the JSON object of the engines' protocol.
[[nodiscard]] std::string usage_json(const token_usage& usage);

} // namespace sedgechute
