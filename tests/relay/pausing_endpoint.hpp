#pragma once

#include "scripted_endpoint.hpp"

#include <string>

namespace sedgechute {

/// \returns a request for a stream that may be resumed
[[nodiscard]] std::string stream_request(const std::string& attempt,
                                         time_ms deadline = time_ms{1500},
                                         const std::string& more_fields = "");

/// \returns a script of streams that are silent for good after their first event
[[nodiscard]] scripted_endpoint::script silent_streams();
/// \returns a script that goes on with a stream behind its last event
[[nodiscard]] scripted_endpoint::script resumed_streams();

/// \returns whether a stream is complete, and has each of its three events once and in order
[[nodiscard]] bool has_all_events_once(const std::string& answer);

} // namespace sedgechute
