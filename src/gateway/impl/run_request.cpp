#include "gateway/impl/run_request.hpp"

#include "gateway/impl/engine_stream.hpp"
#include "gateway/impl/held_turn.hpp"
#include "routing/impl/attempt_rule.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace sedgechute {

namespace {

// A stream that breaks this often without a token in between is not worth another connection.
constexpr int most_resumes_without_progress = 2;
constexpr std::uint32_t most_attempts = 4;

// An engine that goes on behind what it was allowed, in tokens or in bytes, will not end by itself.
constexpr std::uint64_t spare_tokens = 16;
constexpr std::uint64_t most_bytes_per_token = 1024;
constexpr time_ms question_interval{100};

enum class relay_end { finished, broken, caller_left };

struct relay_state {
  std::uint64_t position{0};   ///< last token delivered
  std::uint64_t unnumbered{0}; ///< events delivered that have content and no position
  std::uint64_t bytes{0};      ///< of the events delivered
  bool saw_finish_reason{false};
  std::string finish_reason;
  std::optional<token_usage> usage;
  std::optional<time_ms> first_token_at;
  int resumes{0};

  [[nodiscard]] std::uint64_t tokens() const noexcept { return position + unnumbered; }
};

/// One attempt on one endpoint, over as many connections as it takes.
class attempt {
 public:
  attempt(const run_context& host, const admitted_chat& request, answer_sink& sink,
          const std::string& address, const request_id& id)
      : host_{host}, request_{request}, sink_{sink}, stream_{host.connections, address, id,
                                                             [&request, &sink] {
                                                               return !request.keyed && sink.gone();
                                                             }} {}

  open_result open() {
    const open_result result =
        stream_.open(request_.chat.engine_body, request_.grant.priority, !request_.idempotent);
    if (result != open_result::unknown)
      return result;
    if (caller_left())
      return open_result::abandoned;
    // The request was sent and no answer came. Asking for the run on a new connection tells
    // whether the engine has it; only then is the old connection the culprit.
    return take_up(0) ? open_result::streaming : open_result::unknown;
  }

  open_result resume_whole() { return stream_.resume(0); }

  relay_end relay() {
    sink_.begin_run();
    int without_progress = 0;
    for (;;) {
      const std::uint64_t before = state_.position;
      const relay_end end = relay_connection();
      if (end != relay_end::broken)
        return end;
      // Without positions nobody can tell where to go on: it would give tokens twice.
      if (state_.unnumbered > 0 || overran())
        return end;
      without_progress = state_.position > before ? 0 : without_progress + 1;
      if (without_progress > most_resumes_without_progress)
        return relay_end::broken;
      ++state_.resumes;
      if (!take_up(state_.position))
        return relay_end::broken;
    }
  }

  void cancel() { stream_.cancel(); }
  [[nodiscard]] const relay_state& state() const noexcept { return state_; }
  [[nodiscard]] int rejected_status() const noexcept { return stream_.rejected_status(); }
  /// \returns how the attempt failed, as far as the endpoint is concerned.
  [[nodiscard]] turn_outcome failure() const noexcept {
    return endpoint_lost_ ? turn_outcome::lost : turn_outcome::failed;
  }

 private:
  bool take_up(std::uint64_t after) {
    const open_result result = stream_.resume(after);
    endpoint_lost_ = result == open_result::unknown || result == open_result::not_dispatched;
    return result == open_result::streaming;
  }

  relay_end relay_connection() {
    while (auto event = stream_.next()) {
      if (caller_left())
        return relay_end::caller_left;
      if (event->data.empty())
        continue;
      if (event->is_finish_marker()) {
        if (!state_.saw_finish_reason)
          return relay_end::broken;
        stream_.finish();
        return relay_end::finished;
      }
      if (is_repeat(*event))
        continue;
      if (event->position > state_.position + 1 && event->position != 0)
        return relay_end::broken;
      note(*event);
      if (overran())
        return relay_end::broken;
      if (!sink_.event(*event) && !request_.keyed)
        return relay_end::caller_left;
    }
    return relay_end::broken;
  }

  // A resumed stream may begin with tokens that were delivered before the connection broke.
  [[nodiscard]] bool is_repeat(const stream_event& event) const noexcept {
    return event.position != 0 && event.position <= state_.position;
  }

