#include "telemetry/impl/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sedgechute {

namespace {

constexpr unsigned linear_bits = 8;
constexpr std::uint64_t linear = std::uint64_t{1} << linear_bits;

// Values below `linear` have a bucket each. Above, the leading bit picks a group and the
// `linear_bits` bits after it the bucket in the group.
std::size_t bucket_of(std::uint64_t value) noexcept {
  if (value < linear)
    return value;
  const auto shift = static_cast<unsigned>(std::bit_width(value)) - 1 - linear_bits;
  return (shift + 1) * linear + ((value >> shift) - linear);
}

std::uint64_t greatest_in(std::size_t bucket) noexcept {
  if (bucket < linear)
    return bucket;
  const std::uint64_t shift = bucket / linear - 1;
  const std::uint64_t base = linear + bucket % linear;
  return ((base + 1) << shift) - 1;
}

} // namespace

void latency_histogram::record(std::uint64_t value, std::uint64_t times) {
  if (times == 0)
    return;
  const std::size_t bucket = bucket_of(value);
  if (bucket >= buckets_.size())
    buckets_.resize(bucket + 1);
  buckets_[bucket] += times;
  count_ += times;
  least_ = std::min(least_, value);
  greatest_ = std::max(greatest_, value);
  sum_ += static_cast<double>(value) * static_cast<double>(times);
}

void latency_histogram::merge(const latency_histogram& other) {
  if (other.buckets_.size() > buckets_.size())
    buckets_.resize(other.buckets_.size());
  for (std::size_t i = 0; i < other.buckets_.size(); ++i)
    buckets_[i] += other.buckets_[i];
  count_ += other.count_;
  least_ = std::min(least_, other.least_);
  greatest_ = std::max(greatest_, other.greatest_);
  sum_ += other.sum_;
}

double latency_histogram::mean() const noexcept {
  return count_ == 0 ? 0.0 : sum_ / static_cast<double>(count_);
}

std::uint64_t latency_histogram::quantile(double part) const noexcept {
  if (count_ == 0)
    return 0;
  const double wanted = std::ceil(std::clamp(part, 0.0, 1.0) * static_cast<double>(count_));
  const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen >= rank)
      return std::clamp(greatest_in(i), least_, greatest_);
  }
  return greatest_;
}

} // namespace sedgechute
