#include "daemon/impl/peer_answers.hpp"

namespace sedgechute {

namespace {

answer_summary summary_of(const wire::answer_end& end) {
  answer_summary summary;
  summary.id = request_id{end.request_id()};
  summary.host = host_id{end.host()};
  summary.endpoint = endpoint_id{end.endpoint()};
  summary.attempts = static_cast<int>(end.attempts());
  summary.finish_reason = end.finish_reason();
  summary.usage = {end.prompt_tokens(), end.completion_tokens(), end.cached_tokens()};
  summary.tokens_billed = end.tokens_billed();
  summary.tokens_remaining = end.tokens_remaining();
  return summary;
}

refusal refusal_of(const wire::refusal_end& end) {
  const auto kind = value_named<error_kind>(end.kind());
  return {
      kind.value_or(error_kind::outcome_unknown), end.message(), request_id{end.request_id()}, {}};
}

} // namespace

follow_end peer_answers::follow(const host_id& host, const team_id& team, const std::string& key,
                                answer_sink& sink) {
  const auto stub = peers_.stub_for(host);
  if (!stub)
    return follow_end::unreachable;
  wire::follow_request request;
  request.set_team(team.str());
  request.set_key(key);
  grpc::ClientContext context;
  const auto reader = stub->Follow(&context, request);
  wire::follow_part part;
  while (reader->Read(&part)) {
    if (part.has_complete()) {
      sink.complete(summary_of(part.complete()));
      return follow_end::answered;
    }
    if (part.has_refused()) {
      sink.fail(refusal_of(part.refused()));
      return follow_end::refused;
    }
    if (!sink.event({part.event().position(), part.event().data()})) {
      context.TryCancel();
      break;
    }
  }
  (void)reader->Finish();
  return follow_end::unreachable;
}

} // namespace sedgechute
