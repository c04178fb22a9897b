#include "config/impl/outcome_window.hpp"

namespace sedgechute {

const publish_outcome* outcome_window::find(std::string_view record_id) const {
  const auto found = by_record_.find(std::string{record_id});
  return found == by_record_.end() ? nullptr : &found->second;
}

void outcome_window::add(publish_outcome outcome) {
  order_.push_back(outcome.record_id);
  by_record_.insert_or_assign(order_.back(), std::move(outcome));
  if (order_.size() <= size_)
    return;
  by_record_.erase(order_.front());
  order_.pop_front();
}

std::vector<publish_outcome> outcome_window::all() const {
  std::vector<publish_outcome> outcomes;
  outcomes.reserve(order_.size());
  for (const auto& id : order_)
    outcomes.push_back(by_record_.at(id));
  return outcomes;
}

void outcome_window::restore(std::vector<publish_outcome> outcomes) {
  *this = outcome_window{size_};
  for (auto& one : outcomes)
    add(std::move(one));
}

std::uint64_t outcome_window::digest() const {
  std::uint64_t hash = order_.size();
  for (const auto& id : order_) {
    const publish_outcome& one = by_record_.at(id);
    hash = mix_hash(hash, stable_hash(one.record_id));
    hash = mix_hash(hash, one.offset);
    hash = mix_hash(hash, static_cast<std::uint64_t>(one.verdict));
  }
  return hash;
}

} // namespace sedgechute
