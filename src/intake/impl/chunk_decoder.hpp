#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sedgechute {

enum class chunk_state {
  arriving,         ///< more bytes are needed
  whole,            ///< the last chunk and the trailer have been read
  malformed,        ///< the bytes are no chunked body
  too_large,        ///< the body exceeds its maximum
  excessive_framing ///< sizes, extensions and trailer exceed their bound
};

template <>
struct enum_names<chunk_state> {
  static constexpr auto entries =
      enum_table<chunk_state>({{chunk_state::arriving, "arriving"},
                               {chunk_state::whole, "whole"},
                               {chunk_state::malformed, "malformed"},
                               {chunk_state::too_large, "too_large"},
                               {chunk_state::excessive_framing, "excessive_framing"}});
};

struct chunk_bounds {
  std::size_t body_bytes{};
  std::size_t framing_bytes{64 * 1024}; ///< of sizes, extensions and trailer, for an empty body
  std::size_t framing_per_byte{16};     ///< beyond it, for each byte of the body
};

/// \brief Decodes a chunked body from bytes in pieces of any size.
class chunk_decoder {
 public:
  explicit chunk_decoder(const chunk_bounds& bounds) noexcept : bounds_{bounds} {}

  /// \brief Decodes bytes up to the end of the body.
  /// \param into  gets the decoded bytes
  /// \returns how many of `bytes` belong to the body; less than all only when it has ended
  [[nodiscard]] std::size_t decode(std::string_view bytes, std::string& into);

  [[nodiscard]] chunk_state state() const noexcept { return state_; }

 private:
  enum class part { size, data, data_end, trailer };

  /// \brief Takes one byte of the framing.
  void take_framing(char byte);
  void end_line();
  void end_size();
  void fail() noexcept { state_ = chunk_state::malformed; }

  chunk_bounds bounds_;
  chunk_state state_{chunk_state::arriving};
  part at_{part::size};
  std::uint64_t left_{0};     ///< of the chunk
  std::size_t digits_{0};     ///< of its size
  std::size_t line_bytes_{0}; ///< of the line that is being read, without its end
  std::size_t lines_{0};      ///< of the trailer
  std::uint64_t body_{0};     ///< bytes decoded
  std::uint64_t framing_{0};  ///< bytes of framing read
  bool extension_{false};     ///< in the extension of a chunk
  bool line_ending_{false};   ///< a CR has been read
};

} // namespace sedgechute
