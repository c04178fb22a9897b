#include "gateway/impl/connection_watch.hpp"

#include <Poco/Exception.h>

#include <chrono>

namespace sedgechute {

namespace {
constexpr std::chrono::milliseconds sweep_interval{250};
} // namespace

connection_watch::connection_watch(const clock& time) : time_{time}, thread_{[this] { run(); }} {}

connection_watch::~connection_watch() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

connection_watch::bounded_phase::bounded_phase(connection_watch& watch,
                                               const Poco::Net::StreamSocket& socket, time_ms most)
    : watch_{watch}, id_{0} {
  const std::scoped_lock lock{watch_.mutex_};
  id_ = watch_.next_id_++;
  watch_.watched_.emplace(id_, watched{socket, watch_.time_.now() + most});
}

connection_watch::bounded_phase::~bounded_phase() {
  const std::scoped_lock lock{watch_.mutex_};
  watch_.watched_.erase(id_);
}

void connection_watch::run() {
  std::unique_lock lock{mutex_};
  while (!stopping_) {
    wake_.wait_for(lock, sweep_interval);
    close_overdue();
  }
}

void connection_watch::close_overdue() {
  const time_ms now = time_.now();
  for (auto& [id, connection] : watched_) {
    if (connection.deadline > now)
      continue;
    try {
      connection.socket.shutdown();
    } catch (const Poco::Exception&) {
      continue; // the peer closed it first
    }
  }
}

} // namespace sedgechute
