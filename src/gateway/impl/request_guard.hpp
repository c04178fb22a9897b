#pragma once

#include "gateway/impl/ports.hpp"

namespace sedgechute {

/// \brief Counts a request in for as long as it lives, so that a graceful stop waits for it.
class request_guard {
 public:
  /// \throws error `stopping` or `not_ready`: then nothing was counted
  explicit request_guard(host_port& status) : status_{status} { status_.enter(); }
  request_guard(const request_guard&) = delete;
  request_guard& operator=(const request_guard&) = delete;
  ~request_guard() { status_.leave(); }

 private:
  host_port& status_;
};

} // namespace sedgechute
