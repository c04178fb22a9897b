#include "gateway/impl/service_call.hpp"

#include "clients/clients.hpp"
#include "gateway/impl/caller_headers.hpp"
#include "gateway/impl/chat_sinks.hpp"
#include "gateway/impl/final_status.hpp"
#include "gateway/impl/held_turn.hpp"
#include "gateway/impl/refusal.hpp"
#include "routing/impl/attempt_rule.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>
#include <vector>

namespace sedgechute {

namespace {

using namespace Poco::Net;

constexpr std::size_t block_bytes = 16 * 1024;
constexpr std::size_t most_kept_bytes = 256 * 1024;
constexpr std::uint32_t most_attempts = 3;

// Headers that concern one connection only, and the team's key, which no endpoint may see.
constexpr std::array not_passed_on{"connection",          "keep-alive", "proxy-authenticate",
                                   "proxy-authorization", "te",         "trailer",
                                   "transfer-encoding",   "upgrade",    "authorization",
                                   "content-length",      "expect",     "host"};

bool passes_on(const std::string& name) {
  const std::string lower = Poco::toLower(name);
  return std::none_of(not_passed_on.begin(), not_passed_on.end(),
                      [&](const char* kept) { return lower == kept; });
}

template <typename From, typename To>
void copy_headers(const From& from, To& to) {
  for (const auto& [name, value] : from)
    if (passes_on(name))
      to.set(name, value);
}

enum class call_end {
  answered,
  not_dispatched,
  lost_before_answer,
  cut,
  caller_left_uploading, ///< its body did not come whole
  caller_left_reading    ///< it took a part of the answer
};

/// A copy of an answer for retries, dropped once it grows past its bound.
class answer_copy {
 public:
  void add(std::string_view part) {
    whole_ = whole_ && body_.size() + part.size() <= most_kept_bytes;
    if (whole_)
      body_ += part;
    else
      body_.clear();
  }
  [[nodiscard]] const std::string& body() const noexcept { return body_; }

 private:
  bool whole_{true};
  std::string body_;
};

/// \returns how the end of the answer's body is told.
message_framing framing_of(const std::string& method, const HTTPResponse& answer) {
  const auto status = answer.getStatus();
  const bool no_body = method == HTTPRequest::HTTP_HEAD || status < HTTPResponse::HTTP_OK ||
                       status == HTTPResponse::HTTP_NO_CONTENT ||
                       status == HTTPResponse::HTTP_NOT_MODIFIED;
  if (no_body)
    return {body_framing::none, 0};
  if (answer.getChunkedTransferEncoding())
    return {body_framing::chunked, 0};
  const auto length = answer.getContentLength64();
  if (length < 0)
    return {body_framing::until_close, 0};
  return {body_framing::stated, static_cast<std::uint64_t>(length)};
}

enum class copy_end { whole, endpoint_broke, caller_left };

copy_end copy_answer(body_decoder& body, std::ostream& out, answer_copy* copy) {
  std::vector<char> block(block_bytes);
  while (const std::size_t got = body.read(block.data(), block.size())) {
    if (copy != nullptr)
      copy->add({block.data(), got});
    out.write(block.data(), static_cast<std::streamsize>(got));
    out.flush();
    if (!out.good())
      return copy_end::caller_left;
  }
  return body.state() == body_state::whole ? copy_end::whole : copy_end::endpoint_broke;
}

/// One attempt on one endpoint.
class service_attempt {
 public:
  service_attempt(gateway& host, caller_exchange& exchange, const service_call& call,
                  const dispatch_turn& turn)
      : host_{host}, exchange_{exchange}, call_{call}, turn_{turn} {}

  call_end run(service_body& body) {
    auto [session, reused] = host_.connections.take(turn_.address, call_.idempotent);
    session_ = std::move(session);
    if (!host_.connections.connect(*session_, turn_.address, call_.grant.answer_timeout))
      return call_end::not_dispatched;
    HTTPResponse response;
    if (exchange_headers(body, response))
      return is_final_status(response.getStatus()) ? relay(response) : call_end::lost_before_answer;
    return body.arrived() || endpoint_refused_body_ ? call_end::lost_before_answer
                                                    : call_end::caller_left_uploading;
  }

  /// \returns the whole answer for retries of a call with a key.
  [[nodiscard]] const kept_answer& kept() const noexcept { return kept_; }

