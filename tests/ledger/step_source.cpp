// Draws the steps of a schedule: single steps by weight, and episodes.

#include "fleet_model.hpp"

#include <array>
#include <initializer_list>
#include <span>

namespace sedgechute::ledger {

namespace {

struct weighted_kind {
  step_kind kind;
  std::uint32_t weight;
};

using enum step_kind;
constexpr std::array weights{weighted_kind{pass_time, 10},   weighted_kind{run, 14},
                             weighted_kind{deliver, 14},     weighted_kind{drop, 3},
                             weighted_kind{repeat, 4},       weighted_kind{append, 5},
                             weighted_kind{lose_append, 1},  weighted_kind{repeat_append, 3},
                             weighted_kind{copy_late, 6},    weighted_kind{hold_append, 2},
                             weighted_kind{late_message, 3}, weighted_kind{late_append, 2},
                             weighted_kind{read, 5},         weighted_kind{see_members, 4},
                             weighted_kind{request, 16},     weighted_kind{retry, 4},
                             weighted_kind{settle, 12},      weighted_kind{no_usage, 1},
                             weighted_kind{shrink, 2},       weighted_kind{withdraw, 2},
                             weighted_kind{top_up, 2},       weighted_kind{reduce_contract, 1},
                             weighted_kind{crash, 2},        weighted_kind{pause, 3},
                             weighted_kind{cut_hosts, 3},    weighted_kind{cut_data_centre, 2},
                             weighted_kind{cut_log, 2},      weighted_kind{log_outage, 2},
                             weighted_kind{checkpoint, 1},   weighted_kind{trim, 1},
                             weighted_kind{release, 2},      weighted_kind{drain, 1},
                             weighted_kind{long_wait, 1}};

constexpr std::uint32_t favoured_factor = 5;

// Half of the schedules have episodes, with occasional random steps between the steps of one.
constexpr std::uint64_t without_episodes_one_in = 2;
constexpr std::uint64_t episode_one_in = 20;
constexpr std::uint64_t random_step_one_in = 10;

/// Host that a step of an episode acts on.
enum class actor {
  first, ///< one host throughout the episode
  second,
  any,
  each, ///< a different host at each repetition
};

struct episode_step {
  step_kind kind;
  actor who{actor::any};
  std::uint32_t times{1};
  bool ends_cut{}; ///< for `cut_data_centre`: the partition ends
};

// Holder and witness of an epoch, which know the opened amount, are both lost. The other hosts
// write it off and an operator releases the tokens proved unused; then the witness resumes without
// having read any of that.
constexpr std::array witness_back_after_release{
    episode_step{request, actor::first, 2},   episode_step{run, actor::any, 3},
    episode_step{settle, actor::any, 2},      episode_step{pause, actor::second},
    episode_step{crash, actor::first},        episode_step{see_members, actor::each, 6},
    episode_step{long_wait, actor::first},    episode_step{run, actor::any, 2},
    episode_step{release, actor::any, 2},     episode_step{pause, actor::second},
    episode_step{see_members, actor::second}, episode_step{pass_time, actor::second},
    episode_step{append, actor::any, 2}};

// Hosts on both sides of a partition request part of a budget, and one of them cannot read its
// grant from the log. After the partition ends the other host sends it tokens.
constexpr std::array transfer_before_grant_read{
    episode_step{run},
    episode_step{cut_data_centre, actor::first},
    episode_step{see_members, actor::each, 6},
    episode_step{cut_log, actor::second},
    episode_step{request, actor::each, 4},
    episode_step{run, actor::any, 4},
    episode_step{cut_data_centre, actor::first, 1, true},
    episode_step{see_members, actor::each, 6},
    episode_step{pass_time, actor::any, 3},
    episode_step{copy_late, actor::any, 3},
    episode_step{run, actor::any, 2},
    episode_step{cut_log, actor::second},
    episode_step{read, actor::second, 3},
    episode_step{late_message, actor::any, 3}};

// A request is reserved, runs and is billed while copies of its messages are delayed until long
// after its bill was forgotten.
constexpr std::array copies_after_settlement{episode_step{request, actor::first},
                                             episode_step{copy_late, actor::any, 3},
                                             episode_step{run},
                                             episode_step{settle},
                                             episode_step{copy_late, actor::any, 2},
                                             episode_step{long_wait, actor::second},
                                             episode_step{late_message, actor::any, 4}};

constexpr std::array<std::span<const episode_step>, 3> episodes{
    witness_back_after_release, transfer_before_grant_read, copies_after_settlement};

} // namespace

step_source::step_source(random_source& random) : random_{random} {
  for (const weighted_kind& w : weights) {
    const std::uint64_t drawn = random_.below(10);
    const bool needed = w.kind == run || w.kind == request || w.kind == settle;
    std::uint32_t weight = w.weight;
    if (drawn < 2 && !needed)
      weight = 0;
    else if (drawn > 7)
      weight *= favoured_factor;
    weights_.push_back(weight);
    total_ += weight;
  }
  uses_episodes_ = random_.below(without_episodes_one_in) != 0;
}

step step_source::next() {
  if (!episode_.empty() && random_.below(random_step_one_in) != 0) {
    const step next = episode_.front();
    episode_.pop_front();
    return next;
  }
  if (uses_episodes_ && episode_.empty() && random_.below(episode_one_in) == 0)
    begin_episode();
  return single();
}

step step_source::single() {
  auto drawn = static_cast<std::uint32_t>(random_.below(total_));
  const std::uint64_t numbers = random_();
  std::size_t kind = 0;
  while (drawn >= weights_[kind])
    drawn -= weights_[kind++];
  return {weights[kind].kind, static_cast<std::uint32_t>(numbers),
          static_cast<std::uint32_t>(numbers >> 32U)};
}

void step_source::begin_episode() {
  const auto draw = [&] { return static_cast<std::uint32_t>(random_()); };
  const std::uint32_t first = draw();
  const std::uint32_t second = draw();
  for (const episode_step& planned : episodes[random_.below(episodes.size())])
    for (std::uint32_t i = 0; i < planned.times; ++i) {
      step made{planned.kind, draw(), draw()};
      if (planned.who == actor::first)
        made.a = first;
      else if (planned.who == actor::second)
        made.a = second;
      else if (planned.who == actor::each)
        made.a = i;
      if (planned.kind == cut_data_centre)
        made.b = planned.ends_cut ? 1 : 0;
      episode_.push_back(made);
    }
}

} // namespace sedgechute::ledger
