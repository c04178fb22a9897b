#pragma once

#include "config/impl/check_document.hpp"
#include "config/impl/document_store.hpp"

namespace sedgechute {

/// \brief An answer of the admin API to a call about documents.
struct document_answer {
  int status{200};
  json_node body;
};

/// \brief Body of a publish.
struct publish_request {
  std::string record_id;
  document_revision replaces{0};
  std::uint64_t based_on{0};
  std::string body;
};

/// \brief How far a host has come, as other hosts know it.
struct host_progress {
  host_id host;
  data_centre_id data_centre;
  document_revision revision{0}; ///< of the document asked for
  bool reachable{false};
  bool needs_newer_program{false};
  time_ms heard; ///< age of what is known
};

/// \brief Reads the body of a publish, or of a check when `record_id` may be missing.
[[nodiscard]] checked<publish_request> read_publish_request(std::string_view text);

/// \returns the record that a publish appends
[[nodiscard]] document_record record_for(const publish_request& request, document_kind kind,
                                         std::string_view name, std::string_view author,
                                         time_ms published_at);

[[nodiscard]] document_answer error_answer_for(error_kind kind, const std::string& where,
                                               const std::string& why);
[[nodiscard]] json_node outcome_node(const publish_outcome& outcome);

/// \brief Answers `GET documents/{kind}/{name}`.
[[nodiscard]] document_answer show_document(document_store& store, document_kind kind,
                                            std::string_view name);
/// \brief Answers `GET documents/{kind}`: names after `after`, at most `most`.
[[nodiscard]] document_answer list_documents(const document_store& store, document_kind kind,
                                             std::string_view after, std::size_t most);
/// \brief Answers `GET documents/{kind}/{name}/history`, newest first.
[[nodiscard]] document_answer document_history(const document_store& store, document_kind kind,
                                               std::string_view name, std::size_t most);
/// \brief Answers `POST documents/{kind}/{name}/check`.
[[nodiscard]] document_answer check_answer(const publish_outcome& preview);
/// \brief Answers `POST documents/{kind}/{name}` once the record's outcome is known.
[[nodiscard]] document_answer publish_answer(document_store& store, const publish_outcome& outcome,
                                             bool repeated);
/// \brief Answers `POST documents/{kind}/{name}` while it is not.
[[nodiscard]] document_answer pending_answer(std::string_view record_id);
/// \brief Answers `GET outcomes/{record_id}`.
[[nodiscard]] document_answer show_outcome(const document_store& store, std::string_view record_id);
/// \brief Answers `GET rollout/{kind}/{name}`.
[[nodiscard]] document_answer rollout_answer(document_revision wanted,
                                             const std::vector<host_progress>& hosts);

} // namespace sedgechute
