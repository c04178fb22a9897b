#pragma once

#include "config/config.hpp"
#include "gateway/gateway.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sedgechute {

/// \brief The contracts and fleet settings in force on this host, as callers' requests and
/// operators see them. Thread-safe; each document is switched whole, and a request keeps what
/// admitted it.
class document_service final : public access_port {
 public:
  /// \brief Applies a record. Its outcome is withheld from waiters until `finish_apply`.
  [[nodiscard]] applied_document apply(std::uint64_t offset, const document_record& record,
                                       const committed_tokens& committed);
  /// \brief Ends `apply`: the effects of the record are in force, and its outcome may be returned.
  void finish_apply() noexcept;

  /// \brief The state in parts, as `document_store` gives and takes them. What is being restored
  /// takes effect at the end, at once.
  [[nodiscard]] cut_number open_cut();
  [[nodiscard]] std::optional<document_snapshot> next_part(cut_number cut, std::size_t most);
  void close_cut(cut_number cut);
  void begin_restore();
  void restore_part(const document_snapshot& part);
  void finish_restore();
  void abandon_restore() noexcept { arriving_.reset(); }

  [[nodiscard]] std::shared_ptr<const fleet_settings> fleet() const;
  [[nodiscard]] std::shared_ptr<const contract> find(const team_id& team);
  [[nodiscard]] std::size_t contracts() const;
  /// \brief Calls `visit` for each team with a contract; used after a restore.
  void for_each_contract(const std::function<void(const contract&)>& visit);

  /// \returns what would become of the record if it were the next one.
  [[nodiscard]] publish_outcome preview(const document_record& record,
                                        const committed_tokens& committed) const;
  /// \returns the outcome of a published record once it was replayed; waits for it.
  [[nodiscard]] std::optional<publish_outcome> wait_for_outcome(const std::string& record_id,
                                                                time_ms most);
  [[nodiscard]] document_revision revision_of(document_kind kind, const std::string& name) const;
  [[nodiscard]] std::string body_of(document_kind kind, const std::string& name);
  /// \brief Answers an operator's call from the documents as they are at one moment.
  [[nodiscard]] document_answer
  answer(const std::function<document_answer(document_store&)>& compose);
  [[nodiscard]] std::uint64_t sequence() const;
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] bool needs_newer_program() const;

  [[nodiscard]] team_id authenticate(const std::string& bearer) override;
  [[nodiscard]] access_grant admit(const access_request& request) override;
  [[nodiscard]] std::vector<model_id> models(const std::string& bearer) override;

 private:
  [[nodiscard]] contract_ptr entry_for(const std::string& bearer);

  mutable ordered_mutex mutex_{lock_rank::documents};
  std::condition_variable_any applied_;
  std::string applying_; ///< id of the record whose effects are not in force yet
  document_store store_;
  std::optional<document_store> arriving_; ///< used by the replaying thread only
};

} // namespace sedgechute
