#pragma once

#include "telemetry/impl/metrics.hpp"
#include "telemetry/impl/structured_log.hpp"

#include <map>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Where this host reads what others wrote.
enum class entry_topic {
  endpoints,
  configuration,
  hosts,
  accounts,
  datagrams,
  evacuations,
  quarantines,
};

/// \brief An entry that could not be read, and why.
struct entry_fault {
  std::string key;
  std::string why;
  bool superseded{false}; ///< a later record under the key can be read

  bool operator==(const entry_fault&) const = default;
};

/// \brief Reports entries that cannot be used: one line and one count for each entry that becomes
/// unusable, or is so for another reason. Thread-safe.
class entry_faults {
 public:
  /// \param most_kept  entries that are remembered as reported, so that no writer can make this
  ///   host run out of memory; beyond it some are reported again
  entry_faults(structured_log& log, metrics& figures, std::size_t most_kept = 1000);
  entry_faults(const entry_faults&) = delete;
  entry_faults& operator=(const entry_faults&) = delete;
  ~entry_faults() = default;

  /// \brief The entry cannot be used.
  void note(entry_topic topic, std::string_view key, std::string_view why);
  /// \brief The entry is rejected, as it is older than what is known.
  void note_outdated(entry_topic topic, std::string_view key, std::string_view why);
  /// \brief The entry can be used, or is gone.
  void clear(entry_topic topic, std::string_view key);
  /// \brief All entries of the topic can be used.
  void clear(entry_topic topic);

 private:
  using reasons = std::map<std::string, std::string, std::less<>>;

  structured_log& log_;
  metrics& figures_;
  std::size_t most_kept_;
  ordered_mutex mutex_{lock_rank::telemetry};
  std::map<entry_topic, reasons> reported_; ///< by key
};

template <>
struct enum_names<entry_topic> {
  static constexpr auto entries =
      enum_table<entry_topic>({{entry_topic::endpoints, "endpoints"},
                               {entry_topic::configuration, "configuration"},
                               {entry_topic::hosts, "hosts"},
                               {entry_topic::accounts, "accounts"},
                               {entry_topic::datagrams, "datagrams"},
                               {entry_topic::evacuations, "evacuations"},
                               {entry_topic::quarantines, "quarantines"}});
};

} // namespace sedgechute
