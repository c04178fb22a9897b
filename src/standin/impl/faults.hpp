#pragma once

#include "kernel/kernel.hpp"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace sedgechute::standin {

/// \brief What an engine does with an order that carries an old fencing number.
enum class fencing_mode { refuse, ignore };

/// \brief How an outage shows: `unavailable` answers 503, `mute` never answers.
enum class outage_mode { none, unavailable, mute };

/// \brief Faults in force at one stand-in. Times in milliseconds.
struct faults {
  std::int64_t delay_ms{0};         ///< wait before a call is handled
  std::int64_t late_ms{0};          ///< wait between a call's effect and its answer
  std::int64_t lose_answers{0};     ///< so many answers are lost after the effect; -1: all
  std::int64_t duplicate{0};        ///< so many effects or events happen twice; -1: all
  std::int64_t cut_after_tokens{0}; ///< each stream's connection is closed after so many tokens
  std::int64_t extra_usage{0};      ///< added to the completion tokens that are reported
  std::int64_t restart_ms{1000};    ///< how long a crashed stand-in stays away
  double slow_factor{1.0};
  outage_mode outage{outage_mode::none};
  fencing_mode fencing{fencing_mode::refuse};
  std::string crash_on; ///< a body that contains this text crashes the stand-in
  bool leaving{false};
  bool no_usage{false};
};

/// \brief The faults of one stand-in, switchable while it runs.
class fault_board {
 public:
  [[nodiscard]] faults now() const;

  /// \brief Overwrites the faults that `change` names and keeps the rest.
  /// \throws Poco::Exception for a value of the wrong type, sedgechute::error for an unknown name
  void merge(const Poco::JSON::Object& change);

  /// \returns whether this answer is to be lost; counts it.
  [[nodiscard]] bool take_lost_answer();

  /// \returns whether this effect is to happen twice; counts it.
  [[nodiscard]] bool take_duplicate();

 private:
  mutable std::mutex mutex_;
  faults faults_;
};

} // namespace sedgechute::standin

namespace sedgechute {

template <>
struct enum_names<standin::fencing_mode> {
  static constexpr auto entries = enum_table<standin::fencing_mode>(
      {{standin::fencing_mode::refuse, "refuse"}, {standin::fencing_mode::ignore, "ignore"}});
};

template <>
struct enum_names<standin::outage_mode> {
  static constexpr auto entries =
      enum_table<standin::outage_mode>({{standin::outage_mode::none, "none"},
                                        {standin::outage_mode::unavailable, "unavailable"},
                                        {standin::outage_mode::mute, "mute"}});
};

} // namespace sedgechute
