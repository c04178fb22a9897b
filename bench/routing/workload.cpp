#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sedgechute::bench {

namespace {

constexpr std::uint32_t tokens_per_block = 256;
constexpr double ms_per_s = 1000.0;
constexpr std::uint32_t flooding_team = 3;
constexpr double flood_factor = 10.0; // of that team's ordinary traffic, in addition
constexpr std::uint32_t huge_blocks = 120;
constexpr double huge_part = 0.05; // of all requests, in addition
constexpr std::uint32_t poison_tries = 6;
constexpr double poison_gap_ms = 3000.0;
constexpr double turn_gap_ms = 12000.0;

const std::vector<double> few_large{0.28, 0.2, 0.15, 0.1, 0.08, 0.06, 0.05, 0.04, 0.02, 0.02};

double exponential(random_source& random, double mean) {
  return -mean * std::log(1.0 - random.unit());
}

std::size_t pick(random_source& random, const std::vector<double>& parts) {
  double left = random.unit() * std::accumulate(parts.begin(), parts.end(), 0.0);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    left -= parts[i];
    if (left < 0.0)
      return i;
  }
  return parts.size() - 1;
}

std::uint64_t zipf(random_source& random, std::uint32_t topics) {
  std::vector<double> parts;
  for (std::uint32_t i = 1; i <= topics; ++i)
    parts.push_back(1.0 / i);
  return pick(random, parts);
}

void extend(std::vector<std::uint64_t>& chain, std::uint64_t seed, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i)
    chain.push_back(mix_hash(chain.empty() ? 0 : chain.back(), seed + i));
}

arrival base_of(const class_mix& mix, std::uint32_t team, random_source& random) {
  arrival a;
  a.team = team;
  a.kind = mix.kind;
  a.patience = mix.patience;
  a.idempotent = mix.idempotent;
  const std::uint64_t topic = mix.topics > 1 ? zipf(random, mix.topics) : 0;
  const std::uint64_t seed = mix_hash(mix_hash(team, static_cast<std::uint64_t>(mix.kind)), topic);
  extend(a.blocks, seed, mix.shared_blocks);
  return a;
}

void finish(arrival& a, const class_mix& mix, const users& who, random_source& random) {
  a.prompt_tokens = static_cast<std::uint32_t>(a.blocks.size() * tokens_per_block +
                                               random.below(tokens_per_block));
  a.output_tokens =
      1 + static_cast<std::uint32_t>(std::min(exponential(random, mix.output), 4.0 * mix.output));
  a.host = static_cast<std::uint32_t>(random.below(who.hosts));
  a.content = random();
}

// A conversation's turns come one after the other, each with the whole of the last as its prefix.
void add_conversation(const class_mix& mix, std::uint32_t team, const users& who, double start_ms,
                      random_source& random, std::vector<arrival>& all) {
  arrival turn = base_of(mix, team, random);
  const auto turns = 1 + static_cast<int>(exponential(random, mix.turns - 1.0));
  double at = start_ms;
  for (int t = 0; t < turns; ++t) {
    extend(turn.blocks, random(), mix.own_blocks);
    turn.at_ms = at;
    finish(turn, mix, who, random);
    all.push_back(turn);
    at += turn_gap_ms * (0.5 + random.unit());
  }
}

void add_ordinary(const users& who, const arrival_options& options, random_source& random,
                  std::vector<arrival>& all) {
  // Conversations that began earlier go on in the first minutes, so starts begin before time 0.
  const double earliest = -60'000.0;
  for (std::size_t c = 0; c < who.classes.size(); ++c) {
    const class_mix& mix = who.classes[c];
    const double starts_per_ms = options.requests_per_s * mix.part / mix.turns / ms_per_s;
    for (double at = earliest + exponential(random, 1.0 / starts_per_ms); at < options.duration_ms;
         at += exponential(random, 1.0 / starts_per_ms)) {
      const auto team = static_cast<std::uint32_t>(pick(random, who.team_parts));
      add_conversation(mix, team, who, at, random, all);
    }
  }
}

void add_flood(const users& who, const arrival_options& options, random_source& random,
               std::vector<arrival>& all) {
  const double rate = options.requests_per_s * who.team_parts[flooding_team] * flood_factor;
  for (double at = options.fault_at_ms; at < options.duration_ms;
       at += exponential(random, ms_per_s / rate)) {
    const class_mix& mix = who.classes[pick(random, {0.5, 0.25, 0.25})];
    add_conversation(mix, flooding_team, who, at, random, all);
  }
}

void add_huge(const users& who, const arrival_options& options, random_source& random,
              std::vector<arrival>& all) {
  const double rate = options.requests_per_s * huge_part;
  for (double at = options.fault_at_ms; at < options.duration_ms;
       at += exponential(random, ms_per_s / rate)) {
    class_mix mix = who.classes.front();
    mix.turns = 1.0;
    mix.own_blocks = huge_blocks;
    add_conversation(mix, flooding_team, who, at, random, all);
  }
}

void add_poison(const users& who, const arrival_options& options, random_source& random,
                std::vector<arrival>& all) {
  arrival a = base_of(who.classes.front(), 0, random);
  extend(a.blocks, 666, 2);
  finish(a, who.classes.front(), who, random);
  a.poison = true;
  for (std::uint32_t i = 0; i < poison_tries; ++i) {
    a.at_ms = options.fault_at_ms + poison_gap_ms * i;
    a.host = static_cast<std::uint32_t>(random.below(who.hosts));
    all.push_back(a);
  }
}

} // namespace

users linsubrunnur() {
  using namespace literals;
  return {"linsubrunnur",
          12,
          3,
          9,
          few_large,
          few_large,
          {{work_class::interactive, 0.65, 6, 1, 1, 5.0, 140.0, 10_s, true},
           {work_class::standard, 0.25, 3, 1, 3, 1.0, 120.0, 30_s, false},
           {work_class::long_running, 0.10, 4, 1, 10, 1.0, 900.0, 240_s, true}}};
}

users souq_sayarat() {
  using namespace literals;
  return {"souq_sayarat",
          18,
          4,
          9,
          few_large,
          few_large,
          {{work_class::interactive, 0.45, 4, 1, 1, 4.0, 120.0, 8_s, true},
           {work_class::standard, 0.43, 2, 1, 1, 1.0, 25.0, 20_s, false},
           {work_class::long_running, 0.12, 12, 40, 3, 1.0, 700.0, 300_s, true}}};
}

std::vector<arrival> make_arrivals(const users& who, const arrival_options& options) {
  random_source random{options.seed};
  std::vector<arrival> all;
  add_ordinary(who, options, random, all);
  if (options.trouble == fault::flood)
    add_flood(who, options, random, all);
  if (options.trouble == fault::huge_prompts)
    add_huge(who, options, random, all);
  if (options.trouble == fault::poison)
    add_poison(who, options, random, all);
  std::erase_if(all,
                [&](const arrival& a) { return a.at_ms < 0.0 || a.at_ms >= options.duration_ms; });
  std::ranges::stable_sort(all, {}, &arrival::at_ms);
  return all;
}

double capacity_of(const users& who, const engine_speed& speed) {
  double mean_ms = 0.0;
  for (const class_mix& mix : who.classes) {
    const double blocks = mix.shared_blocks + mix.own_blocks * (1.0 + mix.turns) / 2.0;
    const double read_ms = blocks * tokens_per_block / 2.0 / speed.read_per_ms;
    mean_ms += mix.part * (read_ms + mix.output * speed.crowded_pace_ms);
  }
  return who.replicas * speed.places / mean_ms * ms_per_s;
}

} // namespace sedgechute::bench
