#include "standin/impl/plain_service.hpp"

#include "standin/impl/prompt.hpp"

#include <algorithm>
#include <array>
#include <thread>

namespace sedgechute::standin {

namespace {

constexpr std::size_t piece_bytes = 16'384;

struct body_digest {
  std::int64_t bytes{0};
  std::uint64_t hash{0};
};

/// Reads in pieces, so that a large upload costs no memory.
body_digest digest(std::istream& body) {
  body_digest seen;
  std::array<char, piece_bytes> piece{};
  while (body.good()) {
    body.read(piece.data(), piece.size());
    const auto count = static_cast<std::size_t>(body.gcount());
    if (count == 0)
      break;
    seen.bytes += static_cast<std::int64_t>(count);
    for (std::size_t i = 0; i < count; ++i)
      seen.hash = mix_hash(seen.hash, static_cast<unsigned char>(piece[i]));
  }
  return seen;
}

Poco::JSON::Object counts(const std::unordered_map<std::string, std::uint64_t>& runs) {
  Poco::JSON::Object object;
  for (const auto& [name, count] : runs) {
    Poco::JSON::Object entry;
    entry.set("runs", count);
    object.set(name, entry);
  }
  return object;
}

} // namespace

plain_service::plain_service(const service_options& options)
    : options_{options}, server_{options.address, [this](exchange& call) { handle(call); }} {}

void plain_service::handle(exchange& call) {
  if (call.path() == "/load")
    call.answer(200, load_text());
  else if (call.path() == "/healthz")
    call.answer(200, server_.board().now().leaving ? R"({"state":"leaving"})"
                                                   : R"({"state":"serving"})");
  else if (call.path() == "/admin/stats")
    call.answer(200, stats_text());
  else
    run(call);
}

void plain_service::run(exchange& call) {
  const faults active = server_.board().now();
  if (!active.crash_on.empty() && (call.path().find(active.crash_on) != std::string::npos ||
                                   call.body().find(active.crash_on) != std::string::npos)) {
    ++crashes_;
    // A caller that sees the end of its connection may connect again at once; the crash must not
    // close that connection as well.
    server_.crash();
    call.abandon();
    return;
  }
  {
    std::unique_lock lock{mutex_};
    freed_.wait(lock, [&] { return running_ < options_.max_running; });
    ++running_;
  }
  const body_digest seen = digest(call.body_stream());
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>{options_.work_ms * active.slow_factor});
  const std::uint64_t times = server_.board().take_duplicate() ? 2 : 1;
  {
    const std::scoped_lock lock{mutex_};
    --running_;
    if (const std::string id = call.header("X-Request-Id"); !id.empty())
      runs_by_request_[id] += times;
    if (const std::string key = call.header("Idempotency-Key"); !key.empty())
      runs_by_key_[key] += times;
  }
  freed_.notify_one();
  if (const std::int64_t bytes = call.number("bytes", 0); bytes > 0) {
    send_bytes(call, bytes);
    return;
  }
  Poco::JSON::Object text;
  text.set("service", options_.name);
  text.set("method", call.method());
  text.set("path", call.path());
  text.set("request_id", call.header("X-Request-Id"));
  text.set("body_bytes", seen.bytes);
  text.set("body_hash", hex16(seen.hash));
  call.answer(200, to_text(text));
}

void plain_service::send_bytes(exchange& call, std::int64_t count) {
  if (server_.board().take_lost_answer()) {
    call.abandon();
    return;
  }
  std::ostream& out = call.begin_stream("application/octet-stream");
  const std::string piece(piece_bytes, 'x');
  while (count > 0 && out.good() && !call.dead()) {
    const auto part = std::min<std::int64_t>(count, piece_bytes);
    out.write(piece.data(), part);
    count -= part;
  }
  out.flush();
}

std::string plain_service::load_text() {
  const std::scoped_lock lock{mutex_};
  const std::int64_t now = steady_clock{}.now().count();
  if (now - shown_ms_ >= options_.load_lag_ms) {
    running_shown_ = running_;
    shown_ms_ = now;
  }
  return "{\"running\":" + std::to_string(running_shown_) +
         ",\"max_running\":" + std::to_string(options_.max_running) +
         ",\"age_ms\":" + std::to_string(now - shown_ms_) + "}";
}

std::string plain_service::stats_text() {
  const std::scoped_lock lock{mutex_};
  Poco::JSON::Object all;
  all.set("requests", counts(runs_by_request_));
  all.set("keys", counts(runs_by_key_));
  all.set("crashes", crashes_);
  return to_text(all);
}

} // namespace sedgechute::standin
