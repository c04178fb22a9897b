#pragma once

#include "ledger/impl/units.hpp"

namespace sedgechute::ledger {

/// \brief A fault injected into the logic to show that the checks detect it. Only tests set one.
enum class mutation {
  none,
  skip_witness,          ///< use tokens that no witness countersigned
  unseal,                ///< a witness countersigns after it has reclaimed
  trust_append,          ///< use a grant before it is read back from the log
  reuse_epoch,           ///< a holder keeps using an epoch that its witness has sealed
  forget_record_ids,     ///< apply a repeated record again
  ignore_basis,          ///< apply a record so old that the ids of its repeats may be forgotten
  ignore_term,           ///< accept a reclaim of a replaced witness
  forget_early_opening,  ///< a new witness drops what it signed before it read its appointment
  open_while_replacing,  ///< use the old witness's answer after a replacement was sent
  forget_transfer_ids,   ///< credit a repeated transfer again
  send_without_debit,    ///< transfer tokens that stay usable at the sender
  decline_early,         ///< decline a transfer to an epoch whose grant was not read yet
  forget_settled,        ///< bill a retry of a billed request again
  forget_tickets,        ///< bill a late copy of a request again after its bill was forgotten
  bill_above_bound,      ///< bill the engine's usage even above the reserved bound
  return_reserved,       ///< close an epoch that still has open reservations
  grant_above_pool,      ///< let a grant exceed the pool
  reclaim_released,      ///< reclaim tokens that an operator has already released
  trust_old_incarnation, ///< answer messages addressed to an earlier incarnation
  cut_without_images,    ///< parts of a checkpoint include changes after its offset
};

/// \brief Sizes and timeouts of the ledger. Timeouts affect liveness only, never correctness.
struct ledger_options {
  log_offset repeat_window{32768}; ///< offsets within which a repeated grant is recognised

  time_ms reserve_wait{2000};        ///< a pending reservation is decided within this span
  time_ms message_resend{150};       ///< between repeats of an unanswered message
  time_ms append_resend{2000};       ///< between repeats of a record that was not read back
  time_ms report_interval{10000};    ///< between reports of spent tokens
  time_ms idle_close{900000};        ///< a slice unused for this long is returned
  time_ms probe_after{30000};        ///< age at which a holder probes an open reservation
  time_ms orphan_wait{120000};       ///< from an entry host's death to writing off its reservations
  time_ms settled_retention{120000}; ///< how long a settled key is remembered
  time_ms settle_give_up{600000};    ///< how long a settle is repeated to a lost holder
  time_ms abandon_wait{60000};       ///< both holder and witness lost for this long
  time_ms suspect_wait{0};           ///< from a holder's death to sealing its epochs

  token_count min_slice{4096};        ///< smallest slice requested while the pool is large
  std::int64_t first_slice_share{64}; ///< a first slice is at most pool / this
  time_ms slice_span{5400000};        ///< demand that a slice covers: more than an hour's partition
  time_ms rate_warmup{120000};        ///< until rates of demand are trusted
  time_ms chunk_span{2000};           ///< demand that a chunk should cover
  std::int64_t chunk_share{1024};     ///< an opened chunk is at most bought / this, or one request
  token_count collect_requests{8};    ///< one host collects a budget that covers fewer requests
  time_ms collect_span{20000};        ///< demand added to that threshold, as a span of time
  std::uint32_t busy_requests{2};     ///< requests of a data centre in `busy_span` to make it busy
  time_ms busy_span{600000};

  mutation fault{mutation::none};
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::mutation> {
  using enum sedgechute::ledger::mutation;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::mutation>({{none, "none"},
                                                {skip_witness, "skip_witness"},
                                                {unseal, "unseal"},
                                                {trust_append, "trust_append"},
                                                {reuse_epoch, "reuse_epoch"},
                                                {forget_record_ids, "forget_record_ids"},
                                                {ignore_basis, "ignore_basis"},
                                                {ignore_term, "ignore_term"},
                                                {forget_early_opening, "forget_early_opening"},
                                                {open_while_replacing, "open_while_replacing"},
                                                {forget_transfer_ids, "forget_transfer_ids"},
                                                {send_without_debit, "send_without_debit"},
                                                {decline_early, "decline_early"},
                                                {forget_settled, "forget_settled"},
                                                {forget_tickets, "forget_tickets"},
                                                {bill_above_bound, "bill_above_bound"},
                                                {return_reserved, "return_reserved"},
                                                {grant_above_pool, "grant_above_pool"},
                                                {reclaim_released, "reclaim_released"},
                                                {trust_old_incarnation, "trust_old_incarnation"},
                                                {cut_without_images, "cut_without_images"}});
};
