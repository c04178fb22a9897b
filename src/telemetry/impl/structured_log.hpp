#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace sedgechute {

enum class severity { debug, info, warning, error };

/// \brief The details a line may carry. The list is closed and has no place for a prompt, an
/// answer or a key.
enum class log_field {
  address,
  age_ms,
  attempt,
  before_ms,
  bytes,
  content,
  count,
  data_centre,
  document,
  duration_ms,
  entry,
  epoch,
  estimate_ms,
  first_event_ms,
  free,
  granted,
  idle_ms,
  kind,
  missing_tokens,
  model,
  offset,
  on_connection,
  open,
  path,
  peer,
  pool,
  reason,
  recorded,
  revision,
  sequence,
  service,
  stage,
  started_ms,
  status,
  rate,
  tokens,
  unread_tokens,
  used,
  version,
};

/// \brief Whom a line is about; empty where it does not apply.
struct log_subject {
  std::string_view request{};
  std::string_view team{};
  std::string_view endpoint{};
};

/// \brief One detail. Text is cut to 256 bytes.
struct log_value {
  log_field field;
  std::variant<std::int64_t, std::string_view> value;

  log_value(log_field name, std::string_view text) : field{name}, value{text} {}
  log_value(log_field name, const std::string& text) : log_value{name, std::string_view{text}} {}
  log_value(log_field name, const char* text) : log_value{name, std::string_view{text}} {}
  log_value(log_field name, std::integral auto number)
      : field{name}, value{static_cast<std::int64_t>(number)} {}
  log_value(log_field name, time_ms span) : field{name}, value{span.count()} {}
};

struct log_options {
  std::string host;
  std::string file;               ///< empty: standard error
  bool to_standard_output{false}; ///< instead of standard error, without a file
  severity least{severity::info};
  std::uint32_t repeats{5}; ///< lines of one event and subject allowed per window
  time_ms window{time_ms{1000}};
  std::size_t queued_lines{0}; ///< written by a thread of their own, at most so many; 0: at once
};

/// \brief JSON lines over log4cplus. Lines of the same event about the same team and endpoint are
/// limited to `repeats` in each window; the first line after them says how many were suppressed.
///
/// Safe for any number of threads. At most one exists per `log_options::host` name at a time.
class structured_log {
 public:
  /// \throws error when the file cannot be opened
  explicit structured_log(log_options options);
  structured_log(const structured_log&) = delete;
  structured_log& operator=(const structured_log&) = delete;
  ~structured_log();

  /// \param event  a fixed name in snake_case, such as `endpoint_ejected`
  void write(severity level, std::string_view event, const log_subject& subject = {},
             std::initializer_list<log_value> details = {});

  /// \brief Writes what is queued, and takes no more lines. Whoever ends the process without
  /// unwinding calls it last: the newest lines tell most, and lie in the queue.
  /// \param most  to wait for a reader that does not read
  /// \returns lines that no reader got and no line counts
  std::uint64_t finish(time_ms most) noexcept;

  /// \returns how many lines were suppressed so far
  [[nodiscard]] std::uint64_t suppressed() const;

 private:
  struct repeat {
    time_ms since;
    std::uint32_t written{0};
    std::uint64_t suppressed{0};
  };
  struct sink;

  void put(severity level, std::string line);

  /// \returns how many lines to report as suppressed before this one; nothing: suppress it too
  [[nodiscard]] std::optional<std::uint64_t> admit(std::string key, time_ms now);

  log_options options_;
  steady_clock clock_;
  mutable ordered_mutex mutex_{lock_rank::telemetry};
  std::unordered_map<std::string, repeat> repeats_;
  std::uint64_t suppressed_{0};
  std::unique_ptr<sink> sink_;
};

/// \brief One log line without its end.
[[nodiscard]] std::string log_line(time_ms wall, severity level, std::string_view host,
                                   std::string_view event, const log_subject& subject,
                                   std::initializer_list<log_value> details,
                                   std::uint64_t suppressed);

/// \returns e.g. `2026-03-01T08:05:09.123Z`
[[nodiscard]] std::string utc_text(time_ms wall);

template <>
struct enum_names<severity> {
  static constexpr auto entries = enum_table<severity>({{severity::debug, "debug"},
                                                        {severity::info, "info"},
                                                        {severity::warning, "warning"},
                                                        {severity::error, "error"}});
};

template <>
struct enum_names<log_field> {
  static constexpr auto entries =
      enum_table<log_field>({{log_field::address, "address"},
                             {log_field::age_ms, "age_ms"},
                             {log_field::attempt, "attempt"},
                             {log_field::before_ms, "before_ms"},
                             {log_field::bytes, "bytes"},
                             {log_field::content, "content"},
                             {log_field::count, "count"},
                             {log_field::data_centre, "data_centre"},
                             {log_field::document, "document"},
                             {log_field::duration_ms, "duration_ms"},
                             {log_field::entry, "entry"},
                             {log_field::epoch, "epoch"},
                             {log_field::estimate_ms, "estimate_ms"},
                             {log_field::first_event_ms, "first_event_ms"},
                             {log_field::free, "free"},
                             {log_field::granted, "granted"},
                             {log_field::idle_ms, "idle_ms"},
                             {log_field::kind, "kind"},
                             {log_field::missing_tokens, "missing_tokens"},
                             {log_field::model, "model"},
                             {log_field::offset, "offset"},
                             {log_field::on_connection, "on_connection"},
                             {log_field::open, "open"},
                             {log_field::path, "path"},
                             {log_field::peer, "peer"},
                             {log_field::pool, "pool"},
                             {log_field::reason, "reason"},
                             {log_field::recorded, "recorded"},
                             {log_field::revision, "revision"},
                             {log_field::sequence, "sequence"},
                             {log_field::service, "service"},
                             {log_field::stage, "stage"},
                             {log_field::started_ms, "started_ms"},
                             {log_field::status, "status"},
                             {log_field::rate, "rate"},
                             {log_field::tokens, "tokens"},
                             {log_field::unread_tokens, "unread_tokens"},
                             {log_field::used, "used"},
                             {log_field::version, "version"}});
};

} // namespace sedgechute
