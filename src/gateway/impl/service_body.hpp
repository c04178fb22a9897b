#pragma once

#include "gateway/impl/caller_api.hpp"

#include <cstdint>
#include <ostream>
#include <string>

namespace sedgechute {

/// \brief The body of a call to a plain service: its first part is kept, so that a call whose body
/// was short can be repeated; the rest is passed on as it comes.
class service_body {
 public:
  /// \brief Reads the first part, before anything is set aside for the call.
  /// \param allowance  time for the first part, and for the rest beyond its least speed
  /// \throws error `slow_caller` or `malformed_request`
  service_body(caller_exchange& exchange, time_ms allowance);

  [[nodiscard]] bool present() const noexcept { return body_.present(); }
  [[nodiscard]] bool replayable() const noexcept { return whole_; }
  [[nodiscard]] const std::string& start() const noexcept { return start_; }
  [[nodiscard]] const message_framing& framing() const noexcept { return body_.framing(); }
  /// \returns whether all that the caller meant to send was read.
  [[nodiscard]] bool arrived() const noexcept { return body_.state() == body_state::whole; }
  /// \returns a stable hash of the kept part and of the length, as far as it is known.
  [[nodiscard]] std::uint64_t fingerprint() const;

  /// \brief Passes on what is behind the kept part; a blocked endpoint blocks the caller in turn.
  /// \returns false when the endpoint does not take it
  [[nodiscard]] bool copy_rest(std::ostream& out);

  /// \throws error that says why the body did not arrive whole
  void require_whole() const { body_.require_whole(); }

 private:
  request_body& body_;
  time_ms allowance_;
  std::string start_;
  bool whole_{true};
};

} // namespace sedgechute
