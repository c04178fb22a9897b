#pragma once

#include "relay/impl/part_quarantine.hpp"
#include "routing/impl/quarantine.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <vector>

namespace sedgechute {

/// \brief What the log holds of contents.
struct quarantine_page {
  quarantine_news news;                      ///< verdicts and deaths, the newest of each content
  std::vector<content_fingerprint> ended;    ///< whose verdict and evidence have expired
  std::vector<part_record> parts;            ///< without deaths: the record was deleted
  std::vector<part_fingerprint> ended_parts; ///< whose evidence has expired
  std::vector<entry_fault> faults;           ///< entries that cannot be parsed
  std::uint64_t end{};                       ///< offset after the last record read
  bool history_lost{false};                  ///< the requested records have been deleted
};

/// \brief Port to the log that keeps evidence and verdicts while hosts come and go: the newest
/// entry of each content or part, which holds all that its writer knew. Calls throw
/// `log_unavailable`.
class quarantine_log {
 public:
  quarantine_log() = default;
  quarantine_log(const quarantine_log&) = delete;
  quarantine_log& operator=(const quarantine_log&) = delete;
  virtual ~quarantine_log() = default;

  [[nodiscard]] virtual quarantine_page newest() = 0;
  [[nodiscard]] virtual quarantine_page read(std::uint64_t from) = 0;
  /// \brief Writes entries; that of a part without deaths is deleted.
  virtual void append(const quarantine_news& news, const std::vector<part_record>& parts) = 0;
  virtual void remove(const std::vector<content_fingerprint>& contents,
                      const std::vector<part_fingerprint>& parts) = 0;
};

} // namespace sedgechute
