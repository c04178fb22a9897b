#pragma once

#include "gateway/gateway.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>

namespace sedgechute {

/// \brief What the peer server hands its calls to. Thread-safe.
class peer_listener {
 public:
  peer_listener() = default;
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  virtual ~peer_listener() = default;

  virtual void on_envelope(const wire::envelope& message) = 0;
  /// \brief Hears that a host sent a message in the name of another, which was dropped.
  virtual void on_impostor(const std::string& claimed) = 0;
  /// \returns log records after an offset.
  [[nodiscard]] virtual wire::records_reply records_after(std::uint64_t after,
                                                          std::size_t most) = 0;
  /// \brief Gives the replayed state in parts for as long as `send` returns true.
  /// \returns whether all was given; not if this host has no state
  [[nodiscard]] virtual bool state(const std::function<bool(std::string)>& send) = 0;
  /// \returns how this host's requests did against their objectives.
  [[nodiscard]] virtual wire::burn_reply burn() = 0;
  /// \returns the retained or running answer, or null.
  [[nodiscard]] virtual std::shared_ptr<answer_record> answer(const team_id& team,
                                                              const std::string& key) = 0;
};

/// \brief Serves other hosts over gRPC.
class peer_server {
 public:
  peer_server(const std::string& listen, peer_listener& listener,
              const peer_credentials& credentials);
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  ~peer_server();

  void stop();

 private:
  class service;

  std::unique_ptr<service> service_;
  std::unique_ptr<grpc::Server> server_;
};

} // namespace sedgechute
