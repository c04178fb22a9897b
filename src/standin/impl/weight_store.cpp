#include "standin/impl/weight_store.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute::standin {

namespace {

constexpr double minute_ms = 60'000.0;

std::int64_t now_ms() {
  return steady_clock{}.now().count();
}

} // namespace

weight_store::weight_store(const weight_options& options)
    : options_{options}, burst_{std::max(1.0, static_cast<double>(options.per_minute) / 10)},
      tokens_{burst_}, refilled_ms_{now_ms()}, server_{options.address,
                                                       [this](exchange& call) { handle(call); }} {}

std::int64_t weight_store::take() {
  const std::scoped_lock lock{mutex_};
  const std::int64_t now = now_ms();
  const double per_ms = static_cast<double>(options_.per_minute) / minute_ms;
  tokens_ = std::min(burst_, tokens_ + per_ms * static_cast<double>(now - refilled_ms_));
  refilled_ms_ = now;
  if (tokens_ < 1.0) {
    ++refused_;
    return static_cast<std::int64_t>(std::ceil((1.0 - tokens_) / per_ms));
  }
  tokens_ -= 1.0;
  ++fetches_;
  return 0;
}

void weight_store::handle(exchange& call) {
  if (call.path() == "/admin/stats") {
    const std::scoped_lock lock{mutex_};
    call.answer(200, "{\"fetches\":" + std::to_string(fetches_) +
                         ",\"refused\":" + std::to_string(refused_) + "}");
  } else if (call.path().rfind("/v1/weights/", 0) != 0 || call.method() != "GET") {
    call.answer(404, error_text("no such path"));
  } else if (const std::int64_t wait_ms = take(); wait_ms > 0) {
    call.set_header("Retry-After", std::to_string((wait_ms + 999) / 1000));
    call.answer(429, error_text("rate limit"));
  } else {
    call.answer(200, "{\"bytes\":" + std::to_string(options_.bytes) + "}");
  }
}

} // namespace sedgechute::standin
