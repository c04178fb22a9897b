#include "standin/impl/engine.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace sedgechute::standin {

namespace {

constexpr std::chrono::milliseconds ping_every{1500};
const std::string event_stream = "text/event-stream";
const std::string runs_path = "/v1/streams/";

std::string names_text(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names)
    text.append(text.empty() ? "\"" : ",\"").append(name).append("\"");
  return "[" + text + "]";
}

double per_second(std::uint64_t count, std::int64_t span_ms) {
  return span_ms <= 0 ? 0.0 : 1000.0 * static_cast<double>(count) / static_cast<double>(span_ms);
}

std::string usage_text(const engine_run& run, const faults& active) {
  const std::int64_t completion = run.produced + active.extra_usage;
  return "{\"prompt_tokens\":" + std::to_string(run.asked.tokens) +
         ",\"completion_tokens\":" + std::to_string(completion) +
         ",\"total_tokens\":" + std::to_string(run.asked.tokens + completion) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" + std::to_string(run.cached_tokens) +
         "}}";
}

std::string_view finish_reason(const engine_run& run) {
  return run.length == run.asked.max_tokens ? R"("length")" : R"("stop")";
}

std::string event_text(const engine_run& run, std::int64_t index, const faults& active) {
  std::string text = "id: " + std::to_string(index) + "\ndata: {\"id\":\"" + run.id +
                     R"(","object":"chat.completion.chunk","model":")" + run.asked.model +
                     R"(","choices":[{"index":0,"delta":{"content":")" +
                     answer_token(run.asked.fingerprint, index) + R"("},"finish_reason":)";
  if (index < run.length)
    return text + "null}]}\n\n";
  text += finish_reason(run);
  text += "}]";
  if (!active.no_usage)
    text += ",\"usage\":" + usage_text(run, active);
  return text + "}\n\n";
}

std::string whole_text(const engine_run& run, const faults& active) {
  std::string text = R"({"id":")" + run.id + R"(","object":"chat.completion","model":")" +
                     run.asked.model +
                     R"(","choices":[{"index":0,"message":{"role":"assistant","content":")";
  for (std::int64_t i = 1; i <= run.length; ++i)
    text += answer_token(run.asked.fingerprint, i);
  text += R"("},"finish_reason":)";
  text += finish_reason(run);
  text += "}]";
  if (!active.no_usage)
    text += ",\"usage\":" + usage_text(run, active);
  return text + "}";
}

} // namespace

void engine::handle(exchange& call) {
  const std::string& path = call.path();
  const bool reads = call.method() == "GET";
  if (path == "/v1/chat/completions" && call.method() == "POST")
    complete(call);
  else if (path.rfind(runs_path, 0) == 0 && reads)
    resume(call, path.substr(runs_path.size()));
  else if (path.rfind(runs_path, 0) == 0 && call.method() == "DELETE")
    cancel(call, path.substr(runs_path.size()));
  else if (path == "/orders" && call.method() == "POST")
    order(call);
  else if (path == "/load" && reads)
    call.answer(200, load_text());
  else if (path == "/healthz" && reads)
    call.answer(200, server_.board().now().leaving ? R"({"state":"leaving"})"
                                                   : R"({"state":"serving"})");
  else if (path == "/admin/stats" && reads)
    call.answer(200, stats_text());
  else if (path == "/cache/events" && reads) {
    std::unique_lock lock{mutex_};
    const std::string text = cache_.events_after(
        call.number("after", 0), steady_clock{}.now().count(), options_.event_delay_ms);
    lock.unlock();
    call.answer(200, text);
  } else
    call.answer(404, error_text("no such path"));
}

bool engine::serves(const std::string& model) {
  const std::scoped_lock lock{mutex_};
  const auto any_version = models_.lower_bound(model + "@");
  return models_.contains(model) || adapters_.contains(model) ||
         (any_version != models_.end() && any_version->rfind(model + "@", 0) == 0);
}