 private:
  bool exchange_headers(service_body& body, HTTPResponse& response) {
    try {
      HTTPRequest request{call_.method, call_.path, HTTPMessage::HTTP_1_1};
      copy_headers(exchange_.request, request);
      request.set("X-Request-Id", call_.id.str());
      if (body.present() && body.replayable())
        request.setContentLength64(static_cast<Poco::Int64>(body.start().size()));
      else if (body.framing().body == body_framing::stated)
        request.setContentLength64(static_cast<Poco::Int64>(body.framing().bytes));
      else if (body.present())
        request.setChunkedTransferEncoding(true);
      std::ostream& out = session_->sendRequest(request);
      out.write(body.start().data(), static_cast<std::streamsize>(body.start().size()));
      endpoint_refused_body_ = !body.copy_rest(out);
      if (!body.arrived() && !endpoint_refused_body_) {
        // Closing the request's stream would end its chunks in the ordinary way, and the endpoint
        // would take a body that broke off for a whole one.
        session_->abort();
        return false;
      }
      out.flush();
      (void)session_->receiveResponse(response);
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  call_end relay(const HTTPResponse& answer) {
    auto& response = exchange_.response;
    response.setStatusAndReason(answer.getStatus(), answer.getReason());
    copy_headers(answer, response);
    response.set("X-Request-Id", call_.id.str());
    response.set("X-Sedgechute-Host", host_.host.str());
    const auto length = answer.getContentLength64();
    if (length >= 0)
      response.setContentLength64(length);
    else
      use_open_length(exchange_);
    std::ostream& out = response.send();
    const message_framing framing = framing_of(call_.method, answer);
    body_decoder body{*session_, framing};
    const copy_end end = copy_answer(body, out, call_.ticket == 0 ? nullptr : &copy_);
    if (end == copy_end::whole) {
      kept_ = {turn_.endpoint, static_cast<int>(answer.getStatus()), answer.getContentType(),
               copy_.body()};
      const bool reusable = framing.body != body_framing::until_close && !endpoint_refused_body_;
      if (reusable && session_->getKeepAlive() && answer.getKeepAlive())
        host_.connections.give_back(turn_.address, std::move(session_));
      return call_end::answered;
    }
    // Ending the chunked answer in the ordinary way would make a cut answer look whole.
    exchange_.request.socket().shutdown();
    response.setKeepAlive(false);
    return end == copy_end::endpoint_broke ? call_end::cut : call_end::caller_left_reading;
  }

  gateway& host_;
  caller_exchange& exchange_;
  const service_call& call_;
  const dispatch_turn& turn_;
  endpoint_connections::session_ptr session_;
  answer_copy copy_;
  kept_answer kept_;
  bool endpoint_refused_body_{false};
};

turn_outcome outcome_of(call_end end) {
  switch (end) {
  case call_end::answered:
    return turn_outcome::answered;
  case call_end::not_dispatched:
    return turn_outcome::not_run;
  case call_end::caller_left_uploading:
  case call_end::caller_left_reading:
    // Not the endpoint's fault: its health must not suffer from callers who leave.
    return turn_outcome::caller_left;
  case call_end::lost_before_answer:
  case call_end::cut:
    break;
  }
  return turn_outcome::failed;
}

} // namespace

service_result relay_service_call(gateway& host, caller_exchange& exchange,
                                  const service_call& call, service_body& body) {
  dispatch_request wanted;
  wanted.grant = call.grant;
  wanted.accepted = call.accepted;
  service_result result;
  for (;;) {
    held_turn turn{host.dispatch, wanted, [&] { return has_hung_up(exchange); }};
    ++result.attempts;
    result.endpoint = turn.get().endpoint;
    if (call.ticket != 0)
      host.claims.dispatching(call.ticket, result.endpoint);
    service_attempt attempt{host, exchange, call, turn.get()};
    const call_end end = attempt.run(body);
    turn.release({outcome_of(end), {}, {}});
    result.may_have_run = result.may_have_run || end != call_end::not_dispatched;
    if (end == call_end::answered) {
      result.answered = true;
      result.kept = attempt.kept();
      return result;
    }
    if (end == call_end::cut || end == call_end::caller_left_reading) {
      result.cut = true;
      result.refused = end == call_end::cut ? error_kind::stream_cut : error_kind::caller_gone;
      return result;
    }
    if (end == call_end::caller_left_uploading) {
      result.refused = error_kind::caller_gone;
      return result;
    }
    wanted.avoid.push_back(result.endpoint);
    const failed_request so_far{.may_have_run = result.may_have_run,
                                .idempotent = call.idempotent,
                                .attempts = static_cast<std::uint32_t>(result.attempts),
                                .max_attempts = most_attempts};
    const auto wait = may_attempt_again(so_far) && body.replayable()
                          ? host.dispatch.retry_after_failure(wanted, result.attempts)
                          : std::nullopt;
    if (!wait) {
      result.refused = refusal_after(so_far);
      return result;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{wait->count()});
  }
}

} // namespace sedgechute
