#pragma once

#include "cli/impl/subcommand.hpp"

namespace sedgechute::cli {

enum class file_kind { host, contract, fleet };

/// \brief A file and what checking it found.
struct checked_file {
  std::string path;
  std::string text;
  file_kind kind{file_kind::host};
  std::string name; ///< the host, the team or "fleet"
  std::vector<problem> problems;
  json_node canonical; ///< the document with all defaults, when it has no problems
};

/// \brief Reads a file and checks it by its kind's table.
/// \param wanted its kind; when missing, the kind is told by the keys it has
/// \throws failure `usage` when the file can't be read
[[nodiscard]] checked_file check_file(const std::string& path,
                                      std::optional<file_kind> wanted = std::nullopt);

/// \brief As `check_file`, for a document that is to be used.
/// \throws failure `faulty` with every problem when it has any
[[nodiscard]] checked_file require_good_file(const std::string& path, file_kind wanted);

/// \returns the document's JSON text with all defaults
/// \throws failure `failed` when the text doesn't pass the check
[[nodiscard]] json_node canonical_document(file_kind kind, const std::string& text);

} // namespace sedgechute::cli

template <>
struct sedgechute::enum_names<sedgechute::cli::file_kind> {
  using kind = cli::file_kind;
  static constexpr auto entries = enum_table<kind>(
      {{kind::host, "host"}, {kind::contract, "contract"}, {kind::fleet, "fleet"}});
};
