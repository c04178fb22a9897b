#include "standin/impl/log_store.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <optional>

namespace sedgechute::standin {

namespace {

constexpr std::int64_t most_records_a_read = 10'000;
constexpr std::int64_t longest_wait_ms = 60'000;
constexpr std::chrono::milliseconds wait_step{200}; // so that a reader that left is noticed

std::int64_t now_ms() {
  return steady_clock{}.now().count();
}

/// \returns NAME of `/v1/streams/NAME/records`
std::optional<std::string> stream_named(const std::string& path) {
  static const std::string head = "/v1/streams/";
  static const std::string tail = "/records";
  if (path.size() <= head.size() + tail.size() || path.compare(0, head.size(), head) != 0 ||
      path.compare(path.size() - tail.size(), tail.size(), tail) != 0)
    return std::nullopt;
  return path.substr(head.size(), path.size() - head.size() - tail.size());
}

} // namespace

log_store::log_store(const log_options& options)
    : options_{options}, server_{options.address, [this](exchange& call) { handle(call); }} {}

void log_store::handle(exchange& call) {
  if (call.path() == "/admin/stats") {
    call.answer(200, stats());
    return;
  }
  const auto name = stream_named(call.path());
  if (!name)
    call.answer(404, error_text("no such path"));
  else if (call.method() == "POST")
    append(call, *name);
  else if (call.method() == "GET")
    read(call, *name);
  else
    call.answer(405, error_text("POST appends, GET reads"));
}

void log_store::append(exchange& call, const std::string& name) {
  const auto records = call.json_body()->getArray("records");
  if (records.isNull()) {
    call.answer(400, error_text("records must be a list"));
    return;
  }
  const int times = server_.board().take_duplicate() ? 2 : 1;
  std::uint64_t first = 0;
  {
    const std::scoped_lock lock{mutex_};
    stream& target = streams_[name];
    first = target.next();
    for (int time = 0; time < times; ++time) {
      for (unsigned i = 0; i < records->size(); ++i) {
        target.records.push_back({records->getElement<std::string>(i), now_ms()});
        bytes_ += target.records.back().data.size();
      }
    }
    ++appends_;
    expire(target);
  }
  appended_.notify_all();
  call.answer(200, "{\"first_offset\":" + std::to_string(first) + "}");
}

void log_store::read(exchange& call, const std::string& name) {
  const std::uint64_t from = std::max<std::int64_t>(call.number("from", 1), 1);
  const std::int64_t most =
      std::clamp<std::int64_t>(call.number("max", 1000), 1, most_records_a_read);
  const std::int64_t wait = std::clamp<std::int64_t>(call.number("wait_ms", 0), 0, longest_wait_ms);
  const std::int64_t deadline = now_ms() + wait;
  std::unique_lock lock{mutex_};
  stream& target = streams_[name];
  expire(target);
  while (from >= target.next() && now_ms() < deadline) {
    appended_.wait_for(lock, wait_step);
    lock.unlock();
    if (call.caller_gone() || server_.board().now().outage != outage_mode::none) {
      call.abandon(); // a reader that waits when an outage begins gets no answer
      return;
    }
    lock.lock();
  }
  if (from < target.first) {
    const std::string text = "{\"first\":" + std::to_string(target.first) + "}";
    lock.unlock();
    call.answer(410, text);
    return;
  }
  const std::uint64_t end = std::min<std::uint64_t>(target.next(), from + most);
  std::string text = "{\"first\":" + std::to_string(target.first) +
                     ",\"next\":" + std::to_string(std::max(from, end)) + ",\"records\":[";
  for (std::uint64_t offset = from; offset < end; ++offset) {
    text += offset == from ? "" : ",";
    text += "{\"offset\":" + std::to_string(offset) + ",\"data\":\"";
    text += target.records[offset - target.first].data + "\"}";
  }
  lock.unlock();
  call.answer(200, text + "]}");
}

void log_store::expire(stream& target) const {
  const std::int64_t oldest = options_.retain_ms > 0 ? now_ms() - options_.retain_ms : 0;
  while (!target.records.empty() &&
         (target.records.size() > options_.retain_records ||
          (options_.retain_ms > 0 && target.records.front().appended_ms < oldest))) {
    target.records.pop_front();
    ++target.first;
  }
}

std::string log_store::stats() {
  const std::scoped_lock lock{mutex_};
  Poco::JSON::Object streams;
  for (const auto& [name, target] : streams_) {
    Poco::JSON::Object entry;
    entry.set("first", target.first);
    entry.set("next", target.next());
    streams.set(name, entry);
  }
  Poco::JSON::Object all;
  all.set("appends", appends_);
  all.set("bytes", bytes_);
  all.set("streams", streams);
  return to_text(all);
}

} // namespace sedgechute::standin