void engine::complete(exchange& call) {
  const std::string crash_on = server_.board().now().crash_on;
  if (!crash_on.empty() && call.body().find(crash_on) != std::string::npos) {
    {
      const std::scoped_lock lock{mutex_};
      lose_everything();
      ++crashes_;
    }
    // A caller that sees the end of its connection may connect again at once; the crash must not
    // close that connection as well.
    server_.crash();
    call.abandon();
    return;
  }
  prompt asked = read_prompt(*call.json_body());
  if (!serves(asked.model)) {
    call.answer(404, error_text("no such model"));
    return;
  }
  const bool streamed = asked.streamed;
  std::unique_lock lock{mutex_};
  const std::string given = call.header("X-Request-Id");
  const std::string id = given.empty() ? "direct-" + std::to_string(next_order_) : given;
  const std::string priority = call.header("X-Priority");
  const run_ptr run =
      start_or_join(id, std::move(asked), priority.empty() ? 0 : std::stoi(priority));
  ++run->readers;
  ++run->readers_seen;
  lock.unlock();
  if (streamed)
    send_events(call, run, 0);
  else
    send_whole(call, run);
  lock.lock();
  reader_left(run);
}

void engine::resume(exchange& call, const std::string& id) {
  std::unique_lock lock{mutex_};
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    lock.unlock();
    call.answer(404, error_text("no such run"));
    return;
  }
  const run_ptr run = found->second;
  ++run->readers;
  ++run->readers_seen;
  lock.unlock();
  send_events(call, run, call.number("after", 0));
  lock.lock();
  reader_left(run);
}

void engine::cancel(exchange& call, const std::string& id) {
  std::unique_lock lock{mutex_};
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    lock.unlock();
    call.answer(404, error_text("no such run"));
    return;
  }
  const run_ptr run = found->second;
  if (run->state == run_state::waiting || run->state == run_state::running) {
    run_account& kept = account(*run);
    kept.cancelled = true;
    kept.fingerprint = run->asked.fingerprint;
    end(run, run_state::cancelled);
  }
  const std::string text = "{\"usage\":" + usage_text(*run, server_.board().now()) + "}";
  lock.unlock();
  call.answer(200, text);
}

void engine::send_whole(exchange& call, const run_ptr& run) {
  std::unique_lock lock{mutex_};
  run->changed.wait(
      lock, [&] { return run->state != run_state::waiting && run->state != run_state::running; });
  if (run->state != run_state::finished) {
    lock.unlock();
    call.abandon();
    return;
  }
  lock.unlock(); // a finished run no longer changes
  call.answer(200, whole_text(*run, server_.board().now()));
}

void engine::send_events(exchange& call, const run_ptr& run, std::int64_t after) {
  call.set_header("X-Request-Id", run->id);
  std::ostream& out = call.begin_stream(event_stream);
  out.flush(); // the caller learns at once that its request was taken
  std::int64_t sent = std::max<std::int64_t>(after, 0);
  while (out.good() && !call.dead())
    if (!send_ready(call, out, run, sent))
      return;
}

// Waits for tokens after `sent` and writes them, each in a write of its own.
// Returns false when the stream is over.
bool engine::send_ready(exchange& call, std::ostream& out, const run_ptr& run, std::int64_t& sent) {
  std::unique_lock lock{mutex_};
  const bool news = run->changed.wait_for(lock, ping_every, [&] {
    return run->produced > sent ||
           (run->state != run_state::waiting && run->state != run_state::running);
  });
  const std::int64_t ready = run->produced;
  const run_state state = run->state;
  lock.unlock();
  if (!news) {
    if (call.caller_gone() || call.dead())
      return false;
    out << ": ping\n\n" << std::flush;
    return true;
  }
  const faults active = server_.board().now();
  while (sent < ready && out.good() && !call.dead()) {
    ++sent;
    const std::string text = event_text(*run, sent, active);
    out << text << std::flush;
    if (server_.board().take_duplicate())
      out << text << std::flush;
    if (active.cut_after_tokens > 0 && sent % active.cut_after_tokens == 0) {
      call.abandon();
      return false;
    }
  }
  if (state == run_state::finished && sent >= run->length && !call.dead()) {
    out << "data: [DONE]\n\n" << std::flush;
    return false;
  }
  if (state == run_state::cancelled || state == run_state::lost) {
    call.abandon(); // no finish marker, and no end of the body either
    return false;
  }
  return true;
}

