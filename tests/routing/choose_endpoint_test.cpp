#include "routing/routing.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

const pool_id lm{"lm"};
const data_centre_id here{"hf-a"};
const data_centre_id there{"kop-b"};

endpoint_id name(int i) {
  return endpoint_id{std::string{"lm-"}.append(std::to_string(i))};
}

load_report idle_report() {
  load_report report;
  report.max_running = 32;
  report.prompt_tokens_per_s = 10000.0;
  report.tokens_per_s = 1000.0;
  report.models = {{model_id{"sedge-large"}, "3"}};
  return report;
}

struct fleet {
  endpoint_table table;
  random_source random{7};

  explicit fleet(int endpoints, int far = 0) {
    for (int i = 0; i < endpoints; ++i) {
      table.add({name(i), lm, i < endpoints - far ? here : there});
      table.apply_report(name(i), idle_report(), time_ms{0});
    }
  }

  void report(int i, std::uint32_t running, time_ms now) {
    load_report report = idle_report();
    report.running = running;
    table.apply_report(name(i), report, now);
  }

  [[nodiscard]] std::optional<route_choice> choose(const route_need& need, time_ms now) {
    return choose_endpoint(table, need, here, random, now);
  }
};

route_need plain(std::uint32_t prompt = 200) {
  route_need need;
  need.pool = lm;
  need.prompt_tokens = prompt;
  return need;
}

std::vector<std::uint64_t> blocks(std::uint64_t seed, std::size_t count) {
  std::vector<std::uint64_t> chain;
  std::uint64_t last = 0;
  for (std::size_t i = 0; i < count; ++i)
    chain.push_back(last = mix_hash(last, seed + i));
  return chain;
}

} // namespace

