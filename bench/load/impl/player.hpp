#pragma once

#include "load/impl/load_call.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <map>
#include <memory>
#include <span>

namespace sedgechute::load {

/// \brief Plays calls one after another, on connections that it keeps open.
class player {
 public:
  /// \param most_tries  a call with a key whose connection breaks is tried at the next target
  player(std::span<const target> targets, std::uint32_t most_tries)
      : targets_{targets}, most_tries_{most_tries} {}

  /// \param first_target  index of the target of the first try
  [[nodiscard]] call_outcome play(const load_call& call, std::size_t first_target, instant due);

 private:
  void attempt(const load_call& call, std::size_t at, instant due, call_outcome& outcome);
  [[nodiscard]] Poco::Net::HTTPClientSession& session(std::size_t at);

  std::span<const target> targets_;
  std::uint32_t most_tries_;
  std::map<std::size_t, std::unique_ptr<Poco::Net::HTTPClientSession>> sessions_;
};

} // namespace sedgechute::load
