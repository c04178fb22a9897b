#include "pausing_endpoint.hpp"

#include "relay_fixture.hpp"

namespace sedgechute {

using then = scripted_reply::then;

std::string stream_request(const std::string& attempt, time_ms deadline,
                           const std::string& more_fields) {
  return request_text("/stream/", attempt, "Model: m\r\nToken-Usage: 10,20\r\n" + more_fields,
                      "POST", attempt, deadline);
}

scripted_endpoint::script silent_streams() {
  return [](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::hang, ""};
  };
}

scripted_endpoint::script resumed_streams() {
  return [](const auto& request) {
    const auto last = request.head.fields.number("Last-Event-Id").value_or(0);
    std::string events;
    for (int id = static_cast<int>(last) + 1; id <= 3; ++id)
      events += event_chunk(id);
    return scripted_reply{stream_head(attempt_of(request)) + events + "0\r\n\r\n", then::keep, ""};
  };
}

bool has_all_events_once(const std::string& answer) {
  std::size_t last = 0;
  for (int id = 1; id <= 3; ++id) {
    const std::string event = "id: " + std::to_string(id) + "\n";
    const std::size_t at = answer.find(event);
    if (at == std::string::npos || at < last || answer.find(event, at + 1) != std::string::npos)
      return false;
    last = at;
  }
  return ends_in_order(answer);
}

} // namespace sedgechute
