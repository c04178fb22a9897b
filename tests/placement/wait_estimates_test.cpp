#include "placement/placement.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace sedgechute;

// Guards against choosing by a figure that no longer holds.
TEST_CASE("an old figure gives way to the endpoint's own mean") {
  work_time_estimate estimate;
  CHECK(estimate.at(time_ms{0}) == 1);
  time_ms now{0};
  for (int i = 0; i < 40; ++i)
    estimate.note(i % 2 == 0 ? 100 : 200, now += time_ms{700});
  CHECK(estimate.at(now) == 2);
  CHECK(estimate.at(now + time_ms{300}) < 1.85);
  CHECK(estimate.at(now + time_ms{1000}) == doctest::Approx(1.5).epsilon(0.05));
}

// Guards against a machine that answers often in one slow moment and then counts as slow.
TEST_CASE("figures of one moment count once in the mean") {
  work_time_estimate estimate;
  time_ms now{0};
  for (int i = 0; i < 20; ++i)
    estimate.note(100, now += time_ms{700});
  for (int i = 0; i < 100; ++i)
    estimate.note(300, now += time_ms{1});
  CHECK(estimate.mean() < 1.2);
}

TEST_CASE("a figure far outside of what a machine can be is bounded") {
  work_time_estimate estimate;
  estimate.note(0, time_ms{0});
  CHECK(estimate.at(time_ms{0}) > 0);
  estimate.note(1e9, time_ms{1});
  CHECK(estimate.at(time_ms{1}) <= 8);
}

// Guards against a slow endpoint that gets as many requests as a fast one, and against one late
// answer that takes an endpoint out of use.
TEST_CASE("speed is learnt from answers, and one late answer changes little") {
  const service_times service{{10, 0, 0, 0}};
  endpoint_speed speed;
  CHECK(speed.factor(0.1, service) == 1);
  for (int i = 0; i < 40; ++i)
    speed.note(16, 10, 0.1, service);
  CHECK(speed.factor(0.1, service) == doctest::Approx(1.6).epsilon(0.1));
  speed.note(5000, 10, 0.1, service);
  CHECK(speed.factor(0.1, service) < 1.8);
}

TEST_CASE("an endpoint that slows down when nearly full counts as slow only then") {
  const service_times service{{10, 0, 0, 0}};
  endpoint_speed speed;
  for (int i = 0; i < 60; ++i) {
    speed.note(10, 10, 0.3, service);
    speed.note(20, 10, 1, service);
  }
  CHECK(speed.factor(0.3, service) == doctest::Approx(1).epsilon(0.1));
  CHECK(speed.factor(1, service) == doctest::Approx(2).epsilon(0.2));
}

// Guards against constants that fit one engine and are used for all.
TEST_CASE("the weights of a service are learnt from its answers") {
  service_times service{{5, 0.6, 60, 1.0 / 60}};
  const wait_weights truth{15, 0.2, 4, 1.0 / 92};
  random_source random{3};
  for (int i = 0; i < 2000; ++i) {
    const wait_terms met{random.unit() * 12, 6, random.unit() * 4000};
    service.note(met, truth.wait_ms(met) * (0.8 + 0.4 * random.unit()), 1);
  }
  for (const wait_terms met : {wait_terms{0, 6, 500}, wait_terms{3, 6, 3000}, wait_terms{12, 6, 0}})
    CHECK(service.weights().wait_ms(met) == doctest::Approx(truth.wait_ms(met)).epsilon(0.15));
}

// Guards against a report that hides what has been sent since, by this host and by those that do
// not tell it.
TEST_CASE("requests of hosts that tell nothing count as the endpoint's reports show") {
  const host_counts some{.all = 80, .heard = 20};
  CHECK(estimate_load({.here = 1, .elsewhere = 2}, some) == 12);
  CHECK(estimate_load({.here = 4, .elsewhere = 6, .hidden = 0}, {.all = 16, .heard = 16}) == 10);
  CHECK(estimate_load({.here = 1, .elsewhere = 1, .hidden = 9, .sent_since_report = 2}, some) ==
        17);
  hidden_load hidden;
  CHECK_FALSE(hidden.at(time_ms{0}).has_value());
  for (int i = 0; i < 40; ++i)
    hidden.note(i % 2 == 0 ? 4 : 14, 3, time_ms{i * 500});
  CHECK(*hidden.at(time_ms{39 * 500}) == doctest::Approx(11));
  CHECK(*hidden.at(time_ms{39 * 500 + 1000}) == doctest::Approx(6).epsilon(0.1));
}

// Guards against herding, and against leaving the cheapest endpoint without need.
TEST_CASE("many hosts spread over the cheapest, by free capacity; one host takes the cheapest") {
  random_source random{5};
  const std::array<choice_option, 4> options{choice_option{20, 1, 0}, choice_option{21, 2, 0},
                                             choice_option{20.5, 1, 10}, choice_option{40, 1, 0}};
  std::array<int, 4> chosen{};
  for (int i = 0; i < 1000; ++i) {
    CHECK(choose_among(options, 0, random)->chosen == 0);
    ++chosen.at(choose_among(options, 5, random)->chosen);
  }
  CHECK(chosen[0] > 500);
  CHECK(chosen[1] > 100);
  CHECK(chosen[2] == 0); // its prompt would have to be read again
  CHECK(chosen[3] == 0);
  CHECK_FALSE(choose_among({}, 5, random).has_value());
}