  // A caller that waits for a whole answer is written to only at its end, and one that left is
  // noticed by a write only at the second: so it is asked for, though not with every token.
  [[nodiscard]] bool caller_left() {
    if (request_.keyed)
      return false;
    const time_ms now = host_.time.now();
    if (now < next_question_)
      return false;
    next_question_ = now + question_interval;
    return sink_.gone();
  }

  [[nodiscard]] bool overran() const noexcept {
    const std::uint64_t most = request_.chat.max_tokens + spare_tokens;
    return state_.tokens() > most || state_.bytes > most * most_bytes_per_token;
  }

  void note(const stream_event& event) {
    state_.bytes += event.data.size();
    if (event.position != 0)
      state_.position = event.position;
    if (!state_.first_token_at)
      state_.first_token_at = host_.time.now();
    // Parsing every token's JSON would cost more than relaying it; only the last chunk matters.
    if (event.position != 0 && event.data.find("\"usage\":{") == std::string::npos &&
        event.data.find("\"finish_reason\":null") != std::string::npos)
      return;
    if (const auto chunk = parse_engine_chunk(event.data)) {
      if (event.position == 0 && !chunk->content.empty())
        ++state_.unnumbered;
      if (!chunk->finish_reason.empty()) {
        state_.saw_finish_reason = true;
        state_.finish_reason = chunk->finish_reason;
      }
      if (chunk->usage)
        state_.usage = chunk->usage;
    }
  }

  const run_context& host_;
  const admitted_chat& request_;
  answer_sink& sink_;
  engine_stream stream_;
  relay_state state_;
  time_ms next_question_{};
  bool endpoint_lost_{false};
};

/// All attempts of one request.
class chat_run {
 public:
  chat_run(const run_context& host, const admitted_chat& request, answer_sink& sink)
      : host_{host}, request_{request}, sink_{sink} {
    wanted_.grant = request.grant;
    wanted_.model = request.chat.model;
    wanted_.prompt_bytes = request.chat.prompt_bound;
    wanted_.output_bound = request.chat.max_tokens;
    wanted_.fingerprint = request.chat.fingerprint;
    wanted_.prefix_blocks = request.chat.prefix_blocks;
    wanted_.accepted = request.accepted;
    result_.may_have_run = request.may_have_run;
  }

  run_result run() {
    while (!done_) {
      try {
        if (request_.earlier && attempts_ == 0)
          resume_earlier();
        else if (request_.resume_only)
          refuse(error_kind::outcome_unknown, "the earlier run is out of reach");
        else
          run_attempt();
      } catch (const error& failure) {
        refuse(failure.kind(), failure.why(), failure.retry_after());
      }
    }
    result_.attempts = attempts_;
    return std::move(result_);
  }

 private:
  void run_attempt() {
    held_turn held{host_.dispatch, wanted_, [this] { return !request_.keyed && sink_.gone(); }};
    const dispatch_turn turn = held.get();
    ++attempts_;
    if (request_.ticket != 0)
      host_.claims.dispatching(request_.ticket, turn.endpoint);
    const time_ms dispatched = host_.time.now();
    attempt one{host_, request_, sink_, turn.address, request_.id};
    const open_result opened = one.open();
    if (opened == open_result::streaming)
      return after_relay(one, one.relay(), turn, dispatched, &held);
    if (opened == open_result::abandoned) {
      one.cancel();
      held.release({turn_outcome::caller_left, {}, {}});
      result_.may_have_run = true;
      return refuse(error_kind::caller_gone, "");
    }
    const bool ran = opened == open_result::unknown;
    held.release({ran ? one.failure() : turn_outcome::not_run, {}, {}});
    after_failure(turn, ran, one.rejected_status());
  }

  // A host that died left the run at an endpoint, which goes on with it for a while. Taking the
  // run up from its first token gives the caller one whole answer and runs nothing twice.
  void resume_earlier() {
    const dispatch_turn turn{0, request_.earlier->endpoint, request_.earlier->address};
    ++attempts_;
    result_.may_have_run = true;
    host_.claims.resuming(request_.ticket, turn.endpoint, request_.run_attempt);
    const time_ms dispatched = host_.time.now();
    attempt one{host_, request_, sink_, turn.address, request_.earlier->id};
    if (one.resume_whole() == open_result::streaming)
      return after_relay(one, one.relay(), turn, dispatched, nullptr);
    if (request_.resume_only)
      return refuse(error_kind::outcome_unknown, "the earlier run cannot be taken up");
    after_failure(turn, true, 0);
  }

