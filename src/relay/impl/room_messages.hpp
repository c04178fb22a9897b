#pragma once

#include "relay/impl/endpoint_directory.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sedgechute {

/// \brief Asks for room.
struct room_question {
  room_ask ask;
  std::string asked_by; ///< name of the host
};

struct room_answer {
  grant_id id{};
  time_ms pause; ///< 0: granted
};

/// \brief Requests that have ended.
struct room_end {
  std::vector<ended_request> ended; ///< at most `recent_ends::most`
};

/// \brief The requests of a host in flight at one endpoint.
struct room_renewal {
  std::uint64_t host{};
  endpoint_hash endpoint{};
  std::vector<grant_id> ids; ///< at most `max_renewed_ids`
};

using room_message = std::variant<room_question, room_answer, room_end, room_renewal>;

/// Ids that fit into an Ethernet frame.
inline constexpr std::size_t max_renewed_ids = 150;

[[nodiscard]] std::string encode(const room_message& message);
/// \returns nothing when the bytes are not a valid message
[[nodiscard]] std::optional<room_message> decode_room_message(std::string_view bytes);

} // namespace sedgechute
