#include "config/impl/outcome_window.hpp"

namespace sedgechute {

const publish_outcome* outcome_window::find(std::string_view record_id) const {
  const auto found = by_record_.find(record_id);
  return found == by_record_.end() ? nullptr : found->second;
}

void outcome_window::add(publish_outcome outcome) {
  order_.push_back(std::make_shared<const publish_outcome>(std::move(outcome)));
  // The key is a view of the outcome that it leads to, so an earlier one may not stay.
  by_record_.erase(order_.back()->record_id);
  by_record_.emplace(order_.back()->record_id, order_.back().get());
  if (order_.size() <= size_)
    return;
  by_record_.erase(order_.front()->record_id);
  order_.pop_front();
}

std::uint64_t outcome_window::digest() const {
  std::uint64_t hash = order_.size();
  for (const auto& one : order_) {
    hash = mix_hash(hash, stable_hash(one->record_id));
    hash = mix_hash(hash, one->offset);
    hash = mix_hash(hash, static_cast<std::uint64_t>(one->verdict));
  }
  return hash;
}

} // namespace sedgechute
