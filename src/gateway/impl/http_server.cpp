#include "gateway/impl/http_server.hpp"

#include "gateway/impl/caller_session.hpp"
#include "gateway/impl/refusal.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <utility>

namespace sedgechute {

namespace {

using namespace Poco::Net;

// A thread uses some 30 KB of its stack; the rest is only reserved address space.
constexpr int stack_bytes = 256 * 1024;
constexpr int least_threads = 2;
constexpr int most_waiting_connections = 256;
constexpr std::size_t crowded_parts = 8; // crowded when less than one part of so many is free

Poco::Timespan to_timespan(time_ms span) {
  return Poco::Timespan{span.count() * Poco::Timespan::MILLISECONDS};
}

} // namespace

class http_connection final : public TCPServerConnection {
 public:
  http_connection(const StreamSocket& socket, http_server& server)
      : TCPServerConnection{socket}, server_{server} {
    ++server_.connections_;
  }
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection() override { --server_.connections_; }

  void run() override {
    try {
      socket().setNoDelay(true);
      socket() = secure(socket());
      // Poco applies a session's timeouts only to connections that it opens itself. Without this
      // one, a caller that does not read would hold its thread and its engine for good.
      socket().setSendTimeout(to_timespan(server_.options_.write_timeout));
      caller_session session{socket(), server_.params_, server_.unfinished_, server_.time_};
      // The same bound as for a header: who connects and says nothing gets no more than who
      // says it slowly.
      time_ms wait = server_.options_.header_timeout;
      while (session.wait_for_request(wait, server_.idle_end_.descriptor()) && serve_one(session))
        wait = server_.options_.keep_alive;
    } catch (const Poco::Exception&) {
      return; // the connection failed; there is nobody to tell
    }
  }

 private:
  /// Here and not where connections are accepted: a slow handshake holds up its own thread only.
  [[nodiscard]] StreamSocket secure(StreamSocket& accepted) const {
    const http_server_options& options = server_.options_;
    if (!options.credentials)
      return make_rereadable(accepted);
    StreamSocket secured =
        accept_tls(accepted, options.credentials->context(), options.header_timeout);
    // For the rest of a TLS record of which a part has come.
    secured.setReceiveTimeout(to_timespan(options.header_timeout));
    return secured;
  }

  /// What may follow an answer on its connection.
  enum class sequel { next_request, close, close_gently };

  /// \returns whether another request may follow on the connection. While the server stops, the
  /// wait for it ends at once; one that has begun to come is read, and refused.
  bool serve_one(caller_session& session) {
    const sequel then = exchange_messages(session);
    // Only now has the answer left: its stream is written out when the response ends.
    if (then == sequel::close_gently)
      session.close_gently(server_.options_.closing_timeout);
    return then == sequel::next_request;
  }

  sequel exchange_messages(caller_session& session) {
    HTTPServerResponseImpl response{session};
    try {
      const time_ms deadline = session.time().now() + server_.options_.header_timeout;
      const std::string header = session.read_header(server_.options_.header, deadline);
      if (header.empty())
        return sequel::close;
      return answer(session, check_request_header(header, server_.options_.header), response);
    } catch (const error& failure) {
      send_refusal(response, {failure.kind(), failure.what(), {}, {}});
    } catch (const MessageException& failure) {
      send_refusal(response, {error_kind::malformed_request, failure.displayText(), {}, {}});
    }
    return sequel::close_gently;
  }

  sequel answer(caller_session& session, const message_framing& framing,
                HTTPServerResponseImpl& response) {
    HTTPServerRequestImpl request{response, session, server_.params_};
    request_body body{session, framing};
    response.setVersion(request.getVersion());
    // What is left of a body that nobody read would be taken for the next request.
    response.setKeepAlive(request.getKeepAlive() && !server_.crowded() && !server_.ending_ &&
                          !server_.stopping_);
    server_.serve(request, response, body);
    if (body.state() != body_state::whole)
      return sequel::close_gently;
    return response.getKeepAlive() ? sequel::next_request : sequel::close;
  }

  http_server& server_;
};

namespace {

class connection_factory final : public TCPServerConnectionFactory {
 public:
  explicit connection_factory(http_server& server) : server_{server} {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's name
  TCPServerConnection* createConnection(const StreamSocket& socket) override {
    return std::make_unique<http_connection>(socket, server_).release();
  }

 private:
  http_server& server_;
};

} // namespace

http_server::http_server(request_handler handle, const http_server_options& options,
                         const ServerSocket& socket, const clock& time)
    : handle_{std::move(handle)}, options_{options}, time_{time}, params_{new HTTPServerParams},
      threads_{least_threads, static_cast<int>(options.most_connections),
               static_cast<int>(options.thread_idle.count() / 1000) + 1, stack_bytes},
      unfinished_{options.arriving_bytes, options.stall, time} {
  params_->setMaxThreads(static_cast<int>(options_.most_connections));
  params_->setMaxQueued(most_waiting_connections);
  params_->setThreadIdleTime(to_timespan(options_.thread_idle));
  params_->setTimeout(to_timespan(options_.write_timeout));
  params_->setKeepAlive(true);
  params_->setKeepAliveTimeout(to_timespan(options_.keep_alive));
  params_->setMaxKeepAliveRequests(0);
  server_ = std::make_unique<TCPServer>(new connection_factory{*this}, threads_, socket, params_);
  unfinished_.set_waiting([this] { return server_->queuedConnections() > 0; });
}

http_server::~http_server() {
  stop_taking();
  threads_.joinAll();
}

void http_server::start() {
  server_->start();
}

void http_server::stop_taking() {
  if (stopping_.exchange(true))
    return;
  idle_end_.open();
  server_->stop();
}

// Idle connections hold threads. When nearly all are taken, callers that wait for one come before
// those that may ask again.
bool http_server::crowded() const noexcept {
  return connections_ > options_.most_connections / crowded_parts * (crowded_parts - 1);
}

namespace {

// Thrown before the key was decided: this request did not run, but an earlier one under the same
// key may have, on this host or another. Only whoever decides for the key may say "not run" of it.
refusal refusal_before_run(const HTTPServerRequest& request, const error& failure) {
  const bool detailed = !failure.where().empty() || !failure.why().empty();
  refusal refused{failure.kind(), detailed ? failure.what() : "", {}, failure.retry_after(), {}};
  const bool keyed = request.has("Idempotency-Key");
  if (keyed && answer_for(failure.kind()).outcome == run_outcome::not_run)
    refused.outcome = run_outcome::unknown;
  return refused;
}

} // namespace

void http_server::serve(HTTPServerRequestImpl& request, HTTPServerResponseImpl& response,
                        request_body& body) {
  const std::string uri = request.getURI();
  const std::size_t mark = uri.find('?');
  caller_exchange exchange{request, response, uri.substr(0, mark),
                           mark == std::string::npos ? "" : uri.substr(mark + 1), body};
  try {
    // A connection that its caller keeps brings requests until it is closed: to look before the
    // wait for one says nothing of the moment at which it comes.
    if (stopping_)
      throw error{error_kind::stopping, "", ""};
    handle_(exchange);
  } catch (const error& failure) {
    if (response.sent())
      response.setKeepAlive(false);
    else
      send_refusal(response, refusal_before_run(request, failure));
  } catch (const Poco::Exception&) {
    response.setKeepAlive(false); // the caller's connection failed
  } catch (const std::exception&) {
    response.setKeepAlive(false);
    if (!response.sent())
      send_refusal(response, {error_kind::internal, "", {}, {}});
  }
}

} // namespace sedgechute