void engine::order(exchange& call) {
  const Poco::JSON::Object::Ptr body = call.json_body();
  const auto fencing = body->getValue<std::uint64_t>("fencing");
  const auto action = body->getValue<std::string>("action");
  const auto version = body->optValue<std::string>("version", "");
  const auto model =
      body->optValue<std::string>("model", "") + (version.empty() ? "" : "@" + version);
  const auto adapter = body->optValue<std::string>("adapter", "");
  const bool honours = server_.board().now().fencing == fencing_mode::refuse;
  std::unique_lock lock{mutex_};
  if (honours && fencing < newest_fencing_) {
    ++orders_refused_;
    const std::string text = "{\"newest\":" + std::to_string(newest_fencing_) + "}";
    lock.unlock();
    call.answer(409, text);
    return;
  }
  newest_fencing_ = std::max(newest_fencing_, fencing);
  std::set<std::string>& names = adapter.empty() ? models_ : adapters_;
  const std::string& name = adapter.empty() ? model : adapter;
  if (action == "load")
    names.insert(name);
  else if (action == "unload")
    names.erase(name);
  else if (action == "role")
    role_ = body->optValue<std::string>("role", "any");
  ++orders_done_;
  lock.unlock();
  call.answer(200, R"({"state":"done"})");
}

std::string engine::load_text() {
  const std::scoped_lock lock{mutex_};
  const std::int64_t now = steady_clock{}.now().count();
  if (load_shown_.empty() || now - load_shown_ms_ >= options_.load_lag_ms) {
    std::int64_t used = static_cast<std::int64_t>(cache_.size() * block_bytes / bytes_per_token);
    for (const auto& [id, run] : runs_)
      used += run->state == run_state::running ? run->asked.tokens + run->produced : 0;
    const std::int64_t span = now - load_shown_ms_;
    load_shown_ =
        "\"running\":" + std::to_string(running_) +
        ",\"waiting\":" + std::to_string(waiting_.size()) +
        ",\"max_running\":" + std::to_string(options_.max_running) +
        ",\"kv_used\":" + std::to_string(std::min(used, options_.kv_total_tokens)) +
        ",\"kv_total\":" + std::to_string(options_.kv_total_tokens) + ",\"prompt_tokens_per_s\":" +
        std::to_string(per_second(prompt_tokens_done_ - prompt_tokens_shown_, span)) +
        ",\"tokens_per_s\":" + std::to_string(per_second(tokens_done_ - tokens_shown_, span)) +
        ",\"models\":" + names_text(models_) + ",\"adapters\":" + names_text(adapters_) +
        ",\"role\":\"" + role_ + "\"";
    prompt_tokens_shown_ = prompt_tokens_done_;
    tokens_shown_ = tokens_done_;
    load_shown_ms_ = now;
  }
  return "{" + load_shown_ + ",\"age_ms\":" + std::to_string(now - load_shown_ms_) + "}";
}

std::string engine::stats_text() {
  Poco::JSON::Object requests;
  const std::scoped_lock lock{mutex_};
  for (const auto& [id, kept] : accounts_) {
    Poco::JSON::Object entry;
    entry.set("fingerprint", kept.fingerprint);
    entry.set("runs", kept.runs);
    entry.set("joins", kept.joins);
    entry.set("prompt_tokens", kept.prompt_tokens);
    entry.set("tokens", kept.tokens);
    entry.set("finished", kept.finished);
    entry.set("cancelled", kept.cancelled);
    requests.set(id, entry);
  }
  Poco::JSON::Object all;
  all.set("requests", requests);
  all.set("crashes", crashes_);
  all.set("orders_done", orders_done_);
  all.set("orders_refused", orders_refused_);
  all.set("newest_fencing", newest_fencing_);
  all.set("prompt_tokens", prompt_tokens_done_);
  all.set("tokens", tokens_done_);
  return to_text(all);
}

} // namespace sedgechute::standin