  void after_relay(attempt& one, relay_end end, const dispatch_turn& turn, time_ms dispatched,
                   held_turn* held) {
    const relay_state& state = one.state();
    if (!result_.first_token_at)
      result_.first_token_at = state.first_token_at;
    turn_report report{turn_outcome::answered, usage_of(state), {}};
    if (state.first_token_at)
      report.first_token = *state.first_token_at - dispatched;
    if (end == relay_end::broken)
      report.outcome = one.failure();
    if (end == relay_end::caller_left) {
      report.outcome = turn_outcome::caller_left;
      one.cancel();
    }
    if (held != nullptr)
      held->release(report);
    if (end == relay_end::finished)
      return answer(state, turn);
    result_.usage = usage_of(state);
    result_.delivered_tokens = state.tokens();
    if (end == relay_end::caller_left)
      return refuse(error_kind::caller_gone, "");
    // The old run may still be going on at the endpoint; its answer is not wanted any more.
    one.cancel();
    after_failure(turn, true, 0);
  }

  void answer(const relay_state& state, const dispatch_turn& turn) {
    result_.answered = true;
    result_.may_have_run = true;
    result_.usage = usage_of(state);
    result_.delivered_tokens = state.tokens();
    result_.summary.id = request_.id;
    result_.summary.host = host_.host;
    result_.summary.endpoint = turn.endpoint;
    result_.summary.attempts = attempts_;
    result_.summary.finish_reason = state.finish_reason;
    result_.summary.usage = result_.usage;
    done_ = true;
  }

  void after_failure(const dispatch_turn& turn, bool ran, int rejected_status) {
    wanted_.avoid.push_back(turn.endpoint);
    result_.may_have_run = result_.may_have_run || ran;
    const bool callers_fault = rejected_status >= 400 && rejected_status < 500 &&
                               rejected_status != 429 && rejected_status != 404 &&
                               rejected_status != 408;
    if (callers_fault)
      return refuse(error_kind::invalid_parameter, "the engine refused the request with status " +
                                                       std::to_string(rejected_status));
    const failed_request so_far{.may_have_run = ran,
                                .idempotent = request_.idempotent,
                                .response_started = sink_.delivered(),
                                .attempts = static_cast<std::uint32_t>(attempts_),
                                .max_attempts = most_attempts};
    const auto wait = may_attempt_again(so_far)
                          ? host_.dispatch.retry_after_failure(wanted_, attempts_)
                          : std::nullopt;
    if (!wait)
      return refuse_for_good(refusal_after(so_far));
    std::this_thread::sleep_for(std::chrono::milliseconds{wait->count()});
  }

  void refuse_for_good(error_kind kind) {
    std::string_view why;
    if (kind == error_kind::stream_cut)
      why = "the endpoint was lost in the middle of the answer";
    if (kind == error_kind::outcome_unknown)
      why = "the endpoint was lost while it may have run";
    refuse(kind, std::string{why});
  }

  // An engine that reports no usage is billed by what was delivered and an estimate of the prompt.
  [[nodiscard]] token_usage usage_of(const relay_state& state) const {
    if (state.usage)
      return *state.usage;
    constexpr std::uint64_t bytes_per_token = 4;
    token_usage usage;
    usage.completion_tokens = state.tokens();
    if (state.tokens() > 0)
      usage.prompt_tokens = (request_.chat.prompt_bound + bytes_per_token - 1) / bytes_per_token;
    return usage;
  }

  void refuse(error_kind kind, const std::string& why,
              std::optional<time_ms> retry_after = std::nullopt) {
    // "Not run" would be a lie once an attempt may have run.
    const bool lie = result_.may_have_run && answer_for(kind).outcome == run_outcome::not_run;
    result_.refused =
        refusal{lie ? error_kind::endpoint_failed : kind, why, request_.id, retry_after};
    done_ = true;
  }

  const run_context& host_;
  const admitted_chat& request_;
  answer_sink& sink_;
  dispatch_request wanted_;
  run_result result_;
  int attempts_{0};
  bool done_{false};
};

} // namespace

run_result run_chat(const run_context& host, const admitted_chat& request, answer_sink& sink) {
  return chat_run{host, request, sink}.run();
}

} // namespace sedgechute
