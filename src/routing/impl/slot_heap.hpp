#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief Binary min-heap of slot numbers with keys that can be updated.
class slot_heap {
 public:
  [[nodiscard]] bool empty() const noexcept { return heap_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return heap_.size(); }
  [[nodiscard]] bool contains(std::uint32_t slot) const noexcept {
    return slot < places_.size() && places_[slot] != absent;
  }
  /// \pre not empty
  [[nodiscard]] std::uint32_t top() const noexcept { return heap_.front().slot; }
  /// \pre not empty
  [[nodiscard]] double top_key() const noexcept { return heap_.front().key; }

  /// \brief Inserts the slot or updates its key.
  void set(std::uint32_t slot, double key) {
    if (slot >= places_.size())
      places_.resize(slot + 1U, absent);
    if (places_[slot] == absent) {
      places_[slot] = static_cast<std::uint32_t>(heap_.size());
      heap_.push_back({key, slot});
      sift_up(heap_.size() - 1);
      return;
    }
    const std::size_t place = places_[slot];
    heap_[place].key = key;
    sift_up(place);
    sift_down(places_[slot]);
  }

  void remove(std::uint32_t slot) {
    if (!contains(slot))
      return;
    const std::size_t place = places_[slot];
    places_[slot] = absent;
    const node last = heap_.back();
    heap_.pop_back();
    if (place == heap_.size())
      return;
    heap_[place] = last;
    places_[last.slot] = static_cast<std::uint32_t>(place);
    sift_up(place);
    sift_down(places_[last.slot]);
  }

 private:
  struct node {
    double key;
    std::uint32_t slot;
  };
  static constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();

  // Ties are broken by slot, so that the order is deterministic.
  [[nodiscard]] static bool before(const node& a, const node& b) noexcept {
    return a.key < b.key || (a.key == b.key && a.slot < b.slot);
  }

  void put(std::size_t place, node value) noexcept {
    heap_[place] = value;
    places_[value.slot] = static_cast<std::uint32_t>(place);
  }

  void sift_up(std::size_t place) noexcept {
    const node moving = heap_[place];
    while (place > 0) {
      const std::size_t parent = (place - 1) / 2;
      if (!before(moving, heap_[parent]))
        break;
      put(place, heap_[parent]);
      place = parent;
    }
    put(place, moving);
  }

  void sift_down(std::size_t place) noexcept {
    const node moving = heap_[place];
    for (;;) {
      std::size_t child = 2 * place + 1;
      if (child >= heap_.size())
        break;
      if (child + 1 < heap_.size() && before(heap_[child + 1], heap_[child]))
        ++child;
      if (!before(heap_[child], moving))
        break;
      put(place, heap_[child]);
      place = child;
    }
    put(place, moving);
  }

  std::vector<node> heap_;
  std::vector<std::uint32_t> places_;
};

} // namespace sedgechute
