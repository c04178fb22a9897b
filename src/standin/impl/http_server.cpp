#include "standin/impl/http_server.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <sstream>

namespace sedgechute::standin {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int most_connections = 8192;
constexpr int least_threads = 16;
constexpr int thread_stack_bytes = 256 * 1024;
constexpr int thread_idle_s = 30;
constexpr int accept_backlog = 1024;
constexpr int keep_alive_s = 60;
constexpr int send_timeout_s = 60;

class call_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  call_handler(http_server& server, std::shared_ptr<connection> link)
      : server_{server}, link_{std::move(link)} {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    try {
      exchange call{request, response, *link_, server_.board()};
      server_.serve(call);
    } catch (const Poco::Net::NetException&) {
      link_->closed = true; // the caller is gone; there is nobody to tell
    } catch (const std::exception& failure) {
      refuse(response, failure.what());
    }
  }

 private:
  void refuse(HTTPServerResponse& response, const std::string& why) const {
    if (response.sent() || link_->closed)
      return;
    const std::string text = error_text(why);
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    response.sendBuffer(text.data(), text.size());
  }

  http_server& server_;
  std::shared_ptr<connection> link_;
};

/// One per connection, so that its handlers know which connection they answer on.
class call_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  call_factory(http_server& server, std::shared_ptr<connection> link)
      : server_{server}, link_{std::move(link)} {
    server_.admit(link_);
  }
  call_factory(const call_factory&) = delete;
  call_factory& operator=(const call_factory&) = delete;
  ~call_factory() override { server_.forget(link_); }

  Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return new call_handler{server_, link_};
  }

 private:
  http_server& server_;
  std::shared_ptr<connection> link_;
};

class connection_factory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  connection_factory(http_server& server, Poco::Net::HTTPServerParams::Ptr params)
      : server_{server}, params_{std::move(params)} {}

  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    auto link = std::make_shared<connection>();
    link->socket = socket;
    return new Poco::Net::HTTPServerConnection{socket, params_,
                                               new call_factory{server_, std::move(link)}};
  }

 private:
  http_server& server_;
  Poco::Net::HTTPServerParams::Ptr params_;
};

void shut(connection& link) noexcept {
  link.closed = true;
  try {
    link.socket.shutdown();
  } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the caller was first
  }
}

Poco::Net::HTTPServerParams::Ptr server_params() {
  Poco::Net::HTTPServerParams::Ptr params{new Poco::Net::HTTPServerParams};
  params->setMaxThreads(most_connections);
  params->setMaxQueued(most_connections);
  params->setThreadIdleTime(Poco::Timespan{thread_idle_s, 0});
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan{keep_alive_s, 0});
  params->setTimeout(Poco::Timespan{send_timeout_s, 0});
  return params;
}

} // namespace

Poco::ThreadPool& connection_threads() {
  static Poco::ThreadPool threads{least_threads, 2 * most_connections, thread_idle_s,
                                  thread_stack_bytes};
  return threads;
}

http_server::http_server(const Poco::Net::SocketAddress& address, handler handle)
    : handle_{std::move(handle)} {
  const Poco::Net::HTTPServerParams::Ptr params = server_params();
  Poco::Net::ServerSocket listener;
  listener.bind(address, true);
  listener.listen(accept_backlog);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      Poco::Net::TCPServerConnectionFactory::Ptr{new connection_factory{*this, params}},
      connection_threads(), listener, params);
  server_->start();
}

http_server::~http_server() {
  server_->socket().impl()->shutdown(); // else the accepting thread notices only after 250 ms
  server_->stop();
  // A handler may wait on its connection or on a run; closing the connection ends both, and the
  // handlers refer to this object, so it must outlive them.
  while (server_->currentConnections() > 0 || server_->currentThreads() > 0) {
    close_connections();
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
    if (server_->currentConnections() == 0)
      break;
  }
}

Poco::Net::SocketAddress http_server::address() const {
  return server_->socket().address();
}

void http_server::serve(exchange& call) {
  if (call.dead()) {
    call.hold();
    return;
  }
  if (call.path() == "/admin/faults") {
    change_faults(call);
    return;
  }
  const bool about_itself = call.path().rfind("/admin/", 0) == 0;
  const faults active = board_.now();
  if (!about_itself && crashed()) {
    call.abandon();
    return;
  }
  if (!about_itself && active.delay_ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds{active.delay_ms});
  if (!about_itself && active.outage == outage_mode::mute)
    call.hold();
  else if (!about_itself && active.outage == outage_mode::unavailable)
    call.answer(503, error_text("outage"));
  else
    handle_(call);
  if (call.dead())
    call.hold();
}

void http_server::change_faults(exchange& call) {
  if (call.method() != "POST") {
    call.answer(405, error_text("POST changes the faults"));
    return;
  }
  const Poco::JSON::Object::Ptr change = call.json_body();
  board_.merge(*change);
  if (change->optValue("silent", false))
    silence_connections(call.link());
  call.answer(200, "{}");
}

void http_server::admit(const std::shared_ptr<connection>& link) {
  const std::scoped_lock lock{mutex_};
  open_.insert(link);
}

void http_server::forget(const std::shared_ptr<connection>& link) {
  const std::scoped_lock lock{mutex_};
  open_.erase(link);
}

void http_server::close_connections() {
  const std::scoped_lock lock{mutex_};
  for (const auto& link : open_)
    shut(*link);
}

// "Open connections go silent for good while new ones work": what is open now stays open and is
// never written to again, but for the connection that asks for it.
void http_server::silence_connections(const connection& but) {
  const std::scoped_lock lock{mutex_};
  for (const auto& link : open_)
    if (link.get() != &but)
      link->silenced = true;
}

void http_server::crash() {
  {
    const std::scoped_lock lock{mutex_};
    down_until_ =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{board_.now().restart_ms};
  }
  close_connections();
}

bool http_server::crashed() const {
  const std::scoped_lock lock{mutex_};
  return std::chrono::steady_clock::now() < down_until_;
}

std::string to_text(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string error_text(const std::string& why) {
  Poco::JSON::Object object;
  object.set("error", why);
  return to_text(object);
}

} // namespace sedgechute::standin
