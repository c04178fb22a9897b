#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sedgechute::soak {

/// \brief An answer as far as it has come. Read without the product's own reader, which it checks.
struct received_answer {
  int status{};
  std::string mark; ///< of the endpoint
  std::string body;
  bool whole{};         ///< all of it is there
  bool closes{};        ///< no other answer follows on this connection
  std::size_t length{}; ///< bytes of all of it, when whole
};

/// \returns what the bytes of a connection hold; nothing before the header's end
[[nodiscard]] std::optional<received_answer> read_answer(std::string_view bytes);

/// \brief The events of a stream, which name the attempt that they belong to.
struct received_events {
  int count{};                  ///< whole events in order, from the first
  bool in_order{};              ///< nothing else came, but for the beginning of the next event
  bool cut{};                   ///< the last event is not whole
  std::set<std::string> builds; ///< of the endpoints that made the whole events
};

/// \param build  of the endpoint that makes the event; empty: it names none
[[nodiscard]] std::string event_text(const std::string& attempt, int id,
                                     const std::string& build = "");
/// \param first  id of the first event
[[nodiscard]] received_events read_events(std::string_view body, const std::string& attempt,
                                          int first = 1);

} // namespace sedgechute::soak
