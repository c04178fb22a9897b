#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>

namespace sedgechute {

/// \brief Sizes, waits and bounds. The numbers of shards must be the same on all hosts for good:
/// they decide which holder a key belongs to.
struct claims_options {
  std::uint32_t unpinned_shards{32};        ///< for callers' keys that name no data centre
  std::uint32_t shards_per_data_centre{16}; ///< for minted keys, and again for `@DATA-CENTRE/` keys

  time_ms begin_timeout{1500};  ///< every `begin` ends in a decision after this and `fetch_timeout`
  time_ms fetch_timeout{400};   ///< wait for a copy of an answer
  time_ms resend_interval{150}; ///< of unanswered messages
  time_ms report_interval{500}; ///< of unacknowledged reports and positions
  time_ms report_timeout{30000}; ///< an unacknowledged report holds up a planned stop this long
  time_ms append_interval{2000}; ///< of records not yet read back

  time_ms startup_wait{3000};          ///< after start, before any delegation is proposed
  time_ms replacement_wait{1000};      ///< a host must be missing this long before it is replaced
  time_ms single_host_wait{10000};     ///< the same, where no other host is left to be the witness
  time_ms pair_replacement_wait{4000}; ///< holder and witness must be missing this long
  time_ms empty_epoch_interval{
      30000}; ///< between two epochs of a shard that know nothing of the one before
  time_ms successor_wait{
      10000}; ///< a successor must be seen this long to prove its predecessor's end
  time_ms balance_interval{5000};

  time_ms retention{3600000};        ///< callers' keys are remembered this long after their end
  time_ms rotation_period{1200000};  ///< a minted key is remembered for at least
  std::size_t retained_rotations{4}; ///< (retained_rotations - 1) * rotation_period
  std::size_t max_claims{200000};    ///< claims stored on one host, about 95 bytes each
  std::size_t max_claims_per_team{60000};
  std::int64_t transfer_claims_per_s{1200}; ///< in tables; about 110 bytes each
  std::size_t answer_bytes{12U << 20U};     ///< memory for retained answers
  std::size_t max_answer_bytes{1U << 20U};  ///< a longer answer is not retained
};

} // namespace sedgechute
