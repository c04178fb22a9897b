#pragma once

#include "relay/impl/stream_builds.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sedgechute {

/// \brief Asks a host for the build that began a stream.
struct build_query {
  std::uint64_t id{};    ///< of the lookup
  std::uint8_t holder{}; ///< index of the asked host in the lookup
  stream_key stream{};
  std::string asked_by; ///< name of the host that asks
};

struct build_answer {
  std::uint64_t id{};
  std::uint8_t holder{};
  stream_build built_by;
};

using stream_build_message = std::variant<std::vector<stream_record>, build_query, build_answer>;

/// \returns the records as messages that each fit into an Ethernet frame
[[nodiscard]] std::vector<std::string> encode_records(const std::vector<stream_record>& records);
[[nodiscard]] std::string encode(const build_query& query);
[[nodiscard]] std::string encode(const build_answer& answer);
/// \returns nothing when the bytes are not a valid message
[[nodiscard]] std::optional<stream_build_message>
decode_stream_build_message(std::string_view bytes);

} // namespace sedgechute
