#pragma once

#include "claims/impl/answer_store.hpp"
#include "claims/impl/claim_key.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace sedgechute {

/// \brief The holder's decision on a request under a key.
enum class claim_verdict {
  granted,    ///< the requesting host may run this attempt
  running,    ///< another attempt runs on the entry host of `current`
  answered,   ///< an attempt was answered; the hosts of `current` may still store the answer
  key_reused, ///< the key was used with another request body
  unknown,    ///< an attempt may have run
  absent,     ///< reply to a look-up: no attempt under this key ran
  expired,    ///< the minted key is older than the retention
  full,       ///< the limit on stored claims is reached
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

/// \brief The witness's result of a `countersign_request`.
enum class countersign_result {
  accepted, ///< stored; no later state was stored before
  newer,    ///< the witness knows a later state of this claim
  sealed,   ///< the witness accepts no more claims of this epoch
};

template <>
struct enum_names<countersign_result> {
  static constexpr auto entries =
      enum_table<countersign_result>({{countersign_result::accepted, "accepted"},
                                      {countersign_result::newer, "newer"},
                                      {countersign_result::sealed, "sealed"}});
};

/// \brief Entry host to holder: requests a claim. Repeated until answered.
struct claim_request {
  claim wanted;       ///< its attempt and state are not set
  bool answer_lost{}; ///< the retained answer was requested and is no longer stored
  bool look_up{};     ///< only report the state of the key, grant nothing

  bool operator==(const claim_request&) const = default;
};

/// \brief Holder to entry host: the decision on a `claim_request`.
struct claim_reply {
  std::uint64_t ticket{};
  claim_verdict verdict{claim_verdict::unknown};
  std::uint64_t epoch{};
  /// The claim granted, or the existing one that prevents it. Left out if the claim is granted as
  /// requested at its first attempt, which is by far the most frequent reply.
  std::optional<claim> current;

  bool operator==(const claim_reply&) const = default;
};

/// \brief Holder to witness: stores a claim before it takes effect.
struct countersign_request {
  std::uint64_t epoch{};
  claim subject;
  std::uint64_t serial{}; ///< the holder's unique number of this proposal

  bool operator==(const countersign_request&) const = default;
};

/// \brief Witness to holder.
struct countersign_reply {
  claim_shard shard;
  std::uint64_t epoch{};
  countersign_result result{countersign_result::accepted};
  std::uint64_t serial{};       ///< of the request
  std::optional<claim> subject; ///< the later state, if the result is `newer`

  bool operator==(const countersign_reply&) const = default;
};

/// \brief Entry host to holder: the state of an attempt. Repeated until acknowledged. Attempt 0
/// gives back a ticket for which the entry host has received no grant.
struct claim_report {
  claim subject;

  bool operator==(const claim_report&) const = default;
};

/// \brief Holder to entry host.
struct claim_report_ack {
  std::uint64_t ticket{};
  request_state state{request_state::answered};
  bool current{}; ///< no later attempt was granted

  bool operator==(const claim_report_ack&) const = default;
};

/// \brief A part of the table of a shard's claims. Sent by the holder to a new witness, or to the
/// current holder by the holder or witness of an earlier epoch that was wrongly believed lost.
struct table_part {
  claim_shard shard;
  std::uint64_t epoch{};       ///< current epoch
  std::uint64_t known_since{}; ///< for a table of an earlier epoch: it has all claims since this
                               ///< epoch; else 0
  std::uint64_t until{}; ///< for a table of an earlier epoch: it has no claims from this epoch on
  std::uint64_t transfer{}; ///< the sender's number of this transfer
  std::uint32_t part{};     ///< index from 0
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

/// \brief From a host that was wrongly believed lost to the current holder and witness: it has read
/// the record of this epoch, so it no longer acts under an earlier one.
struct epoch_seen {
  claim_shard shard;
  std::uint64_t epoch{};

  bool operator==(const epoch_seen&) const = default;
};

/// \brief Entry host to peer: a copy of an answer or stream position.
struct replica_put {
  std::uint64_t ticket{};
  claim_id id;
  retained_answer answer;

  bool operator==(const replica_put&) const = default;
};

/// \brief Peer to entry host: the complete answer is stored.
struct replica_stored {
  std::uint64_t ticket{};

  bool operator==(const replica_stored&) const = default;
};

/// \brief Entry host to another host: requests its copy of an answer or stream position.
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

/// \brief Maximum number of claims in one `table_part`.
inline constexpr std::size_t max_claims_per_part = 256;
/// \brief Maximum number of parts of one table.
inline constexpr std::uint32_t max_table_parts = 65536;

} // namespace sedgechute
