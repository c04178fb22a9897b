#pragma once

#include "kernel/kernel.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Where to reach an incarnation of another host.
struct peer_address {
  incarnation who;
  std::string address; ///< `IP:port`
};

/// \brief Sends messages to other hosts. Thread-safe, never blocks.
///
/// Each peer has a queue and at most one batch on its way, so a slow peer makes batches larger
/// instead of calls more. A queue that is full drops its oldest messages: every protocol above
/// repeats what was not answered.
class peer_links {
 public:
  explicit peer_links(incarnation self, time_ms call_timeout);
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;
  ~peer_links();

  /// \brief Replaces the addresses; links to hosts that are gone are closed.
  void set_peers(const std::vector<peer_address>& peers);

  /// \brief Queues a message; dropped when the incarnation is not known.
  void send(const incarnation& to, wire::envelope message);

  /// \returns a stub for calls of another kind, or null when the host is not known.
  [[nodiscard]] std::shared_ptr<wire::peer::Stub> stub_for(const host_id& to);

 private:
  struct link;

  [[nodiscard]] std::shared_ptr<link> link_to(const host_id& to);
  void flush(const std::shared_ptr<link>& to);

  incarnation self_;
  time_ms call_timeout_;
  ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any idle_;
  std::size_t calls_{0};
  bool stopping_{false};
  std::map<host_id, std::shared_ptr<link>> links_;
};

} // namespace sedgechute
