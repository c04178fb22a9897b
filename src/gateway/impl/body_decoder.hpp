#pragma once

#include "gateway/impl/request_header.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sedgechute {

/// \brief What a body is read from.
class byte_source {
 public:
  byte_source() = default;
  byte_source(const byte_source&) = delete;
  byte_source& operator=(const byte_source&) = delete;
  virtual ~byte_source() = default;

  /// \returns the next byte, or a negative number at the connection's end.
  /// \throws error `slow_caller`, or whatever tells that the connection failed
  [[nodiscard]] virtual int next_byte() = 0;

  /// \brief Reads what has arrived, waiting for at least one byte.
  /// \returns the bytes read; 0 at the connection's end
  /// \throws as `next_byte`
  [[nodiscard]] virtual std::size_t read_some(char* into, std::size_t most) = 0;
};

enum class body_state {
  open,        ///< more is to come
  whole,       ///< it was read to its end
  ended_early, ///< the connection ended in the middle
  malformed,   ///< its chunks are not valid
  slow         ///< it did not come in time
};

template <>
struct enum_names<body_state> {
  static constexpr auto entries = enum_table<body_state>({{body_state::open, "open"},
                                                          {body_state::whole, "whole"},
                                                          {body_state::ended_early, "ended_early"},
                                                          {body_state::malformed, "malformed"},
                                                          {body_state::slow, "slow"}});
};

/// \brief Reads a body without its transfer coding and tells how it ended. Poco's streams end alike
/// with a whole body, a bad chunk and a lost connection.
class body_decoder {
 public:
  body_decoder(byte_source& source, const message_framing& framing);

  /// \brief Reads what has arrived, waiting for at least one byte.
  /// \returns the bytes read; 0 at the body's end or its first fault, of which `state` tells
  [[nodiscard]] std::size_t read(char* into, std::size_t most);

  [[nodiscard]] body_state state() const noexcept { return state_; }

 private:
  [[nodiscard]] std::size_t decode(char* into, std::size_t most);
  [[nodiscard]] std::size_t decode_chunked(char* into, std::size_t most);
  [[nodiscard]] std::size_t decode_until_close(char* into, std::size_t most);
  [[nodiscard]] std::size_t take(char* into, std::size_t most);
  void open_chunk();
  void read_trailer();
  void expect_line_end();
  [[nodiscard]] std::string read_line();
  [[nodiscard]] char read_byte();

  byte_source& source_;
  body_framing framing_;
  body_state state_;
  std::uint64_t left_; ///< of the body, or of the chunk
  bool in_chunk_{false};
};

} // namespace sedgechute
