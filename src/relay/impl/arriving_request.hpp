#pragma once

#include "admission/admission.hpp"
#include "gateway/impl/request_header.hpp"
#include "intake/intake.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/fleet_config.hpp"
#include "relay/impl/message_head.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace sedgechute {

constexpr std::size_t max_header_fields = 200;

/// \brief Counts something until its destruction.
class in_flight_count {
 public:
  explicit in_flight_count(std::atomic<std::size_t>& of) : count_{of} { ++count_; }
  in_flight_count(const in_flight_count&) = delete;
  in_flight_count& operator=(const in_flight_count&) = delete;
  ~in_flight_count() { --count_; }

 private:
  std::atomic<std::size_t>& count_;
};

/// \brief A request of which perhaps not all bytes have arrived.
struct arriving_request {
  /// \param unanswered, busy  count it
  arriving_request(held_bytes& memory, time_ms now, std::atomic<std::size_t>& unanswered,
                   std::atomic<std::size_t>& busy)
      : held{memory.begin(held_message::body)}, progress{now}, unanswered_count{unanswered},
        busy_count{busy} {}

  held_bytes::guard held; ///< counts what has arrived of the header, then the body
  arrival_progress progress;
  std::optional<request_head> head; ///< once it is whole
  message_framing framing;
  std::size_t header_bytes{0}; ///< that have arrived
  std::string body;
  std::optional<chunk_decoder> chunks; ///< of a chunked body
  time_ms deadline;                    ///< for the part that arrives
  bool large_buffer{false};            ///< its connection has the receive buffer of large bodies
  in_flight_count unanswered_count;
  in_flight_count busy_count;
};

enum class arrival_state {
  arriving,
  header_arrived, ///< the header is whole; returned once, before any of the body is taken
  whole,
  no_room, ///< the memory for bodies is used up
};

struct arrival_terms {
  caller_limits limits;
  time_ms body_timeout;
  std::size_t framing_per_byte{chunk_bounds{}.framing_per_byte}; ///< of chunked bodies
  std::size_t max_fields{max_header_fields};
  std::function<bool()> evict{}; ///< \returns whether memory may have been freed; empty: never
};

/// \brief Takes the bytes in the buffer of a connection, without waiting for more.
/// \throws error `malformed_request`, `payload_too_large`
[[nodiscard]] arrival_state take_arrived(arriving_request& request, connection& link,
                                         const arrival_terms& terms);

/// \returns how much of a refused body may still arrive, in bytes
[[nodiscard]] std::size_t unread_bytes(const arriving_request& request,
                                       const caller_limits& limits) noexcept;

} // namespace sedgechute
