#include "pool/impl/engine.hpp"

#include <algorithm>
#include <iterator>

namespace sedgechute::pool {

namespace {

constexpr double tokens_a_thousand = 1000;
constexpr double pairs_a_million = 1e6;

std::uint64_t context_of(const engine_run& run) noexcept {
  return std::uint64_t{run.prompt_tokens} + run.made;
}

} // namespace

bool engine::accept(engine_run run) {
  const std::uint64_t most = std::uint64_t{run.prompt_tokens} + run.output_tokens;
  if (waiting_.size() >= sheet_.queue || most > sheet_.memory_tokens)
    return false;
  run.order = ++orders_;
  const place at{run.urgency, run.order};
  waiting_.emplace(at, std::move(run));
  return true;
}

bool engine::cancel(std::uint32_t request) {
  const auto is_it = [&](const auto& one) { return one.second.request == request; };
  const auto waits = std::find_if(waiting_.begin(), waiting_.end(), is_it);
  if (waits != waiting_.end()) {
    waiting_.erase(waits);
    return true;
  }
  const auto runs = std::find_if(running_.begin(), running_.end(), is_it);
  if (runs == running_.end())
    return false;
  free_memory(runs->second);
  running_.erase(runs);
  return true;
}

// Deepest part first: of one prompt's parts the later ones then yield before the earlier ones,
// without which they are of no use.
void engine::free_memory(engine_run& run) {
  memory_.give_back(run.own_tokens);
  run.own_tokens = 0;
  while (run.used_pieces > 0)
    memory_.release(run.pieces[--run.used_pieces].key);
}

std::size_t engine::kept_pieces(const std::vector<prompt_piece>& pieces) const {
  const auto missing = std::find_if(pieces.begin(), pieces.end(),
                                    [&](const auto& one) { return !memory_.keeps(one.key); });
  return static_cast<std::size_t>(std::distance(pieces.begin(), missing));
}

std::uint64_t engine::kept_tokens(const std::vector<prompt_piece>& pieces) const {
  std::uint64_t tokens = 0;
  const std::size_t kept = kept_pieces(pieces);
  for (std::size_t i = 0; i < kept; ++i)
    tokens += pieces[i].tokens;
  return tokens;
}

void engine::store(const std::vector<prompt_piece>& pieces, std::size_t count) {
  for (std::size_t i = count; i > 0; --i)
    memory_.store(pieces[i - 1].key, pieces[i - 1].tokens);
}

bool engine::preempt_one(const place& for_whom, std::vector<engine_word>& words) {
  if (running_.empty())
    return false;
  const auto victim = std::prev(running_.end());
  if (victim->first <= for_whom)
    return false;
  free_memory(victim->second);
  std::erase(readers_, victim->first);
  words.push_back({engine_word::what::preempted, victim->second.request, 0});
  waiting_.insert(running_.extract(victim));
  return true;
}

bool engine::start(engine_run& run, std::vector<engine_word>& words) {
  const std::size_t kept = kept_pieces(run.pieces);
  std::uint64_t have = 0;
  for (; run.used_pieces < kept; ++run.used_pieces) {
    memory_.use(run.pieces[run.used_pieces].key);
    have += run.pieces[run.used_pieces].tokens;
  }
  run.to_read = std::max<std::uint64_t>(context_of(run) - have, 1); // the last token in any case
  const place at{run.urgency, run.order};
  while (!memory_.take(run.to_read + 1)) { // with its last token read it makes the first of its own
    // Only for a more urgent one: of equals the earlier goes on.
    const bool urgent = !running_.empty() && running_.rbegin()->first.first > run.urgency;
    if (urgent && preempt_one(at, words))
      continue;
    free_memory(run);
    return false;
  }
  run.own_tokens = run.to_read + 1;
  for (std::size_t piece = 0; piece < kept; ++piece)
    words.push_back({engine_word::what::kept_piece, run.request, piece});
  return true;
}

void engine::admit(std::vector<engine_word>& words) {
  while (!waiting_.empty() && running_.size() < sheet_.batch) {
    const auto first = waiting_.begin();
    if (!start(first->second, words))
      return;
    readers_.push_back(first->first);
    running_.insert(waiting_.extract(first));
  }
}

// An answer needs memory for each token; without it the newest of the least urgent makes room,
// which may be the one that asks. Whoever is still read holds its next token already.
void engine::hold_next_tokens(std::vector<engine_word>& words) {
  making_.clear();
  std::vector<place> able;
  for (const auto& [at, run] : running_)
    if (run.to_read == 0)
      able.push_back(at);
  for (const place& at : able) {
    while (running_.contains(at) && !memory_.take(1))
      preempt_one({-1, 0}, words);
    const auto run = running_.find(at);
    if (run == running_.end())
      continue;
    ++run->second.own_tokens;
    making_.push_back(at);
  }
  std::erase_if(making_, [&](const place& at) { return !running_.contains(at); });
}

bool engine::is_read(const place& at) const {
  const auto run = running_.find(at);
  return run != running_.end() && run->second.to_read > 0;
}

// Prompts are read in the order in which their requests were admitted: urgency decides who is
// admitted, not who is read.
double engine::plan_reading() {
  chunk_.clear();
  std::uint64_t left = sheet_.chunk_tokens;
  double pairs = 0;
  std::uint64_t tokens = 0;
  std::erase_if(readers_, [&](const place& at) { return !is_read(at); });
  for (const place& at : readers_) {
    if (left == 0)
      break;
    const engine_run& run = running_.at(at);
    const std::uint64_t count = std::min(left, run.to_read);
    const auto before =
        static_cast<double>(context_of(run) - std::min(context_of(run), run.to_read));
    const auto now = static_cast<double>(count);
    pairs += now * before + now * now / 2;
    tokens += count;
    left -= count;
    chunk_.emplace_back(at, count);
  }
  return static_cast<double>(tokens) / sheet_.tokens_read_a_ms +
         pairs / pairs_a_million * sheet_.read_ms_each_million_pairs;
}

double engine::begin_step(std::vector<engine_word>& words) {
  admit(words);
  hold_next_tokens(words);
  if (running_.empty())
    return 0;
  double kept = 0;
  for (const place& at : making_)
    kept += static_cast<double>(context_of(running_.at(at)));
  const double step = sheet_.step_ms +
                      static_cast<double>(running_.size()) * sheet_.step_ms_each_running +
                      kept / tokens_a_thousand * sheet_.step_ms_each_1000_kept + plan_reading();
  return step * slowness_;
}

void engine::read(engine_run& run, std::uint64_t tokens, std::vector<engine_word>& words) {
  run.to_read -= tokens;
  tokens_read_ += tokens;
  const std::uint64_t done = context_of(run) - run.to_read;
  std::uint64_t end = 0;
  for (std::size_t i = 0; i < run.pieces.size(); ++i) {
    end += run.pieces[i].tokens;
    if (i < run.used_pieces || end > done)
      continue;
    memory_.make_part(run.pieces[i].key, run.pieces[i].tokens);
    run.own_tokens -= run.pieces[i].tokens;
    run.used_pieces = i + 1;
    words.push_back({engine_word::what::read_piece, run.request, i});
  }
}

void engine::make_token(engine_run& run, std::vector<engine_word>& words) const {
  ++run.made;
  if (run.made == 1)
    words.push_back({engine_word::what::first_token, run.request, 0});
  if (run.made == run.output_tokens)
    words.push_back({engine_word::what::end, run.request, 0});
  else if ((run.made - 1) % sheet_.event_tokens == 0)
    words.push_back({engine_word::what::event, run.request, 0});
}

void engine::end_step(std::vector<engine_word>& words) {
  for (const auto& [at, count] : chunk_) {
    const auto run = running_.find(at);
    if (run == running_.end())
      continue; // its caller left in this step
    read(run->second, count, words);
    if (run->second.to_read == 0)
      making_.push_back(at);
  }
  for (const place& at : making_) {
    const auto run = running_.find(at);
    if (run == running_.end())
      continue;
    make_token(run->second, words);
    ++tokens_made_;
    if (run->second.made < run->second.output_tokens)
      continue;
    free_memory(run->second);
    running_.erase(run);
  }
}

engine_load engine::load() const noexcept {
  return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(waiting_.size())};
}

std::uint64_t engine::unread_before(int urgency) const {
  std::uint64_t tokens = 0;
  for (const auto& [at, run] : running_)
    if (at.first <= urgency)
      tokens += run.to_read;
  for (const auto& [at, run] : waiting_)
    if (at.first <= urgency)
      tokens += context_of(run) - std::min(context_of(run), kept_tokens(run.pieces));
  return tokens;
}

} // namespace sedgechute::pool
