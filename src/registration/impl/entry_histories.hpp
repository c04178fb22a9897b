#pragma once

#include "registration/impl/entry_history.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace sedgechute {

/// \brief The histories of all ids: of the listed ones, and of the last that were removed. Not
/// thread-safe.
class entry_histories {
 public:
  /// \param max_removed  ids that are remembered after their removal
  explicit entry_histories(std::size_t max_removed = 4096);

  [[nodiscard]] entry_verdict classify(const endpoint_id& id, const entry_stamp& entry) const;
  void record(const endpoint_id& id, const entry_stamp& entry, entry_verdict verdict, time_ms now);
  void record_removal(const endpoint_id& id);
  void record_unusable(const endpoint_id& id);
  /// \returns null when nothing is known of the id
  [[nodiscard]] const entry_history* find(const endpoint_id& id) const;
  [[nodiscard]] std::size_t size() const noexcept { return known_.size(); }

 private:
  struct remembered {
    entry_history history;
    std::uint64_t removal{}; ///< its key in `removed_`; 0: it is listed
  };

  void keep_listed(remembered& of);
  void keep_removed(const endpoint_id& id, remembered& of);

  std::size_t max_removed_;
  std::map<endpoint_id, remembered> known_;
  std::map<std::uint64_t, endpoint_id> removed_; ///< in the order of the removals
  std::uint64_t last_removal_{0};
};

} // namespace sedgechute
