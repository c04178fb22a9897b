#include "ledger/impl/name_table.hpp"

#include <algorithm>

namespace sedgechute::ledger {

namespace {

// Block sizes double, so that a test's small table allocates little.
constexpr std::size_t first_block = 256;
constexpr std::size_t largest_block = std::size_t{1} << 16U;

} // namespace

name_index name_table::intern(std::string_view name) {
  const auto found = lookup_.find(name);
  if (found != lookup_.end())
    return *found;
  const auto index = static_cast<name_index>(names_.size());
  names_.push_back({store(name), static_cast<std::uint32_t>(name.size())});
  lookup_.insert(index);
  return index;
}

name_index name_table::find(std::string_view name) const {
  const auto found = lookup_.find(name);
  return found == lookup_.end() ? no_name : *found;
}

void name_table::clear() {
  lookup_.clear();
  names_.clear();
  blocks_.clear();
  block_size_ = 0;
  block_used_ = 0;
}

const char* name_table::store(std::string_view name) {
  if (block_used_ + name.size() > block_size_) {
    block_size_ = std::max(name.size(), std::clamp(block_size_ * 2, first_block, largest_block));
    block_used_ = 0;
    blocks_.push_back(std::make_unique<char[]>(block_size_)); // NOLINT(modernize-avoid-c-arrays)
  }
  char* const place = blocks_.back().get() + block_used_;
  std::copy(name.begin(), name.end(), place);
  block_used_ += name.size();
  return place;
}

} // namespace sedgechute::ledger
