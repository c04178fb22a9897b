#pragma once

#include "config/impl/contract.hpp"
#include "config/impl/document_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>

namespace sedgechute {

/// \brief A document with the revision it came with. Requests in flight hold the one they were
/// admitted under.
template <typename T>
struct revised {
  document_revision revision{0};
  T value;
};

using contract_ptr = std::shared_ptr<const revised<contract>>;

/// \brief A contract as it is kept: what is the team's own in packed form, the rest by number,
/// because most teams have the same terms as many others.
struct packed_contract {
  document_revision revision{0};
  std::uint64_t record_hash{0}; ///< of the record id that brought the revision
  std::uint32_t terms{0};
  std::string identity;

  bool operator==(const packed_contract&) const = default;
};

/// \brief All contracts in force, compact: a team costs about 200 bytes until it is asked for.
class contract_set {
 public:
  [[nodiscard]] std::size_t size() const noexcept { return contracts_.size(); }

  /// \returns the revision in force, 0 when the team has no contract
  [[nodiscard]] document_revision revision_of(std::string_view team) const noexcept;
  /// \returns the hash of the record id that brought the revision in force
  [[nodiscard]] std::uint64_t record_hash_of(std::string_view team) const noexcept;
  /// \returns the contract in force or null. Recently asked ones are kept unpacked.
  [[nodiscard]] contract_ptr find(std::string_view team);
  /// \returns the contract whose key this is, or null; takes the same time for unknown key ids
  [[nodiscard]] contract_ptr authenticate(std::string_view bearer);

  /// \brief Puts a contract in force in place of the team's former one, at once.
  void put(document_revision revision, std::uint64_t record_hash, const contract& agreed);

  /// \returns why the contract cannot stand beside the others; empty when it can
  [[nodiscard]] std::string clash(const contract& agreed) const;
  /// \returns the sum of the shares of active contracts if `agreed` were in force
  [[nodiscard]] std::int64_t share_sum_with(const contract& agreed) const;
  [[nodiscard]] std::int64_t share_sum() const noexcept { return share_sum_; }
  /// \brief Calls `visit` once for each different set of terms of active contracts, with team,
  /// top-ups and keys empty.
  void for_each_terms(const std::function<void(const contract&)>& visit) const;
  void for_each_team(const std::function<void(const team_id&, document_revision)>& visit) const;

  /// \returns a value that is equal on hosts with equal contracts
  [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

  [[nodiscard]] const std::vector<packed_contract>& packed() const noexcept { return contracts_; }
  /// \returns the JSON text of each set of terms; empty text for numbers not in use
  [[nodiscard]] std::vector<std::string> terms_texts() const;
  /// \returns the position of a team's contract, or nothing
  [[nodiscard]] std::optional<std::uint32_t> position_of(std::string_view team) const noexcept;
  /// \brief Takes over what `terms_texts` gave, before the contracts that name them.
  /// \throws error `invalid_document` when a text is no contract
  void add_terms(const std::vector<std::string>& texts);
  /// \brief Takes over contracts in the order of `packed`.
  /// \throws error `invalid_document` when they don't fit together
  void add_packed(const std::vector<packed_contract>& contracts);

 private:
  struct shared_terms {
    contract value;
    std::string text;
    std::uint32_t uses{0};
    std::uint32_t active_uses{0};
  };

  [[nodiscard]] const packed_contract* packed_of(std::string_view team) const noexcept;
  [[nodiscard]] contract unpack(const packed_contract& packed) const;
  [[nodiscard]] contract_ptr load(std::uint32_t index);
  [[nodiscard]] std::uint32_t take_terms(const contract& agreed);
  void count_in(std::uint32_t index, const contract& agreed);
  void count_out(std::uint32_t index);

  std::vector<packed_contract> contracts_; ///< in the order of their first publishing
  absl::flat_hash_map<std::uint64_t, std::uint32_t> by_team_;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> by_key_id_;
  std::vector<shared_terms> terms_;
  absl::flat_hash_map<std::string, std::uint32_t> terms_by_text_;
  std::vector<std::uint32_t> free_terms_;
  absl::flat_hash_map<std::uint32_t, contract_ptr> unpacked_;
  std::int64_t share_sum_{0};
  std::uint64_t digest_{0};
};

} // namespace sedgechute
