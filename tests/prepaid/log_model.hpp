#pragma once

#include "prepaid/prepaid.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief The log as the hosts' records go into it: appends on a condition, answers that are lost,
/// appends that are carried out late.
struct log_model {
  struct late_append {
    std::uint64_t at{};
    std::vector<account_record> records;
  };

  std::vector<account_record> records;
  std::vector<late_append> in_the_air; ///< not answered; may yet be carried out
  bool ignores_condition{false};       ///< a fault that a test puts in

  [[nodiscard]] std::uint64_t end() const { return records.size(); }

  [[nodiscard]] bool append_at(std::uint64_t at, const std::vector<account_record>& added) {
    if (at != end() && !ignores_condition)
      return false;
    records.insert(records.end(), added.begin(), added.end());
    return true;
  }

  void carry_out(std::size_t index) {
    const late_append chosen = in_the_air[index];
    in_the_air.erase(in_the_air.begin() + static_cast<std::ptrdiff_t>(index));
    (void)append_at(chosen.at, chosen.records);
  }

  void read_into(prepaid_book& book, time_ms now) const {
    for (std::uint64_t i = book.end(); i < records.size(); ++i)
      book.apply(records[i], i + 1, now);
  }
};

} // namespace sedgechute
