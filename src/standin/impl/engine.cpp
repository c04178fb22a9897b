#include "standin/impl/engine.hpp"

#include <algorithm>

namespace sedgechute::standin {

namespace {

pacer::instant after(double ms) {
  return std::chrono::steady_clock::now() +
         std::chrono::duration_cast<std::chrono::steady_clock::duration>(
             std::chrono::duration<double, std::milli>{ms});
}

/// Lengths vary by prompt, and the same prompt always has the same length.
std::int64_t answer_length(const prompt& asked, std::int64_t typical) {
  const auto spread = stable_hash(asked.fingerprint) % (static_cast<std::uint64_t>(typical) + 1);
  const std::int64_t natural =
      std::max<std::int64_t>(1, typical / 2 + static_cast<std::int64_t>(spread));
  return asked.max_tokens > 0 ? std::min(natural, asked.max_tokens) : natural;
}

} // namespace

engine::engine(const engine_options& options, pacer& pace)
    : options_{options}, pace_{pace}, cache_{options.cache_blocks}, models_{options.models.begin(),
                                                                            options.models.end()},
      self_{std::make_shared<liveness>(this)}, server_{options.address,
                                                       [this](exchange& call) { handle(call); }} {}

engine::~engine() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    lose_everything();
  }
  const std::scoped_lock lock{self_->mutex};
  self_->owner = nullptr;
}

engine::run_ptr engine::start_or_join(const std::string& id, prompt asked, int priority) {
  if (const auto found = runs_.find(id); found != runs_.end()) {
    ++account(*found->second).joins;
    return found->second;
  }
  auto run = std::make_shared<engine_run>();
  run->id = id;
  run->length = answer_length(asked, options_.answer_tokens);
  run->asked = std::move(asked);
  run->priority = priority;
  run->order = next_order_++;
  runs_.emplace(id, run);
  waiting_.insert(run);
  admit_waiting();
  return run;
}

void engine::admit_waiting() {
  while (running_ < options_.max_running && !waiting_.empty()) {
    const run_ptr next = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    begin(next);
  }
}

void engine::begin(const run_ptr& run) {
  ++running_;
  run->state = run_state::running;
  const std::size_t hits = cache_.use(run->asked.blocks, steady_clock{}.now().count());
  run->cached_tokens =
      std::min<std::int64_t>(run->asked.tokens, hits * (block_bytes / bytes_per_token));
  run_account& kept = account(*run);
  ++kept.runs;
  kept.fingerprint = run->asked.fingerprint;
  kept.prompt_tokens = run->asked.tokens;
  prompt_tokens_done_ += run->asked.tokens;
  double prefill_ms = options_.first_token_ms;
  if (options_.prefill_tokens_per_s > 0)
    prefill_ms += 1000.0 * static_cast<double>(run->asked.tokens - run->cached_tokens) /
                  options_.prefill_tokens_per_s;
  pace_next(run, prefill_ms);
}

void engine::pace_next(const run_ptr& run, double after_ms) {
  const double wait_ms = after_ms * server_.board().now().slow_factor;
  pace_.at(after(wait_ms), [self = self_, run] {
    const std::scoped_lock alive{self->mutex};
    if (self->owner == nullptr)
      return;
    const std::scoped_lock lock{self->owner->mutex_};
    self->owner->produce(run);
  });
}

void engine::produce(const run_ptr& run) {
  if (run->state != run_state::running)
    return;
  const bool at_once = options_.token_ms <= 0;
  const std::int64_t count = at_once ? run->length - run->produced : 1;
  run->produced += count;
  tokens_done_ += count;
  account(*run).tokens += count;
  if (run->produced >= run->length) {
    account(*run).finished = true;
    end(run, run_state::finished);
    return;
  }
  run->changed.notify_all();
  pace_next(run, options_.token_ms);
}

void engine::end(const run_ptr& run, run_state how) {
  if (run->state == run_state::running)
    --running_;
  waiting_.erase(run);
  run->state = how;
  run->changed.notify_all();
  if (run->readers == 0)
    forget_later(run);
  if (!stopping_)
    admit_waiting();
}

void engine::reader_left(const run_ptr& run) {
  if (--run->readers == 0)
    forget_later(run);
}

// A run that nobody reads is kept for a while, so that its reader can come back on a new
// connection; after that its slot is given up.
void engine::forget_later(const run_ptr& run) {
  pace_.at(after(static_cast<double>(options_.abandoned_ms)),
           [self = self_, run, seen = run->readers_seen] {
             const std::scoped_lock alive{self->mutex};
             if (self->owner == nullptr)
               return;
             engine& owner = *self->owner;
             const std::scoped_lock lock{owner.mutex_};
             const auto found = owner.runs_.find(run->id);
             if (run->readers_seen != seen || found == owner.runs_.end() || found->second != run)
               return;
             if (run->state == run_state::waiting || run->state == run_state::running) {
               owner.account(*run).cancelled = true;
               run->readers_seen++; // ending it would ask to forget it once more
               owner.end(run, run_state::cancelled);
             }
             owner.runs_.erase(run->id);
           });
}

void engine::lose_everything() {
  waiting_.clear();
  for (const auto& [id, run] : runs_) {
    run->state = run_state::lost;
    run->changed.notify_all();
  }
  runs_.clear();
  running_ = 0;
  cache_.clear();
}

} // namespace sedgechute::standin
