#include "gateway/impl/http_server.hpp"

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
constexpr int idle_thread_seconds = 10;
constexpr int least_threads = 2;
constexpr int most_waiting_connections = 256;

Poco::Timespan to_timespan(time_ms span) {
  return Poco::Timespan{span.count() * Poco::Timespan::MILLISECONDS};
}

// Two servers that disagree on where a body ends let a caller hide a second request in it. Poco
// reads the first of several lengths and prefers chunked coding, so anything ambiguous is refused
// before the body is touched, and the connection is closed.
void refuse_ambiguous_framing(const HTTPServerRequest& request) {
  std::size_t lengths = 0;
  std::size_t codings = 0;
  for (const auto& [name, value] : request) {
    lengths += Poco::icompare(name, HTTPMessage::CONTENT_LENGTH) == 0 ? 1 : 0;
    codings += Poco::icompare(name, HTTPMessage::TRANSFER_ENCODING) == 0 ? 1 : 0;
    const bool control = value.find_first_of(std::string{"\0\r\n", 3}) != std::string::npos;
    if (control || name.find_first_of(" \t") != std::string::npos)
      throw error{error_kind::malformed_request, "header", "a name or value is not valid"};
  }
  if (lengths + codings > 1)
    throw error{error_kind::malformed_request, "header", "the body's length is stated twice"};
  if (codings == 1 && Poco::icompare(request.getTransferEncoding(), "chunked") != 0)
    throw error{error_kind::malformed_request, "header", "only chunked transfer coding is served"};
  if (lengths == 1) {
    const std::string& length = request.get(HTTPMessage::CONTENT_LENGTH);
    if (length.empty() || length.find_first_not_of("0123456789") != std::string::npos)
      throw error{error_kind::malformed_request, "header", "Content-Length is not a number"};
  }
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
      HTTPServerSession session{socket(), server_.params_};
      while (!server_.stopping_ && session.hasMoreRequests())
        if (!serve_one(session))
          break;
    } catch (const Poco::Exception&) {
      return; // the connection failed; there is nobody to tell
    }
  }

 private:
  bool serve_one(HTTPServerSession& session) {
    HTTPServerResponseImpl response{session};
    try {
      auto phase = std::make_unique<connection_watch::bounded_phase>(
          server_.watch_, socket(), server_.options_.header_timeout);
      HTTPServerRequestImpl request{response, session, server_.params_};
      phase.reset();
      response.setVersion(request.getVersion());
      response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive());
      server_.serve(request, response);
      // What is left of a body that nobody read would be taken for the next request.
      const bool drained = request.stream().eof() || !has_body(request);
      session.setKeepAlive(response.getKeepAlive() && drained);
      return response.getKeepAlive() && drained && !server_.stopping_;
    } catch (const NoMessageException&) {
      return false;
    } catch (const MessageException& failure) {
      send_refusal(response, {error_kind::malformed_request, failure.displayText(), {}, {}});
      return false;
    }
  }

  static bool has_body(const HTTPServerRequest& request) {
    return request.getChunkedTransferEncoding() || request.getContentLength64() > 0;
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
    : handle_{std::move(handle)}, options_{options}, watch_{time}, params_{new HTTPServerParams},
      threads_{least_threads, static_cast<int>(options.most_connections), idle_thread_seconds,
               stack_bytes} {
  params_->setMaxThreads(static_cast<int>(options_.most_connections));
  params_->setMaxQueued(most_waiting_connections);
  params_->setThreadIdleTime(Poco::Timespan{idle_thread_seconds, 0});
  params_->setTimeout(to_timespan(options_.write_timeout));
  params_->setKeepAlive(true);
  params_->setKeepAliveTimeout(to_timespan(options_.keep_alive));
  params_->setMaxKeepAliveRequests(0);
  server_ = std::make_unique<TCPServer>(new connection_factory{*this}, threads_, socket, params_);
}

http_server::~http_server() {
  stop_accepting();
  threads_.joinAll();
}

void http_server::start() {
  server_->start();
}

void http_server::stop_accepting() {
  if (!stopping_.exchange(true))
    server_->stop();
}

void http_server::serve(HTTPServerRequestImpl& request, HTTPServerResponseImpl& response) {
  const std::string uri = request.getURI();
  const std::size_t mark = uri.find('?');
  caller_exchange exchange{request, response, uri.substr(0, mark),
                           mark == std::string::npos ? "" : uri.substr(mark + 1)};
  try {
    refuse_ambiguous_framing(request);
    handle_(exchange);
  } catch (const error& failure) {
    if (response.sent())
      response.setKeepAlive(false);
    else
      send_refusal(response,
                   {failure.kind(),
                    failure.where().empty() && failure.why().empty() ? "" : failure.what(),
                    {},
                    {}});
  } catch (const Poco::Exception&) {
    response.setKeepAlive(false); // the caller's connection failed
  } catch (const std::exception&) {
    response.setKeepAlive(false);
    if (!response.sent())
      send_refusal(response, {error_kind::internal, "", {}, {}});
  }
}

} // namespace sedgechute
