#include "gateway/impl/request_body.hpp"

namespace sedgechute {

namespace {

constexpr std::size_t block_bytes = 16 * 1024;
constexpr std::int64_t ms_per_second = 1000;
constexpr time_ms default_allowance{30000};

} // namespace

request_body::request_body(caller_session& session, const message_framing& framing)
    : session_{session}, framing_{framing}, decoder_{*this, framing},
      allowed_until_{session.time().now() + default_allowance}, stream_{this} {}

void request_body::allow_until(time_ms deadline) noexcept {
  allowed_until_ = deadline;
  bytes_per_second_ = 0;
}

void request_body::allow(time_ms most, std::uint64_t bytes_per_second) {
  allowed_until_ = session_.time().now() + most;
  bytes_per_second_ = bytes_per_second;
  received_ = 0;
}

void request_body::require_whole() const {
  switch (decoder_.state()) {
  case body_state::whole:
    return;
  case body_state::slow:
    throw error{error_kind::slow_caller, "body", "not whole in time"};
  case body_state::malformed:
    throw error{error_kind::malformed_request, "body", "its chunks are not valid"};
  case body_state::open:
  case body_state::ended_early:
    break;
  }
  throw error{error_kind::malformed_request, "body", "it ended early"};
}

request_body::int_type request_body::underflow() {
  block_.resize(decoder_.state() == body_state::open ? block_bytes : 0);
  const std::size_t got = decoder_.read(block_.data(), block_.size());
  if (got == 0)
    return traits_type::eof();
  received_ += got;
  setg(block_.data(), block_.data(), block_.data() + got);
  return traits_type::to_int_type(block_.front());
}

time_ms request_body::deadline() const noexcept {
  if (bytes_per_second_ == 0)
    return allowed_until_;
  const auto seconds = static_cast<std::int64_t>(received_ / bytes_per_second_);
  return allowed_until_ + time_ms{seconds * ms_per_second};
}

} // namespace sedgechute
