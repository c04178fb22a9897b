#pragma once

#include "ledger/impl/units.hpp"

#include <absl/container/flat_hash_set.h>

#include <cstring>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace sedgechute::ledger {

/// \brief Interns names: each distinct name is stored once, in a shared block, and has a dense
/// index.
class name_table {
 public:
  name_table() : lookup_{0, hash_of{this}, same{this}} {}
  name_table(const name_table&) = delete;
  name_table& operator=(const name_table&) = delete;
  ~name_table() = default;

  [[nodiscard]] name_index intern(std::string_view name);
  /// \returns the index, or `no_name` for a name never interned.
  [[nodiscard]] name_index find(std::string_view name) const;
  [[nodiscard]] std::string_view name(name_index index) const {
    const stored& s = names_[index];
    return {s.text, s.length};
  }
  [[nodiscard]] std::size_t size() const noexcept { return names_.size(); }
  void clear();

 private:
  struct stored {
    const char* text;
    std::uint32_t length;
  };
  // The set stores indices only; they are hashed and compared by their names.
  struct hash_of {
    using is_transparent = void;
    const name_table* table;
    std::size_t operator()(std::string_view name) const {
      return absl::Hash<std::string_view>{}(name);
    }
    std::size_t operator()(name_index index) const { return (*this)(table->name(index)); }
  };
  struct same {
    using is_transparent = void;
    const name_table* table;
    bool operator()(name_index a, name_index b) const { return a == b; }
    bool operator()(name_index a, std::string_view b) const { return table->name(a) == b; }
    bool operator()(std::string_view a, name_index b) const { return a == table->name(b); }
  };

  const char* store(std::string_view name);

  std::deque<stored> names_;
  absl::flat_hash_set<name_index, hash_of, same> lookup_;
  std::vector<std::unique_ptr<char[]>> blocks_; // NOLINT(modernize-avoid-c-arrays)
  std::size_t block_size_{0};
  std::size_t block_used_{0};
};

} // namespace sedgechute::ledger
