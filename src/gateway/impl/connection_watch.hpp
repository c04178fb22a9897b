#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <thread>
#include <unordered_map>

namespace sedgechute {

/// \brief Shuts connections down whose current phase lasts longer than allowed.
///
/// Guards against callers that send a header one byte at a time: each byte arrives within the
/// socket's receive timeout, so without a bound on the whole phase a few thousand such callers
/// would hold every thread. The shutdown makes the thread's blocked read return at once.
class connection_watch {
 public:
  explicit connection_watch(const clock& time);
  connection_watch(const connection_watch&) = delete;
  connection_watch& operator=(const connection_watch&) = delete;
  ~connection_watch();

  /// \brief Bounds the phase for as long as it lives.
  class bounded_phase {
   public:
    bounded_phase(connection_watch& watch, const Poco::Net::StreamSocket& socket, time_ms most);
    bounded_phase(const bounded_phase&) = delete;
    bounded_phase& operator=(const bounded_phase&) = delete;
    ~bounded_phase();

   private:
    connection_watch& watch_;
    std::uint64_t id_;
  };

 private:
  struct watched {
    Poco::Net::StreamSocket socket;
    time_ms deadline;
  };

  void run();
  void close_overdue();

  const clock& time_;
  ordered_mutex mutex_{lock_rank::endpoints};
  std::condition_variable_any wake_;
  std::unordered_map<std::uint64_t, watched> watched_;
  std::uint64_t next_id_{1};
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
