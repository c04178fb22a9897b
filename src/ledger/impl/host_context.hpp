#pragma once

#include "ledger/impl/ledger_state.hpp"
#include "ledger/impl/live_hosts.hpp"
#include "ledger/impl/output.hpp"

#include <vector>

namespace sedgechute::ledger {

/// \brief Identifies an attempt of a request at its holder.
struct attempt_id {
  name_index entry{no_name};
  ticket_number ticket{};

  bool operator==(const attempt_id&) const = default;
};

/// \brief State shared by the entry, holder and witness roles of one host.
class host_context {
 public:
  host_context(incarnation self, const data_centre_id& data_centre, const ledger_options& options,
               std::uint64_t seed);

  [[nodiscard]] const ledger_options& options() const noexcept { return options_; }
  [[nodiscard]] bool is_injected(mutation fault) const noexcept { return options_.fault == fault; }
  [[nodiscard]] const incarnation& self() const noexcept { return self_; }
  [[nodiscard]] name_index self_index() const noexcept { return self_index_; }
  [[nodiscard]] name_index data_centre() const noexcept { return data_centre_; }

  void send(name_index to, ledger_message body);
  /// \brief Answers an attempt: by message, or through `local_replies` if it was made on this host.
  void reply(const attempt_id& attempt, reserve_reply answer);

  /// \brief Appends a record, and repeats it until it is read back from the log.
  record_id append(time_ms now, record_body body);
  /// \brief Appends a record once, for records that a newer one supersedes.
  record_id append_once(record_body body);
  /// \brief Stops repeating a record that was read back from the log.
  /// \returns whether this host was repeating it
  bool confirm_append(const record_id& id);
  /// \brief Stops repeating a record that can no longer be applied.
  void cancel_append(const record_id& id);
  void resend_appends(time_ms now);
  [[nodiscard]] std::size_t unconfirmed_appends() const noexcept { return unconfirmed_.size(); }

  ledger_state state;
  live_hosts live;
  budget_output out;
  std::vector<reserve_reply> local_replies;
  random_source random;

 private:
  struct unconfirmed_append {
    ledger_record record;
    time_ms sent;
  };

  [[nodiscard]] record_id random_id();

  ledger_options options_;
  incarnation self_;
  name_index self_index_;
  name_index data_centre_;
  std::vector<unconfirmed_append> unconfirmed_;
};

} // namespace sedgechute::ledger
