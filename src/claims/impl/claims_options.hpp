#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>

namespace sedgechute {

/// \brief Sizes, timeouts and limits. The numbers of shards must be the same on all hosts and must
/// never change, because they determine the shard of every key.
struct claims_options {
  std::uint32_t unpinned_shards{32};        ///< for callers' keys without `@DATA-CENTRE/` prefix
  std::uint32_t shards_per_data_centre{16}; ///< for minted keys, again for `@DATA-CENTRE/` keys

  time_ms begin_timeout{1500};   ///< wait for the holder's reply, at most twice per `begin`
  time_ms fetch_timeout{400};    ///< wait for copies of an answer
  time_ms resend_interval{150};  ///< of unanswered messages
  time_ms report_interval{500};  ///< of unacknowledged reports and positions
  time_ms report_timeout{30000}; ///< an unacknowledged report delays a planned stop this long
  time_ms append_interval{2000}; ///< of records not yet read back from the log

  time_ms startup_wait{3000};          ///< after start, before the first delegation is proposed
  time_ms replacement_wait{1000};      ///< a holder or witness missing this long is replaced
  time_ms single_host_wait{10000};     ///< the same, if there is no other host to be the witness
  time_ms pair_replacement_wait{4000}; ///< a shard is reassigned if both are missing this long
  time_ms empty_epoch_interval{30000}; ///< least time between epochs of a shard that start without
                                       ///< the claims of the previous one
  time_ms successor_wait{10000}; ///< a new incarnation alive this long proves the old one's end
  time_ms balance_interval{5000};

  time_ms retention{3600000}; ///< callers' keys are kept this long after their attempt ended
  /// A minted key is kept for at least (retained_rotations - 1) * rotation_period.
  time_ms rotation_period{1200000};
  std::size_t retained_rotations{4};
  std::size_t max_claims{200000}; ///< claims stored on one host, about 95 bytes each
  std::size_t max_claims_per_team{60000};
  std::int64_t transfer_claims_per_s{1200}; ///< in tables; about 110 bytes each
  std::size_t answer_bytes{12U << 20U};     ///< memory for retained answers
  std::size_t max_answer_bytes{1U << 20U};  ///< a longer answer is not retained
};

} // namespace sedgechute
