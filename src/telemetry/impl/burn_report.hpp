#pragma once

#include "telemetry/impl/burn_series.hpp"

#include <map>
#include <string>
#include <vector>

namespace sedgechute {

enum class burn_alert { none, ticket, page };

/// \brief How one team's class does against its objective. Rows of several hosts are merged.
struct burn_row {
  std::string team;
  std::string class_name;
  double objective{0.99}; ///< part of the requests that must be good
  good_total all;         ///< since the hosts started
  std::array<good_total, burn_windows> windows{};
  std::array<good_total, burn_history_points> history{}; ///< six hours, oldest first
};

/// \brief Counts good and total by team and class. Safe for any number of threads; bounded.
class burn_tracker {
 public:
  /// \param most_rows  teams' classes kept; requests of further ones are not counted here
  explicit burn_tracker(std::size_t most_rows = 4096) noexcept : most_rows_{most_rows} {}

  /// \param objective  part of the requests that must be good; the latest one counts
  void record(const std::string& team, const std::string& class_name, double objective, bool good,
              time_ms now);

  /// \returns rows in the order of team and class
  [[nodiscard]] std::vector<burn_row> rows(time_ms now) const;

 private:
  struct subject {
    std::string team;
    std::string class_name;
    auto operator<=>(const subject&) const = default;
  };
  struct tracked {
    double objective;
    burn_series series;
  };

  std::size_t most_rows_;
  mutable ordered_mutex mutex_{lock_rank::telemetry};
  std::map<subject, tracked> tracked_;
};

/// \brief Adds rows of another host to those of the same team and class.
void merge(std::vector<burn_row>& into, const std::vector<burn_row>& other);

/// \returns how many times faster than sustainable the error budget is used: 1 uses it up exactly
/// in the objective's period; 0 without requests
[[nodiscard]] double burn_rate(const good_total& counts, double objective) noexcept;
[[nodiscard]] double burn_rate(const burn_row& row, burn_window window) noexcept;

/// \brief Two windows must burn together: the long one shows that it matters, the short one that
/// it still goes on.
struct burn_rule {
  burn_window longer;
  burn_window shorter;
  double rate;
  burn_alert alert;
};

inline constexpr std::array burn_rules{
    burn_rule{burn_window::h1, burn_window::m5, 14.4, burn_alert::page},
    burn_rule{burn_window::h6, burn_window::m30, 6.0, burn_alert::page},
    burn_rule{burn_window::d1, burn_window::h2, 3.0, burn_alert::ticket},
    burn_rule{burn_window::d3, burn_window::h6, 1.0, burn_alert::ticket},
};

/// Fewer bad requests in the longer window raise no alert: a team with ten calls an hour would
/// page at its first failure.
inline constexpr std::uint64_t least_bad_for_alert = 5;

[[nodiscard]] burn_alert alert_of(const burn_row& row) noexcept;

/// \returns `{"as_of_ms","rows":[...]}`, by the admin API's page
[[nodiscard]] std::string burn_json(const std::vector<burn_row>& rows, time_ms as_of);
/// \returns a table for terminals, the worst rows first
[[nodiscard]] std::string burn_table(std::vector<burn_row> rows);
/// \returns a page that needs no other file and no script, the worst rows first
[[nodiscard]] std::string burn_html(std::vector<burn_row> rows, time_ms as_of);

/// \brief Orders rows by alert, then by the one-hour burn rate, worst first.
void sort_by_burn(std::vector<burn_row>& rows);

template <>
struct enum_names<burn_alert> {
  static constexpr auto entries = enum_table<burn_alert>(
      {{burn_alert::none, "none"}, {burn_alert::ticket, "ticket"}, {burn_alert::page, "page"}});
};

} // namespace sedgechute
