#pragma once

#include "pool/impl/deployment.hpp"
#include "pool/impl/placement_policy.hpp"

#include <memory>
#include <unordered_map>

namespace sedgechute::pool {

/// \brief What the product ships: a directory of endpoints at each host, its reports between hosts
/// and its choice. The model only keeps its clock and carries its messages.
class shipped_policy final : public placement_policy {
 public:
  shipped_policy(const deployment& of, const choice_weights& weights, std::uint64_t seed);

  void now_is(double at_ms) override;
  std::optional<chosen_engine> choose(const open_request& request,
                                      std::span<const engine_view> engines) override;
  void started(const open_request& request, engine_load load) override;
  void ended(const open_request& request, send_end how, bool started) override;
  void poll(std::uint32_t /*host*/, std::span<const engine_view> /*engines*/) override {}
  std::vector<std::string> due_messages(std::uint32_t host) override;
  void take_message(std::uint32_t host, const std::string& bytes) override;

 private:
  struct host {
    std::unique_ptr<endpoint_directory> endpoints;
    std::uint64_t name{};
    std::uint32_t messages{0};
    time_ms next_whole;
  };

  manual_clock time_;
  std::uint32_t slots_;
  std::vector<host> hosts_;
  std::unordered_map<std::uint32_t, placement> places_; ///< of requests that are under way
};

} // namespace sedgechute::pool
