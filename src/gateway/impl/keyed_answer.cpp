#include "gateway/impl/keyed_answer.hpp"

#include "gateway/impl/bill_request.hpp"
#include "gateway/impl/kept_chat.hpp"

#include <chrono>
#include <thread>
#include <utility>

namespace sedgechute {

namespace {

// A host that dies is still named as the one that runs the attempt until the others have noticed
// and its claims have passed on, some seconds later. Only a retry that outlasts that gets its
// answer.
constexpr time_ms follow_patience{10000};
constexpr std::chrono::milliseconds between_follows{250};
constexpr int ok_status = 200;

/// Records the answer for retries while it passes it on to the caller that is here now.
class recording_sink final : public answer_sink {
 public:
  recording_sink(answer_record& record, answer_sink& caller) : record_{record}, caller_{caller} {}

  void begin_run() override {
    if (caller_here_)
      caller_.begin_run();
  }
  bool event(const stream_event& event) override {
    (void)record_.event(event);
    if (caller_here_)
      caller_here_ = caller_.event(event);
    return true;
  }
  void complete(const answer_summary& summary) override {
    record_.complete(summary);
    if (caller_here_)
      caller_.complete(summary);
  }
  void fail(const refusal& refused) override {
    record_.fail(refused);
    if (caller_here_)
      caller_.fail(refused);
  }
  [[nodiscard]] bool delivered() const noexcept override { return record_.delivered(); }
  [[nodiscard]] bool gone() noexcept override { return false; }

 private:
  answer_record& record_;
  answer_sink& caller_;
  bool caller_here_{true};
};

/// Settles the key before the caller is told, so that its next retry meets the same truth.
void settle_key(gateway& host, const admitted_chat& request, const answer_record& record,
                run_result& result) {
  if (result.answered) {
    const std::string body =
        record.whole() ? answer_json(result.summary, request.chat.model, record.content()) : "";
    return host.claims.answered(request.ticket,
                                {result.summary.endpoint, ok_status, "application/json", body});
  }
  if (result.may_have_run)
    return host.claims.unknown(request.ticket);
  result.refused->kind = host.claims.refused(request.ticket, result.refused->kind);
}

void run_claimed(gateway& host, admitted_chat& request, const std::string& key,
                 const key_decision& decision, answer_sink& sink) {
  request.ticket = decision.ticket;
  request.id = decision.run;
  request.earlier = decision.earlier;
  request.run_attempt = decision.run_attempt;
  request.may_have_run = decision.may_have_run;
  request.resume_only = decision.resume_only;
  const auto record = host.answers.create(request.grant.team, key);
  recording_sink both{*record, sink};
  billed_run ended = run_and_bill(host, request, key, both);
  settle_key(host, request, *record, ended.result);
  conclude(host, request, key, ended, both);
  host.answers.trim();
}

/// \returns whether the answer's end reached the sink.
bool follow(gateway& host, const admitted_chat& request, const std::string& key,
            const key_decision& decision, answer_sink& sink) {
  if (decision.host != host.host)
    return host.peers.follow(decision.host, request.grant.team, key, sink) !=
           follow_end::unreachable;
  const auto record = host.answers.find(request.grant.team, key);
  return record && record->play(sink);
}

} // namespace

void answer_keyed(gateway& host, admitted_chat& request, const std::string& key,
                  answer_sink& sink) {
  const key_request wanted{request.grant.team, key, request.chat.fingerprint, request.idempotent};
  const time_ms give_up = host.time.now() + follow_patience;
  while (host.time.now() < give_up && !sink.gone()) {
    const key_decision decision = host.claims.begin(wanted);
    switch (decision.action) {
    case key_action::refuse:
      return sink.fail({decision.kind, "", request.id, {}});
    case key_action::proceed:
      return run_claimed(host, request, key, decision, sink);
    case key_action::replay:
      return replay_chat(decision.answer, request.id, sink);
    case key_action::follow:
      break;
    }
    sink.begin_run();
    if (follow(host, request, key, decision, sink))
      return;
    // Events of the lost answer may be with the caller already; another may not follow them.
    if (sink.delivered())
      break;
    std::this_thread::sleep_for(between_follows);
  }
  sink.fail({error_kind::outcome_unknown, "the answer cannot be reached now", request.id, {}});
}

} // namespace sedgechute
