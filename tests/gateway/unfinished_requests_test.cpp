#include "gateway/gateway.hpp"
#include "gateway/impl/unfinished_requests.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

class set_clock final : public sedgechute::clock {
 public:
  [[nodiscard]] time_ms now() const noexcept override { return now_; }
  void advance(time_ms span) { now_ = now_ + span; }

 private:
  time_ms now_{100000};
};

constexpr std::size_t mb = std::size_t{1} << 20U;

} // namespace

// Clients that stop in the middle must not keep others out, nor be closed without need.
TEST_CASE("a silent caller is evicted only while there is no room for others") {
  set_clock time;
  unfinished_requests unfinished{8 * mb, time_ms{2000}, time};
  bool waits = false;
  unfinished.set_waiting([&] { return waits; });
  const time_ms since = time.now();
  time.advance(time_ms{5000});
  CHECK_FALSE(unfinished.evicts(wait_stage::rest_of_request, since));
  waits = true;
  CHECK(unfinished.evicts(wait_stage::rest_of_request, since));
  CHECK_FALSE(unfinished.evicts(wait_stage::rest_of_request, time.now()));
  CHECK(unfinished.evicts(wait_stage::next_request, since));
  waits = false;
  held_bytes::guard body = unfinished.begin();
  unfinished.resize(body, 7 * mb);
  held_bytes::guard other = unfinished.begin();
  CHECK_THROWS_AS(unfinished.resize(other, mb), error);
  CHECK(unfinished.evicts(wait_stage::rest_of_request, since));
  CHECK_FALSE(unfinished.evicts(wait_stage::next_request, since)); // it holds no memory
  time.advance(time_ms{1000});
  CHECK_FALSE(unfinished.evicts(wait_stage::rest_of_request, since));
  CHECK(unfinished.evicted() == 3);
}

// Large bodies must not keep the small ones of ordinary callers out.
TEST_CASE("small bodies have a part of the room of unfinished requests to themselves") {
  set_clock time;
  unfinished_requests unfinished{8 * mb, time_ms{2000}, time};
  held_bytes::guard large = unfinished.begin();
  unfinished.resize(large, 7 * mb);
  held_bytes::guard small = unfinished.begin();
  unfinished.resize(small, 1000);
  CHECK(unfinished.held() == 7 * mb + 1000);
  large.release();
  small.release();
  CHECK(unfinished.held() == 0);
}
