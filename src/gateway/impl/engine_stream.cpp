#include "gateway/impl/engine_stream.hpp"

#include "clients/clients.hpp"
#include "gateway/impl/final_status.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <limits>

namespace sedgechute {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr time_ms cancel_timeout{1000};
constexpr time_ms question_interval{100};
constexpr std::int64_t us_per_ms = 1000;

} // namespace

open_result engine_stream::open(const std::string& body, int priority, bool fresh_connection) {
  return exchange_headers(HTTPRequest::HTTP_POST, "/v1/chat/completions", body, priority,
                          fresh_connection);
}

open_result engine_stream::resume(std::uint64_t after) {
  const std::string path = "/v1/streams/" + id_.str() + "?after=" + std::to_string(after);
  return exchange_headers(HTTPRequest::HTTP_GET, path, {}, 0, true);
}

// A request that was written and not answered is never written again here, not even on a connection
// that was kept from before: where the request itself crashed the engine, it would crash it again
// as soon as it is back, uncounted. Whoever opened the stream asks for the run on a new connection.
open_result engine_stream::exchange_headers(const std::string& method, const std::string& path,
                                            const std::string& body, int priority, bool fresh) {
  session_ = connections_.take(address_, !fresh).first;
  const open_result sent = send(method, path, body, priority);
  return sent == open_result::streaming ? receive() : sent;
}

open_result engine_stream::send(const std::string& method, const std::string& path,
                                const std::string& body, int priority) {
  if (!connections_.connect(*session_, address_, connections_.timeouts().silence)) {
    session_.reset();
    return open_result::not_dispatched;
  }
  try {
    HTTPRequest request{method, path, HTTPMessage::HTTP_1_1};
    request.set("X-Request-Id", id_.str());
    request.set("X-Priority", std::to_string(priority));
    if (!body.empty()) {
      request.setContentType("application/json");
      request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    std::ostream& out = session_->sendRequest(request);
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    return open_result::streaming;
  } catch (const Poco::Exception&) {
    session_.reset();
    return open_result::unknown;
  }
}

// An engine may think for long before its first byte; a caller that left meanwhile shall not hold
// the place until then.
bool engine_stream::caller_left_before_answer() {
  time_ms waited{0};
  while (waited < connections_.timeouts().silence) {
    if (session_->socket().poll(Poco::Timespan{question_interval.count() * us_per_ms},
                                Poco::Net::Socket::SELECT_READ))
      return false;
    waited += question_interval;
    if (abandoned_())
      return true;
  }
  return false;
}

open_result engine_stream::receive() {
  try {
    if (caller_left_before_answer())
      return open_result::abandoned;
    HTTPResponse response;
    in_ = &session_->receiveResponse(response);
    if (response.getStatus() == HTTPResponse::HTTP_OK) {
      reader_.emplace(*in_);
      return open_result::streaming;
    }
    if (!is_final_status(response.getStatus())) {
      session_.reset();
      return open_result::unknown;
    }
    rejected_status_ = response.getStatus();
    session_.reset();
    return open_result::rejected;
  } catch (const Poco::Exception&) {
    session_.reset();
    return open_result::unknown;
  }
}

std::optional<stream_event> engine_stream::next() {
  if (!reader_ || !session_)
    return std::nullopt;
  std::optional<stream_event> event = reader_->next_or_comment();
  if (!event)
    session_.reset();
  return event;
}

void engine_stream::finish() {
  if (!session_)
    return;
  in_->ignore(std::numeric_limits<std::streamsize>::max());
  const bool whole = in_->eof() && session_->networkException() == nullptr;
  if (whole && session_->getKeepAlive())
    connections_.give_back(address_, std::move(session_));
  session_.reset();
}

bool engine_stream::cancel() noexcept {
  session_.reset();
  try {
    const http_answer answer = http_call(http_target::parse(address_), "DELETE",
                                         "/v1/streams/" + id_.str(), {}, cancel_timeout);
    return answer.status == HTTPResponse::HTTP_OK;
  } catch (const std::exception&) {
    return false;
  }
}

} // namespace sedgechute
