#include "load/impl/player.hpp"

#include "load/impl/answer_check.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <charconv>

namespace sedgechute::load {

namespace {

constexpr int answer_timeout_s = 120;
constexpr int keep_alive_s = 50; ///< below what stand-ins and hosts keep idle connections for
const std::string event_stream = "text/event-stream";

std::int64_t us_since(instant begin) {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                               begin)
      .count();
}

/// \returns the text between `"name":"` and the next quote; chunks hold no escapes that matter here
std::string_view text_member(std::string_view json, std::string_view name) {
  const std::string head = "\"" + std::string{name} + "\":\"";
  const std::size_t begin = json.find(head);
  if (begin == std::string_view::npos)
    return {};
  const std::size_t from = begin + head.size();
  return json.substr(from, json.find('"', from) - from);
}

std::int64_t number_member(std::string_view json, std::string_view name) {
  const std::string head = "\"" + std::string{name} + "\":";
  const std::size_t begin = json.find(head);
  std::int64_t number = 0;
  if (begin != std::string_view::npos)
    std::from_chars(json.data() + begin + head.size(), json.data() + json.size(), number);
  return number;
}

void read_usage(std::string_view json, call_outcome& outcome) {
  if (const std::int64_t total = number_member(json, "total_tokens"); total > 0)
    outcome.used = total;
  if (const std::int64_t billed = number_member(json, "tokens_billed"); billed > 0)
    outcome.billed = billed;
}

void refuse(call_outcome& outcome, std::string_view kind) {
  outcome.end = call_end::refused;
  outcome.error = kind.empty() ? "status " + std::to_string(outcome.status) : std::string{kind};
}

/// Reads one streamed answer and times its tokens.
class stream_reader {
 public:
  stream_reader(const load_call& call, instant due, call_outcome& outcome)
      : check_{call.fingerprint}, due_{due}, outcome_{outcome} {}

  void read(std::istream& in) {
    bool error_event = false;
    for (std::string line; std::getline(in, line);) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (line == "event: error")
        error_event = true;
      else if (line.rfind("data: ", 0) == 0)
        data(std::string_view{line}.substr(6), error_event);
    }
    end();
  }

 private:
  void data(std::string_view text, bool error_event) {
    if (text == "[DONE]") {
      check_.finish_marker();
    } else if (error_event) {
      refuse(outcome_, text_member(text, "kind"));
    } else {
      if (const std::string_view content = text_member(text, "content"); !content.empty())
        token(content);
      if (!text_member(text, "finish_reason").empty())
        check_.finish_reason();
      read_usage(text, outcome_);
    }
  }

  void token(std::string_view content) {
    const std::int64_t at = us_since(due_);
    if (last_us_ == 0)
      outcome_.first_us = at;
    else
      outcome_.gaps_us.record(static_cast<std::uint64_t>(at - last_us_));
    last_us_ = at;
    check_.content(content);
  }

  void end() {
    outcome_.total_us = us_since(due_);
    outcome_.tokens = check_.tokens();
    outcome_.mixed = outcome_.mixed || check_.mixed();
    outcome_.disordered = outcome_.disordered || check_.disordered();
    if (outcome_.end == call_end::refused)
      return;
    if (check_.cut()) {
      outcome_.cut = true;
      outcome_.error = "cut";
    } else {
      outcome_.end = call_end::answered;
    }
  }

  answer_check check_;
  instant due_;
  call_outcome& outcome_;
  std::int64_t last_us_{0};
};

void read_whole(const load_call& call, std::istream& in, instant due, call_outcome& outcome) {
  std::string body;
  Poco::StreamCopier::copyToString(in, body);
  outcome.total_us = us_since(due);
  outcome.end = call_end::answered;
  if (!call.chat)
    return;
  answer_check check{call.fingerprint};
  check.content(text_member(body, "content"));
  if (!text_member(body, "finish_reason").empty())
    check.finish_reason();
  check.finish_marker();
  read_usage(body, outcome);
  outcome.tokens = check.tokens();
  outcome.mixed = outcome.mixed || check.mixed();
  outcome.disordered = outcome.disordered || check.disordered();
  if (check.cut())
    outcome.end = call_end::unresolved;
}

Poco::Net::HTTPRequest head_of(const load_call& call, bool direct) {
  static std::atomic<std::uint64_t> next{1};
  static const std::uint64_t run = random_source::from_system()();
  Poco::Net::HTTPRequest request{call.method, call.path, "HTTP/1.1"};
  request.setContentLength(static_cast<std::streamsize>(call.body.size()));
  request.setContentType("application/json");
  request.setKeepAlive(true);
  if (direct)
    request.set("X-Request-Id", "load-" + std::to_string(run) + "-" + std::to_string(next++));
  if (!call.bearer.empty() && !direct)
    request.set("Authorization", "Bearer " + call.bearer);
  if (!call.key.empty())
    request.set("Idempotency-Key", call.key);
  if (!call.send_class.empty())
    request.set("X-Sedgechute-Class", call.send_class);
  if (call.non_idempotent)
    request.set("X-Sedgechute-Idempotent", "false");
  return request;
}

} // namespace

Poco::Net::HTTPClientSession& player::session(std::size_t at) {
  auto& kept = sessions_[at];
  if (!kept) {
    kept = std::make_unique<Poco::Net::HTTPClientSession>(targets_[at].address);
    kept->setKeepAlive(true);
    kept->setKeepAliveTimeout(Poco::Timespan{keep_alive_s, 0});
    kept->setTimeout(Poco::Timespan{answer_timeout_s, 0});
  }
  return *kept;
}

// A caller whose connection breaks knows nothing about its request. With a key it may ask again,
// at any host, and must get the one answer or the truth; without one the call stays unresolved.
call_outcome player::play(const load_call& call, std::size_t first_target, instant due) {
  call_outcome outcome;
  outcome.late_us = us_since(due);
  const std::uint32_t most = call.key.empty() ? 1 : most_tries_;
  while (outcome.end == call_end::unresolved && outcome.tries < most) {
    const std::size_t at = (first_target + outcome.tries) % targets_.size();
    ++outcome.tries;
    try {
      attempt(call, at, due, outcome);
    } catch (const Poco::Exception& failure) {
      outcome.error = failure.displayText();
      sessions_.erase(at);
    }
  }
  return outcome;
}

void player::attempt(const load_call& call, std::size_t at, instant due, call_outcome& outcome) {
  Poco::Net::HTTPClientSession& over = session(at);
  Poco::Net::HTTPRequest request = head_of(call, targets_[at].direct);
  over.sendRequest(request) << call.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = over.receiveResponse(response);
  outcome.status = response.getStatus();
  outcome.request_id = response.get("X-Request-Id", request.get("X-Request-Id", ""));
  constexpr int first_error_status = 400;
  if (outcome.status >= first_error_status) {
    std::string body;
    Poco::StreamCopier::copyToString(in, body);
    refuse(outcome, text_member(body, "kind"));
    outcome.total_us = us_since(due);
  } else if (response.getContentType().rfind(event_stream, 0) == 0) {
    stream_reader{call, due, outcome}.read(in);
  } else {
    read_whole(call, in, due, outcome);
  }
  if (outcome.end == call_end::unresolved)
    sessions_.erase(at);
}

} // namespace sedgechute::load
