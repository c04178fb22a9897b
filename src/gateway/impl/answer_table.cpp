#include "gateway/impl/answer_table.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t event_overhead_bytes = sizeof(stream_event);
constexpr std::size_t record_overhead_bytes = 512;

} // namespace

answer_record::answer_record(std::size_t most_bytes,
                             std::shared_ptr<std::atomic<std::size_t>> total)
    : most_bytes_{most_bytes}, total_{std::move(total)} {
  if (total_)
    *total_ += record_overhead_bytes;
}

answer_record::~answer_record() {
  if (total_)
    *total_ -= bytes_ + record_overhead_bytes;
}

void answer_record::resize(std::size_t bytes) {
  if (total_) {
    *total_ += bytes;
    *total_ -= bytes_;
  }
  bytes_ = bytes;
}

bool answer_record::event(const stream_event& event) {
  {
    const std::scoped_lock lock{mutex_};
    const std::size_t bytes = bytes_ + event.data.size() + event_overhead_bytes;
    overflowed_ = overflowed_ || bytes > most_bytes_;
    if (overflowed_) {
      std::vector<stream_event>{}.swap(events_);
      resize(0);
    } else {
      resize(bytes);
      events_.push_back(event);
    }
  }
  changed_.notify_all();
  return true;
}

void answer_record::complete(const answer_summary& summary) {
  {
    const std::scoped_lock lock{mutex_};
    summary_ = summary;
    state_ = state::complete;
  }
  changed_.notify_all();
}

void answer_record::fail(const refusal& refused) {
  {
    const std::scoped_lock lock{mutex_};
    refused_ = refused;
    state_ = state::failed;
  }
  changed_.notify_all();
}

bool answer_record::delivered() const noexcept {
  const std::scoped_lock lock{mutex_};
  return !events_.empty() || overflowed_;
}

bool answer_record::play(answer_sink& sink) const {
  std::size_t next = 0;
  for (;;) {
    std::vector<stream_event> batch;
    state now = state::open;
    {
      std::unique_lock lock{mutex_};
      changed_.wait(lock,
                    [&] { return overflowed_ || next < events_.size() || state_ != state::open; });
      if (overflowed_)
        return false;
      batch.assign(events_.begin() + static_cast<std::ptrdiff_t>(next), events_.end());
      next = events_.size();
      now = state_;
    }
    for (const stream_event& event : batch)
      if (!sink.event(event))
        return false;
    if (!batch.empty() || now == state::open)
      continue;
    if (now == state::complete)
      sink.complete(summary_);
    else
      sink.fail(refused_);
    return true;
  }
}

bool answer_record::ended() const {
  const std::scoped_lock lock{mutex_};
  return state_ != state::open;
}

bool answer_record::whole() const {
  const std::scoped_lock lock{mutex_};
  return !overflowed_;
}

std::string answer_record::content() const {
  const std::scoped_lock lock{mutex_};
  std::string text;
  for (const stream_event& event : events_)
    if (const auto chunk = parse_engine_chunk(event.data))
      text += chunk->content;
  return text;
}

std::size_t answer_record::bytes() const {
  const std::scoped_lock lock{mutex_};
  return bytes_ + record_overhead_bytes;
}

std::shared_ptr<answer_record> answer_table::create(const team_id& team, const std::string& key) {
  auto record = std::make_shared<answer_record>(most_answer_bytes_, total_);
  const std::scoped_lock lock{mutex_};
  team_answers& answers = teams_[team];
  const auto known = answers.by_key.find(key);
  if (known != answers.by_key.end())
    answers.by_age.erase(known->second);
  answers.by_age.push_back({key, record});
  answers.by_key[key] = std::prev(answers.by_age.end());
  return record;
}

std::shared_ptr<answer_record> answer_table::find(const team_id& team,
                                                  const std::string& key) const {
  const std::scoped_lock lock{mutex_};
  const auto answers = teams_.find(team);
  if (answers == teams_.end())
    return nullptr;
  const auto known = answers->second.by_key.find(key);
  return known == answers->second.by_key.end() ? nullptr : known->second->record;
}

void answer_table::erase(const team_id& team, const std::string& key, const answer_record& record) {
  const std::scoped_lock lock{mutex_};
  const auto answers = teams_.find(team);
  if (answers == teams_.end())
    return;
  const auto known = answers->second.by_key.find(key);
  if (known == answers->second.by_key.end() || known->second->record.get() != &record)
    return;
  answers->second.by_age.erase(known->second);
  answers->second.by_key.erase(known);
  if (answers->second.by_key.empty())
    teams_.erase(answers);
}

void answer_table::trim() {
  const std::scoped_lock lock{mutex_};
  while (*total_ > most_bytes_ && evict_one()) {
  }
}

// A record that someone still plays is counted until they are done, so it may cost another one its
// place. The bound holds all the same, and no answer that runs is evicted.
bool answer_table::evict_one() {
  team_answers* largest = nullptr;
  for (auto& [team, answers] : teams_)
    if (largest == nullptr || answers.by_age.size() > largest->by_age.size())
      largest = &answers;
  if (largest == nullptr)
    return false;
  const auto ended = std::find_if(largest->by_age.begin(), largest->by_age.end(),
                                  [](const entry& kept) { return kept.record->ended(); });
  if (ended == largest->by_age.end())
    return false;
  largest->by_key.erase(ended->key);
  largest->by_age.erase(ended);
  return true;
}

} // namespace sedgechute
