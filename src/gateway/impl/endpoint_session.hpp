#pragma once

#include "gateway/impl/body_decoder.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <algorithm>

namespace sedgechute {

/// \brief A connection to an endpoint whose answer's body can be read as it comes, behind its
/// header. Reads throw Poco's exceptions.
class endpoint_session final : public Poco::Net::HTTPClientSession, public byte_source {
 public:
  using HTTPClientSession::HTTPClientSession;

  [[nodiscard]] int next_byte() override { return get(); }
  [[nodiscard]] std::size_t read_some(char* into, std::size_t most) override {
    return static_cast<std::size_t>(std::max(read(into, static_cast<std::streamsize>(most)), 0));
  }
};

} // namespace sedgechute
