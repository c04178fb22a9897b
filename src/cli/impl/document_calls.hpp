#pragma once

#include "cli/impl/api_client.hpp"
#include "cli/impl/document_file.hpp"

namespace sedgechute::cli {

/// \brief The document in force as a host shows it.
struct shown_document {
  std::uint64_t revision{0}; ///< 0 when there is none
  std::uint64_t sequence{0};
  std::string body;
};

/// \returns the path of a document below the admin API
[[nodiscard]] std::string document_path(file_kind kind, const std::string& name);
/// \returns the document in force, with revision 0 when there is none
[[nodiscard]] shown_document fetch_document(api_client& client, file_kind kind,
                                            const std::string& name);

/// \brief Writes how the documents differ, one place a line.
/// \returns whether they differ
bool print_difference(const json_node& before, const json_node& after, const invocation& call);

/// \brief Waits until the revision is in force on every host, and reports host by host.
[[nodiscard]] exit_code wait_for_rollout(api_client& client, file_kind kind,
                                         const std::string& name, std::uint64_t revision,
                                         const invocation& call);

} // namespace sedgechute::cli
