#include "gateway/impl/endpoint_connections.hpp"

#include "clients/clients.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t most_idle_per_endpoint = 64;

// Engines close idle connections after some seconds; dropping ours earlier avoids most of the
// cases in which a request is written to a connection that the engine is just closing.
constexpr int keep_alive_seconds = 5;

Poco::Timespan to_timespan(time_ms span) {
  return Poco::Timespan{span.count() * Poco::Timespan::MILLISECONDS};
}

} // namespace

std::pair<endpoint_connections::session_ptr, bool>
endpoint_connections::take(const std::string& address, bool reuse) {
  while (reuse) {
    session_ptr session = take_idle(address);
    if (!session)
      break;
    if (is_quiet(*session))
      return {std::move(session), true};
  }
  return {open(address), false};
}

endpoint_connections::session_ptr endpoint_connections::take_idle(const std::string& address) {
  const std::scoped_lock lock{mutex_};
  auto& sessions = idle_[address];
  if (sessions.empty())
    return nullptr;
  session_ptr session = std::move(sessions.back());
  sessions.pop_back();
  return session;
}

// On an idle connection there is nothing to read but its end, or bytes that belong to no request.
// A request written to one that the endpoint had closed would be lost, and nobody could tell that
// from an endpoint that the request has just crashed.
bool endpoint_connections::is_quiet(endpoint_session& session) {
  try {
    return !session.socket().poll(Poco::Timespan{}, Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool endpoint_connections::connect(endpoint_session& session, const std::string& address,
                                   time_ms silence) const {
  try {
    Poco::Net::StreamSocket& socket = session.socket();
    if (!session.connected()) {
      const http_target target = http_target::parse(address);
      socket.connect(Poco::Net::SocketAddress{target.ip, target.port},
                     to_timespan(timeouts_.connect));
      socket.setNoDelay(true);
      socket.setSendTimeout(to_timespan(timeouts_.send));
    }
    // The session applies its timeouts only to connections that it opens itself.
    socket.setReceiveTimeout(to_timespan(silence));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void endpoint_connections::give_back(const std::string& address, session_ptr session) {
  const std::scoped_lock lock{mutex_};
  auto& sessions = idle_[address];
  if (sessions.size() < most_idle_per_endpoint)
    sessions.push_back(std::move(session));
}

void endpoint_connections::forget(const std::string& address) {
  std::vector<session_ptr> closing;
  const std::scoped_lock lock{mutex_};
  const auto found = idle_.find(address);
  if (found == idle_.end())
    return;
  closing.swap(found->second);
  idle_.erase(found);
}

endpoint_connections::session_ptr endpoint_connections::open(const std::string& address) const {
  const http_target target = http_target::parse(address);
  auto session = std::make_unique<endpoint_session>(target.ip, target.port);
  session->setKeepAlive(true);
  session->setKeepAliveTimeout(Poco::Timespan{keep_alive_seconds, 0});
  session->setTimeout(to_timespan(timeouts_.connect), to_timespan(timeouts_.send),
                      to_timespan(timeouts_.silence));
  return session;
}

} // namespace sedgechute
