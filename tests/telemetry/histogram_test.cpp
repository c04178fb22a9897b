#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace sedgechute;

namespace {

/// The naive version: all values, sorted.
std::uint64_t exact(std::vector<std::uint64_t> values, double part) {
  std::ranges::sort(values);
  const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

bool close(std::uint64_t got, std::uint64_t wanted) {
  return got >= wanted && got - wanted <= wanted / 256;
}

} // namespace

TEST_CASE("quantiles are within a bucket's width of the exact ones, also after merging") {
  const bool holds = rc::check([] {
    const auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(0, 10'000'000'000ULL)));
    latency_histogram left;
    latency_histogram right;
    for (std::size_t i = 0; i < values.size(); ++i)
      (i % 3 == 0 ? left : right).record(values[i]);
    left.merge(right);
    RC_ASSERT(left.count() == values.size());
    RC_ASSERT(left.greatest() == *std::ranges::max_element(values));
    RC_ASSERT(left.least() == *std::ranges::min_element(values));
    for (const double part : {0.0, 0.5, 0.9, 0.99, 1.0})
      RC_ASSERT(close(left.quantile(part), exact(values, part)));
  });
  CHECK(holds);
}

TEST_CASE("an empty histogram answers zero") {
  const latency_histogram empty;
  CHECK(empty.quantile(0.99) == 0);
  CHECK(empty.least() == 0);
  CHECK(empty.mean() == 0.0);
}
