#include "gateway/impl/service_body.hpp"

#include "gateway/impl/caller_headers.hpp"

#include <algorithm>
#include <array>

namespace sedgechute {

namespace {

constexpr std::size_t replayable_bytes = 64 * 1024;
constexpr std::size_t block_bytes = 16 * 1024;

// A body may be of any length, but one that drips holds a place at an endpoint.
constexpr std::uint64_t least_bytes_per_second = 16 * 1024;

} // namespace

service_body::service_body(caller_exchange& exchange, time_ms allowance)
    : body_{exchange.body}, allowance_{allowance} {
  invite_body(exchange);
  body_.allow(allowance_);
  std::istream& in = body_.stream();
  std::array<char, block_bytes> block{};
  unfinished_requests& unfinished = body_.unfinished();
  held_bytes::guard held = unfinished.begin();
  while (start_.size() < replayable_bytes && in.peek() != std::istream::traits_type::eof()) {
    const std::size_t wanted = std::min(block.size(), replayable_bytes - start_.size());
    const std::streamsize got = in.readsome(block.data(), static_cast<std::streamsize>(wanted));
    unfinished.resize(held, start_.size() + static_cast<std::size_t>(got));
    start_.append(block.data(), static_cast<std::size_t>(got));
  }
  whole_ = start_.size() < replayable_bytes || in.peek() == std::istream::traits_type::eof();
  if (whole_)
    body_.require_whole();
}

std::uint64_t service_body::fingerprint() const {
  return mix_hash(stable_hash(start_), whole_ ? start_.size() : framing().bytes);
}

bool service_body::copy_rest(std::ostream& out) {
  if (whole_)
    return true;
  body_.allow(allowance_, least_bytes_per_second);
  std::istream& in = body_.stream();
  std::array<char, block_bytes> block{};
  while (in.peek() != std::istream::traits_type::eof()) {
    const std::streamsize got = in.readsome(block.data(), block.size());
    out.write(block.data(), got);
    out.flush();
    if (!out.good())
      return false;
  }
  return true;
}

} // namespace sedgechute
