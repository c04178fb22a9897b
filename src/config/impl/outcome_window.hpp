#pragma once

#include "config/impl/document_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Document records whose outcome is remembered, so that a repeat gets the same answer.
/// A record that was written longer ago than this is void when it arrives.
inline constexpr std::size_t outcome_window_size = 8192;

/// \brief The outcomes of the last document records, by record id. What it holds depends on the
/// log alone, so it is the same on every host.
class outcome_window {
 public:
  explicit outcome_window(std::size_t size = outcome_window_size) noexcept : size_{size} {}

  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] const publish_outcome* find(std::string_view record_id) const;
  void add(publish_outcome outcome);

  /// \returns the outcomes, oldest first; they don't change any more
  [[nodiscard]] std::vector<std::shared_ptr<const publish_outcome>> all() const {
    return {order_.begin(), order_.end()};
  }
  [[nodiscard]] std::uint64_t digest() const;

 private:
  std::size_t size_;
  std::deque<std::shared_ptr<const publish_outcome>> order_;
  absl::flat_hash_map<std::string_view, const publish_outcome*> by_record_;
};

} // namespace sedgechute
