#pragma once

#include "ledger/impl/ledger_state.hpp"

#include <span>
#include <vector>

namespace sedgechute::ledger {

/// \brief A live host as membership sees it.
struct live_host {
  incarnation host;
  data_centre_id data_centre;
  bool leaving{}; ///< shutting down as planned: still answers, but gets no new work
};

/// \brief This host's view of which incarnations are alive. A wrong entry may cost an extra grant
/// but never causes overspending.
class live_hosts {
 public:
  /// \brief Replaces the list of live hosts; `names` interns them.
  void assign(time_ms now, std::span<const live_host> hosts, ledger_state& names);

  [[nodiscard]] bool is_live(name_index host) const noexcept;
  /// \returns whether the host is live and not leaving, so that it may get new work.
  [[nodiscard]] bool is_available(name_index host) const noexcept;
  /// \returns when the host was first missing from the list; the first list's time if it was never
  /// listed.
  [[nodiscard]] time_ms absent_since(name_index host) const noexcept;
  /// \returns the data centre of a live host, else `no_name`.
  [[nodiscard]] name_index data_centre_of(name_index host) const noexcept;
  [[nodiscard]] std::size_t data_centre_count() const noexcept { return data_centre_count_; }

  /// \returns the host that rendezvous hashing selects for `key` among available hosts other than
  /// `without`, in `data_centre` or, if that is `no_name`, in any; `no_name` if there is none.
  [[nodiscard]] name_index rendezvous_host(std::uint64_t key, name_index data_centre,
                                           name_index without) const noexcept;

 private:
  struct entry {
    bool live{};
    bool leaving{};
    time_ms absent_since;
    name_index data_centre{no_name};
  };
  struct candidate {
    name_index host;
    name_index data_centre;
    std::uint64_t hash;
  };

  bool assigned_{};
  time_ms first_assigned_;
  std::size_t data_centre_count_{};
  std::vector<entry> entries_; // by host index
  std::vector<candidate> candidates_;
};

} // namespace sedgechute::ledger
