#pragma once

#include "gateway/impl/body_decoder.hpp"
#include "relay/impl/connection.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <cstring>
#include <functional>

namespace sedgechute {

/// \brief Adapts a connection to `byte_source` and records how the last read ended.
class connection_source final : public byte_source {
 public:
  /// \param fill  reads at least one more byte into the buffer of `from`
  connection_source(connection& from, std::function<io_status()> fill)
      : from_{from}, fill_{std::move(fill)} {}

  [[nodiscard]] int next_byte() override {
    char byte = 0;
    return read_some(&byte, 1) == 0 ? -1 : static_cast<unsigned char>(byte);
  }

  [[nodiscard]] std::size_t read_some(char* into, std::size_t most) override {
    if (from_.buffered().empty()) {
      last_ = fill_();
      if (last_ == io_status::ended)
        return 0;
      if (last_ == io_status::reset)
        throw Poco::IOException{"the connection was reset"};
      if (last_ != io_status::ok)
        throw error{error_kind::slow_caller, "connection", std::string{name_of(last_)}};
    }
    const std::size_t count = std::min(most, from_.buffered().size());
    std::memcpy(into, from_.buffered().data(), count);
    from_.consume(count);
    return count;
  }

  /// \returns how the last read from the connection ended
  [[nodiscard]] io_status last() const noexcept { return last_; }

 private:
  connection& from_;
  std::function<io_status()> fill_;
  io_status last_{io_status::ok};
};

} // namespace sedgechute
