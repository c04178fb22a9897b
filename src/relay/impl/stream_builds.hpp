#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/endpoint_build.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Identifies the caller's attempt that began a stream; the same on all hosts. A team cannot
/// name the attempts of another one.
using stream_key = std::uint64_t;

[[nodiscard]] stream_key stream_key_of(std::string_view team, std::string_view attempt) noexcept;

/// \brief What is known of the build that began a stream.
struct stream_build {
  enum class state {
    unknown,
    known,
    ambiguous, ///< streams of several builds began under the same attempt
  };
  state knowledge{state::unknown};
  build_hash build{}; ///< with `known`

  bool operator==(const stream_build&) const = default;
};

/// \returns what two sources know together
[[nodiscard]] stream_build combine(const stream_build& a, const stream_build& b) noexcept;

/// \brief The build that began a stream, as hosts send it to each other.
struct stream_record {
  stream_key stream{};
  stream_build built_by;
  time_ms lifetime; ///< time for which it is kept
};

/// \brief The builds that began streams, by the attempts that began them. Not thread-safe.
class stream_build_table {
 public:
  /// \param max_records  beyond which new streams are not recorded
  explicit stream_build_table(std::size_t max_records = 65536) : max_records_{max_records} {}

  void note(const stream_record& record, time_ms now);
  [[nodiscard]] stream_build find(stream_key stream, time_ms now) const;
  /// \returns all records, for hosts that take over
  [[nodiscard]] std::vector<stream_record> records(time_ms now) const;
  void expire(time_ms now);
  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

 private:
  struct record {
    stream_build built_by;
    time_ms until;
  };

  std::size_t max_records_;
  std::unordered_map<stream_key, record> records_;
};

/// \brief A host that may hold records of streams.
struct record_host {
  std::string name;
  std::string data_centre;
  std::uint64_t hash{}; ///< stable hash of `name`
};

/// \returns the names of the hosts that hold the record of a stream, by rendezvous hashing; they
/// lie in as many data centres as possible
[[nodiscard]] std::vector<std::string>
record_holders(stream_key stream, std::span<const record_host> hosts, std::size_t count);

/// \param earlier  hosts of the list before, where other hosts may have sent the record
/// \returns the names of the hosts that may hold the record of a stream
[[nodiscard]] std::vector<std::string> possible_holders(stream_key stream,
                                                        std::span<const record_host> hosts,
                                                        std::span<const record_host> earlier,
                                                        std::size_t count);

struct build_lookup_options {
  time_ms resend_interval{25}; ///< of queries without an answer
  time_ms timeout{100};
};

/// \brief Asks the holders of a record for the build that began a stream. Not thread-safe.
class build_lookup {
 public:
  build_lookup(std::vector<std::string> holders, const build_lookup_options& options, time_ms now);

  /// \brief Takes the answer of a holder.
  /// \param holder  index in the list of holders
  void take(std::size_t holder, const stream_build& answer);
  /// \returns the indexes of the holders to be asked now
  [[nodiscard]] std::vector<std::size_t> due(time_ms now);
  /// \returns when `due` or `result` is to be called next
  [[nodiscard]] time_ms next() const noexcept;
  /// \returns nothing while answers are awaited
  [[nodiscard]] std::optional<stream_build> result(time_ms now) const;
  [[nodiscard]] const std::vector<std::string>& holders() const noexcept { return holders_; }

 private:
  std::vector<std::string> holders_;
  std::vector<bool> answered_;
  stream_build found_;
  build_lookup_options options_;
  time_ms deadline_;
  time_ms next_send_;
};

} // namespace sedgechute
