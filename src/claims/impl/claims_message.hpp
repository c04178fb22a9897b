#pragma once

#include "claims/impl/answer_store.hpp"
#include "claims/impl/claim_key.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace sedgechute {

/// \brief What the holder says about a request under a key.
enum class claim_verdict {
  granted,    ///< the asking host may run this attempt
  running,    ///< another attempt runs on the named host
  answered,   ///< an attempt was answered; the named hosts may still have the answer
  key_reused, ///< the key belongs to another body
  unknown,    ///< an attempt may have run
  absent,     ///< answer to a look-up: no attempt under this key ran
  expired,    ///< the key is older than what is remembered
  full,       ///< no room for another claim
};

template <>
struct enum_names<claim_verdict> {
  static constexpr auto entries =
      enum_table<claim_verdict>({{claim_verdict::granted, "granted"},
                                 {claim_verdict::running, "running"},
                                 {claim_verdict::answered, "answered"},
                                 {claim_verdict::key_reused, "key_reused"},
                                 {claim_verdict::unknown, "unknown"},
                                 {claim_verdict::absent, "absent"},
                                 {claim_verdict::expired, "expired"},
                                 {claim_verdict::full, "full"}});
};

enum class countersign_result {
  accepted, ///< stored, and nothing later was stored before
  newer,    ///< the witness knows a later state of this claim
  sealed,   ///< the witness serves this epoch no more
};

template <>
struct enum_names<countersign_result> {
  static constexpr auto entries =
      enum_table<countersign_result>({{countersign_result::accepted, "accepted"},
                                      {countersign_result::newer, "newer"},
                                      {countersign_result::sealed, "sealed"}});
};

/// \brief Entry host to holder: may I run this? Repeated until answered.
struct claim_request {
  claim wanted;       ///< attempt and state are not set yet
  bool answer_lost{}; ///< the retained answer was asked for and is gone
  bool look_up{};     ///< only tell how the key stands, grant nothing

  bool operator==(const claim_request&) const = default;
};

/// \brief Holder to entry host.
struct claim_reply {
  std::uint64_t ticket{};
  claim_verdict verdict{claim_verdict::unknown};
  std::uint64_t epoch{};
  /// The claim granted, or the one in the way. Nothing is the claim as asked for, at its first
  /// attempt: by far the most frequent answer.
  std::optional<claim> current;

  bool operator==(const claim_reply&) const = default;
};

/// \brief Holder to witness: store this before it takes effect.
struct countersign_request {
  std::uint64_t epoch{};
  claim subject;
  std::uint64_t serial{}; ///< the holder's number for exactly this proposal

  bool operator==(const countersign_request&) const = default;
};

struct countersign_reply {
  claim_shard shard;
  std::uint64_t epoch{};
  countersign_result result{countersign_result::accepted};
  std::uint64_t serial{};       ///< as requested
  std::optional<claim> subject; ///< the later state that the witness knows, if it is `newer`

  bool operator==(const countersign_reply&) const = default;
};

/// \brief Entry host to holder: how an attempt stands. Repeated until acknowledged. Attempt 0 gives
/// up a ticket whose grant, if any, was never seen.
struct claim_report {
  claim subject;

  bool operator==(const claim_report&) const = default;
};

struct claim_report_ack {
  std::uint64_t ticket{};
  request_state state{request_state::answered};
  bool current{}; ///< no later attempt was granted

  bool operator==(const claim_report_ack&) const = default;
};

/// \brief A part of the claims of a shard: from the holder to a new witness, or from the holder or
/// witness of an earlier epoch, wrongly believed to be lost, to the present holder.
struct table_part {
  claim_shard shard;
  std::uint64_t epoch{}; ///< present one
  std::uint64_t
      known_since{};        ///< of an earlier epoch's table: it has all claims since then, else 0
  std::uint64_t until{};    ///< of an earlier epoch's table: it has none from this epoch on
  std::uint64_t transfer{}; ///< the sender's number for this transfer
  std::uint32_t part{};
  std::uint32_t parts{};
  std::vector<claim> claims;

  bool operator==(const table_part&) const = default;
};

struct table_part_ack {
  claim_shard shard;
  std::uint64_t epoch{};
  std::uint64_t transfer{};
  std::uint32_t part{};

  bool operator==(const table_part_ack&) const = default;
};

/// \brief From a host that was wrongly believed to be lost to the present holder and witness: it
/// has read of this epoch, so it acts under no earlier one any more.
struct epoch_seen {
  claim_shard shard;
  std::uint64_t epoch{};

  bool operator==(const epoch_seen&) const = default;
};

/// \brief Entry host to its peer: copy of an answer or stream position.
struct replica_put {
  std::uint64_t ticket{};
  claim_id id;
  retained_answer answer;

  bool operator==(const replica_put&) const = default;
};

/// \brief Peer to entry host: the complete answer was taken in.
struct replica_stored {
  std::uint64_t ticket{};

  bool operator==(const replica_stored&) const = default;
};

struct replica_fetch {
  std::uint64_t ticket{};
  claim_id id;

  bool operator==(const replica_fetch&) const = default;
};

struct replica_reply {
  std::uint64_t ticket{};
  bool found{};
  retained_answer answer;

  bool operator==(const replica_reply&) const = default;
};

using claims_message =
    std::variant<claim_request, claim_reply, countersign_request, countersign_reply, claim_report,
                 claim_report_ack, table_part, table_part_ack, epoch_seen, replica_put,
                 replica_stored, replica_fetch, replica_reply>;

struct addressed_claims_message {
  incarnation to;
  claims_message message;
};

/// \brief Most claims in one `table_part`.
inline constexpr std::size_t max_claims_per_part = 256;
/// \brief Most parts of one table.
inline constexpr std::uint32_t max_table_parts = 65536;

} // namespace sedgechute
