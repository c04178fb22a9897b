#pragma once

#include "gateway/impl/body_decoder.hpp"
#include "gateway/impl/caller_session.hpp"

#include <cstdint>
#include <istream>
#include <streambuf>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief The body of a caller's request, read as a stream without its transfer coding. The stream
/// ends with the body or with its first fault; only `state` tells which.
class request_body final : private std::streambuf, private byte_source {
 public:
  request_body(caller_session& session, const message_framing& framing);
  request_body(const request_body&) = delete;
  request_body& operator=(const request_body&) = delete;
  ~request_body() override = default;

  /// \brief Bounds the time for what is still to come.
  void allow_until(time_ms deadline) noexcept;
  /// \brief Bounds the time for what is still to come.
  /// \param most              from now
  /// \param bytes_per_second  each so many bytes extend it by a second; 0 for a fixed bound
  void allow(time_ms most, std::uint64_t bytes_per_second = 0);

  [[nodiscard]] std::istream& stream() noexcept { return stream_; }
  [[nodiscard]] body_state state() const noexcept { return decoder_.state(); }
  [[nodiscard]] bool present() const noexcept {
    return framing_.body == body_framing::chunked || framing_.bytes > 0;
  }
  [[nodiscard]] const message_framing& framing() const noexcept { return framing_; }
  [[nodiscard]] unfinished_requests& unfinished() noexcept { return session_.unfinished(); }

  /// \throws error that says why the stream ended, unless the body is whole
  void require_whole() const;

 private:
  int_type underflow() override;
  [[nodiscard]] int next_byte() override { return session_.next_byte(deadline()); }
  [[nodiscard]] std::size_t read_some(char* into, std::size_t most) override {
    return session_.read_some(into, most, deadline());
  }
  [[nodiscard]] time_ms deadline() const noexcept;

  caller_session& session_;
  message_framing framing_;
  body_decoder decoder_;
  std::uint64_t received_{0};
  time_ms allowed_until_;
  std::uint64_t bytes_per_second_{0};
  std::vector<char> block_;
  std::istream stream_;
};

} // namespace sedgechute
