#include "config/impl/document_tail.hpp"

#include <algorithm>

namespace sedgechute {
namespace {

[[nodiscard]] bool ends_before(const relayed_document& one, std::uint64_t offset) noexcept {
  return one.offset < offset;
}

} // namespace

void document_tail::start_after(std::uint64_t offset) {
  records_.clear();
  bytes_ = 0;
  start_ = offset;
}

void document_tail::add(relayed_document document) {
  bytes_ += document.record.body.size();
  records_.push_back(std::move(document));
  while (records_.size() > tail_records || (bytes_ > tail_bytes && records_.size() > 1)) {
    bytes_ -= records_.front().record.body.size();
    start_ = records_.front().offset;
    records_.pop_front();
  }
}

bool document_tail::reaches(std::uint64_t offset) const noexcept {
  return offset >= start_;
}

const relayed_document* document_tail::at(std::uint64_t offset) const noexcept {
  const auto found = std::lower_bound(records_.begin(), records_.end(), offset, ends_before);
  return found != records_.end() && found->offset == offset ? &*found : nullptr;
}

std::vector<relayed_document> document_tail::after(std::uint64_t offset, std::size_t most) const {
  if (!reaches(offset))
    return {};
  auto next = std::lower_bound(records_.begin(), records_.end(), offset + 1, ends_before);
  std::vector<relayed_document> found;
  for (; next != records_.end() && found.size() < most; ++next)
    found.push_back(*next);
  return found;
}

void document_tail::for_each_newest_first(
    const std::function<void(const relayed_document&)>& visit) const {
  for (auto one = records_.rbegin(); one != records_.rend(); ++one)
    visit(*one);
}

} // namespace sedgechute
