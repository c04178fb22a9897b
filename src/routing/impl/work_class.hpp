#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief How soon a team wants its work: the order of the list is the order of service.
enum class work_class {
  interactive, ///< chat: the first token is waited for
  standard,    ///< tags, summaries, plain calls
  long_running ///< drafts and reports: may start late, must finish
};

inline constexpr std::size_t work_class_count = 3;

template <>
struct enum_names<work_class> {
  static constexpr auto entries =
      enum_table<work_class>({{work_class::interactive, "interactive"},
                              {work_class::standard, "standard"},
                              {work_class::long_running, "long_running"}});
};

} // namespace sedgechute
