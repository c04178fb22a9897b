#include "telemetry/impl/structured_log.hpp"

#include "telemetry/impl/json_text.hpp"
#include "telemetry/impl/line_queue.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <ctime>

namespace sedgechute {

namespace {

constexpr std::size_t longest_text = 256;
constexpr std::size_t most_repeats = 4096;
constexpr int file_bytes = 16 * 1024 * 1024;
constexpr int kept_files = 2;

log4cplus::LogLevel level_of(severity level) noexcept {
  switch (level) {
  case severity::debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case severity::info:
    return log4cplus::INFO_LOG_LEVEL;
  case severity::warning:
    return log4cplus::WARN_LOG_LEVEL;
  case severity::error:
    break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr appender_for(const log_options& options) {
  if (options.file.empty())
    return log4cplus::SharedAppenderPtr{
        new log4cplus::ConsoleAppender{!options.to_standard_output, true}};
  return log4cplus::SharedAppenderPtr{
      new log4cplus::RollingFileAppender{options.file, file_bytes, kept_files, true}};
}

void append_member(std::string& line, std::string_view name, std::string_view text) {
  line += ",\"";
  line += name;
  line += "\":";
  append_json_string(line, text.substr(0, longest_text));
}

void append_member(std::string& line, std::string_view name, std::int64_t number) {
  line += ",\"";
  line += name;
  line += "\":";
  line += std::to_string(number);
}

// Once stopped the library cannot be started again, so it stays up until the process ends.
void start_library() {
  static const log4cplus::Initializer started;
}

std::string repeat_key(std::string_view event, const log_subject& subject) {
  std::string key{event};
  key.append(1, '\n').append(subject.team);
  key.append(1, '\n').append(subject.endpoint);
  return key;
}

} // namespace

struct structured_log::sink {
  log4cplus::Logger logger;
  std::unique_ptr<line_queue> queue; ///< null: lines are written at once
};

structured_log::structured_log(log_options options)
    : options_{std::move(options)}, sink_{std::make_unique<sink>()} {
  start_library();
  sink_->logger = log4cplus::Logger::getInstance("sedgechute." + options_.host);
  sink_->logger.setAdditivity(false);
  sink_->logger.setLogLevel(level_of(options_.least));
  const log4cplus::SharedAppenderPtr target = appender_for(options_);
  target->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  sink_->logger.removeAllAppenders();
  sink_->logger.addAppender(target);
  if (options_.queued_lines > 0)
    sink_->queue = std::make_unique<line_queue>(options_.queued_lines,
                                                [logger = sink_->logger](const std::string& line) {
                                                  logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line);
                                                });
}

structured_log::~structured_log() {
  sink_->queue.reset();
  sink_->logger.removeAllAppenders();
}

void structured_log::write(severity level, std::string_view event, const log_subject& subject,
                           std::initializer_list<log_value> details) {
  if (level < options_.least)
    return;
  const auto before = admit(repeat_key(event, subject), clock_.now());
  if (!before)
    return;
  put(level, log_line(wall_time(), level, options_.host, event, subject, details, *before));
}

std::uint64_t structured_log::finish(time_ms most) noexcept {
  return sink_->queue ? sink_->queue->finish(most) : 0;
}

void structured_log::put(severity level, std::string line) {
  if (!sink_->queue) {
    sink_->logger.forcedLog(level_of(level), line);
    return;
  }
  if (!sink_->queue->push(std::move(line)))
    return;
  if (const std::uint64_t dropped = sink_->queue->take_dropped(); dropped > 0)
    sink_->queue->push(log_line(wall_time(), severity::warning, options_.host, "log_lines_dropped",
                                {}, {{log_field::count, dropped}}, 0));
}

// An endpoint that fails each of a thousand requests a second would fill the log and cost more
// than the requests. The key leaves the request out, which differs on every line.
std::optional<std::uint64_t> structured_log::admit(std::string key, time_ms now) {
  const std::scoped_lock lock{mutex_};
  if (repeats_.size() >= most_repeats && !repeats_.contains(key))
    repeats_.clear(); // forgetting costs some extra lines, never memory
  repeat& seen = repeats_.try_emplace(std::move(key), repeat{.since = now}).first->second;
  if (now - seen.since >= options_.window) {
    const std::uint64_t before = seen.suppressed;
    seen = {.since = now, .written = 1};
    return before;
  }
  if (seen.written < options_.repeats) {
    ++seen.written;
    return 0;
  }
  ++seen.suppressed;
  ++suppressed_;
  return std::nullopt;
}

std::uint64_t structured_log::suppressed() const {
  const std::scoped_lock lock{mutex_};
  return suppressed_;
}

std::string log_line(time_ms wall, severity level, std::string_view host, std::string_view event,
                     const log_subject& subject, std::initializer_list<log_value> details,
                     std::uint64_t suppressed) {
  std::string line = "{\"time\":\"" + utc_text(wall) + "\"";
  append_member(line, "level", name_of(level));
  append_member(line, "event", event);
  append_member(line, "host", host);
  if (!subject.request.empty())
    append_member(line, "request_id", subject.request);
  if (!subject.team.empty())
    append_member(line, "team", subject.team);
  if (!subject.endpoint.empty())
    append_member(line, "endpoint", subject.endpoint);
  for (const log_value& detail : details)
    std::visit([&](const auto& value) { append_member(line, name_of(detail.field), value); },
               detail.value);
  if (suppressed > 0)
    append_member(line, "suppressed", static_cast<std::int64_t>(suppressed));
  return line + "}";
}

std::string utc_text(time_ms wall) {
  constexpr std::int64_t ms_a_second = 1000;
  const std::time_t seconds = wall.count() / ms_a_second;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(wall.count() % ms_a_second + ms_a_second);
  fraction.front() = '.'; // 1042 -> .042
  return std::string{text.data(), length} + fraction + "Z";
}

} // namespace sedgechute