TEST_SUITE("choice of endpoint") {
  TEST_CASE("requests sent since the last report count, so a stale report causes no herding") {
    // One replica was idle when it last reported. If the choice used the report alone, all new
    // requests would go to this replica until its next report, for two seconds.
    fleet f{4};
    for (int i = 1; i < 4; ++i)
      f.report(i, 8, time_ms{0});
    std::map<std::uint32_t, int> sent;
    for (int i = 0; i < 48; ++i) {
      const auto choice = f.choose(plain(), time_ms{i});
      (void)f.table.start(*choice, plain(), time_ms{i});
      ++sent[choice->slot];
    }
    CHECK(sent[0] <= 24);
    CHECK(sent.size() == 4);
  }

  TEST_CASE("a report replaces the requests counted before it was taken, not those after") {
    load_estimate load;
    load.started(0, 100, 100_ms);
    load.started(0, 100, 900_ms);
    load_report report = idle_report();
    report.running = 5;
    report.age = 500_ms;
    load.apply(report, 1000_ms);
    CHECK(load.at_endpoint() == doctest::Approx(6.0));
    load_report older = report;
    older.running = 30;
    older.age = 900_ms;
    load.apply(older, 1001_ms);
    CHECK(load.at_endpoint() == doctest::Approx(6.0));
  }

  TEST_CASE("a leaving endpoint gets no new work from the moment it is marked") {
    fleet f{5};
    f.table.set_leaving(name(2), true);
    for (int i = 0; i < 500; ++i)
      CHECK(f.choose(plain(), time_ms{i})->endpoint != name(2));
    // It gets none even if no other endpoint is left.
    for (int i : {0, 1, 3, 4})
      f.table.set_leaving(name(i), true);
    CHECK_FALSE(f.choose(plain(), 1_s).has_value());
  }

  TEST_CASE("only endpoints that have the model, version, adapter and role are chosen") {
    fleet f{30};
    load_report special = idle_report();
    special.models.push_back({model_id{"sedge-small"}, "1"});
    special.adapters = {"frames"};
    special.role = endpoint_role::decode;
    f.table.apply_report(name(11), special, 1_ms);
    route_need need = plain();
    need.model = {model_id{"sedge-small"}, ""};
    CHECK(f.choose(need, 2_ms)->endpoint == name(11));
    need.model = {};
    need.adapter = "frames";
    CHECK(f.choose(need, 2_ms)->endpoint == name(11));
    need.role = endpoint_role::prefill;
    CHECK_FALSE(f.choose(need, 2_ms).has_value());
    need.role = endpoint_role::any;
    need.model = {model_id{"sedge-large"}, "4"};
    CHECK_FALSE(f.choose(need, 2_ms).has_value());
    f.table.apply_report(name(11), idle_report(), 3_ms);
    need.model = {};
    CHECK_FALSE(f.choose(need, 4_ms).has_value());
  }

  TEST_CASE("the next turn of a conversation goes to the endpoint that cached the last one") {
    fleet f{20};
    const auto turns = blocks(1, 12);
    route_need need = plain(2000);
    need.blocks = std::span{turns}.first(8);
    const auto first = f.choose(need, time_ms{0});
    auto attempt = f.table.start(*first, need, time_ms{0});
    f.table.first_token(attempt, 200_ms);
    f.table.end(attempt, need, {attempt_outcome::completed, 50, 0U}, 2_s);
    need.blocks = turns;
    need.prompt_tokens = 3000;
    const auto next = f.choose(need, 5_s);
    CHECK(next->slot == first->slot);
    CHECK(next->reason == choice_reason::cached);
    CHECK(next->predicted_cached > 1500);
  }

  TEST_CASE("a cached prefix does not outweigh a long queue") {
    fleet f{20};
    const auto chain = blocks(1, 4);
    route_need need = plain(1000);
    need.blocks = chain;
    const auto first = f.choose(need, time_ms{0});
    (void)f.table.start(*first, need, time_ms{0});
    load_report busy = idle_report();
    busy.running = 32;
    busy.waiting = 40;
    f.table.apply_report(first->endpoint, busy, 1_s);
    CHECK(f.choose(need, 1_s)->slot != first->slot);
  }

  TEST_CASE("predicted hits decrease with age, and faster after cache misses") {
    fleet f{3};
    const auto chain = blocks(1, 8);
    route_need need = plain(2000);
    need.blocks = chain;
    f.table.apply_cache_event(name(0), chain.back(), true, time_ms{0});
    const auto fresh = f.choose(need, 1_s);
    const auto old = f.choose(need, 100_s);
    CHECK(fresh->endpoint == name(0));
    CHECK(old->predicted_cached < fresh->predicted_cached);
    for (int i = 0; i < 5; ++i) {
      auto attempt = f.table.start(*fresh, need, 1_s);
      f.table.first_token(attempt, 2_s);
      f.table.end(attempt, need, {attempt_outcome::completed, 10, 0U}, 3_s);
    }
    const auto denied = f.choose(need, 103_s);
    CHECK(denied->predicted_cached * 2 < old->predicted_cached);
  }

  TEST_CASE("an eviction event removes a predicted hit, and missed events lower the prediction") {
    fleet f{3};
    const auto chain = blocks(1, 1);
    route_need need = plain(256);
    need.blocks = chain;
    f.table.apply_cache_event(name(1), chain[0], true, time_ms{0});
    const auto before = f.choose(need, 10_s)->predicted_cached;
    f.table.note_cache_gap(name(1), 100);
    CHECK(f.choose(need, 10_s)->predicted_cached < before);
    f.table.apply_cache_event(name(1), chain[0], false, 11_s);
    CHECK(f.choose(need, 11_s)->reason != choice_reason::cached);
  }

  TEST_CASE("hosts without shared state send the same new prefix to the same endpoint") {
    fleet a{40};
    fleet b{0};
    for (int i = 39; i >= 0; --i) { // added in another order
      b.table.add({name(i), lm, here});
      b.table.apply_report(name(i), idle_report(), time_ms{0});
    }
    int agreed = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
      const auto chain = blocks(seed * 1000, 8);
      route_need need = plain(2000);
      need.blocks = chain;
      agreed += a.choose(need, time_ms{0})->endpoint == b.choose(need, time_ms{0})->endpoint;
    }
    CHECK(agreed >= 70);
  }

  TEST_CASE("work stays in the data centre unless the load there is worth the distance") {
    fleet f{20, 10};
    f.table.set_data_centre(here, 0.0, true);
    f.table.set_data_centre(there, 10.0, true);
    for (int i = 0; i < 200; ++i)
      CHECK(f.table.records()[f.choose(plain(), time_ms{i})->slot].info.data_centre == here);
    for (int i = 0; i < 10; ++i)
      f.report(i, 32, 1_s);
    CHECK(f.table.records()[f.choose(plain(), 1_s)->slot].info.data_centre == there);
    f.table.set_data_centre(there, 10.0, false);
    for (int i = 0; i < 200; ++i)
      CHECK(f.table.records()[f.choose(plain(), 1_s)->slot].info.data_centre == here);
  }

  TEST_CASE("use reports of other hosts apply at once while every host sends them") {
    // An interactive request waits behind another host's long prompt if the choice relies on the
    // replica's load report, which is two seconds old and shows it idle, and on this host's
    // requests.
    fleet f{2};
    const incarnation other{host_id{"b"}, 1};
    const incarnation silent{host_id{"c"}, 1};
    use_report use{other, 1, true, {{name(0), 31, {40000.0, 0.0, 0.0}}}, {}};
    f.table.apply_use(use, 1_s);
    f.table.set_senders(std::vector{other}, 1_s);
    for (int i = 0; i < 50; ++i)
      CHECK(f.choose(plain(), 1_s)->endpoint == name(1));
    // An outdated report has no effect; a newer one replaces the last.
    f.table.apply_use({other, 1, true, {}, {}}, 1_s);
    CHECK(f.choose(plain(), 1_s)->endpoint == name(1));
    f.table.apply_use({other, 2, true, {{name(1), 31, {40000.0, 0.0, 0.0}}}, {}}, 1_s);
    CHECK(f.choose(plain(), 1_s)->endpoint == name(0));
    // A partial report leaves the other endpoints' use unchanged.
    f.table.apply_use({other, 3, false, {{name(0), 0, {}}}, {}}, 1_s);
    CHECK(f.choose(plain(), 1_s)->endpoint == name(0));
    f.table.apply_use({other, 4, false, {{name(1), 0, {}}, {name(0), 31, {9000.0}}}, {}}, 1_s);
    CHECK(f.choose(plain(), 1_s)->endpoint == name(1));
    // Without the reports of one host the sum is too small, so the load reports apply again.
    f.table.set_senders(std::vector{other, silent}, 1_s);
    f.report(0, 31, 1_s);
    f.report(1, 1, 1_s);
    CHECK(f.choose(plain(), 1_s)->endpoint == name(1));
  }

  TEST_CASE(
      "a conversation's next turn finds its prefix although another host sent the last turn") {
    fleet a{20};
    fleet b{20};
    const auto turns = blocks(9, 12);
    route_need need = plain(2000);
    need.blocks = std::span{turns}.first(8);
    const auto first = a.choose(need, time_ms{0});
    (void)a.table.start(*first, need, time_ms{0});
    b.table.apply_use(a.table.own_use({host_id{"a"}, 1}), 50_ms);
    need.blocks = turns;
    need.prompt_tokens = 3000;
    const auto next = b.choose(need, 5_s);
    CHECK(next->endpoint == first->endpoint);
    CHECK(next->reason == choice_reason::cached);
  }

  TEST_CASE("starts are reported at once, ends shortly after, everything once a second") {
    fleet f{4};
    const incarnation self{host_id{"a"}, 1};
    CHECK(f.table.due_use(self, 2_s)->whole);
    CHECK_FALSE(f.table.due_use(self, 2020_ms).has_value());
    const auto choice = f.choose(plain(), 2040_ms);
    const auto attempt = f.table.start(*choice, plain(), 2040_ms);
    const auto told = f.table.due_use(self, 2040_ms);
    CHECK_FALSE(told->whole);
    CHECK(told->uses.size() == 1);
    CHECK(told->uses[0].running == 1);
    f.table.end(attempt, plain(), {}, 2060_ms);
    CHECK_FALSE(f.table.due_use(self, 2080_ms).has_value());
    CHECK(f.table.due_use(self, 2140_ms)->uses[0].running == 0);
    CHECK(f.table.due_use(self, 3_s)->whole);
  }

  TEST_CASE("no two suspects share an endpoint while others are free") {
    fleet f{16};
    std::set<std::uint32_t> used;
    for (std::uint64_t i = 1; i <= 6; ++i) {
      route_need need = plain();
      need.suspect = i * 977;
      const auto choice = f.choose(need, time_ms{0});
      (void)f.table.start(*choice, need, time_ms{0});
      CHECK(used.insert(choice->slot).second);
    }
  }

  TEST_CASE("an unreachable endpoint is avoided until it is reachable again") {
    fleet f{3};
    const auto choice = f.choose(plain(), time_ms{0});
    for (int i = 0; i < 2; ++i) {
      const auto attempt = f.table.start(*choice, plain(), time_ms{0});
      f.table.end(attempt, plain(), {attempt_outcome::connect_failed, 0, {}}, 10_ms);
    }
    for (int i = 0; i < 100; ++i)
      CHECK(f.choose(plain(), 20_ms)->slot != choice->slot);
    f.table.reachable(choice->endpoint);
    std::set<std::uint32_t> chosen;
    for (int i = 0; i < 100; ++i)
      chosen.insert(f.choose(plain(), 30_ms)->slot);
    CHECK(chosen.size() == 3);
  }

  TEST_CASE("if every endpoint seems unreachable, one of them is still tried") {
    fleet f{2};
    for (int i = 0; i < 2; ++i)
      for (int k = 0; k < 2; ++k) {
        route_choice choice;
        choice.slot = *f.table.slot_of(name(i));
        const auto attempt = f.table.start(choice, plain(), time_ms{0});
        f.table.end(attempt, plain(), {attempt_outcome::connect_failed, 0, {}}, 10_ms);
      }
    CHECK(f.choose(plain(), 20_ms).has_value());
  }
}
