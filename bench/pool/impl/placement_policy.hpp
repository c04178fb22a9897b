#pragma once

#include "pool/impl/arrival.hpp"
#include "pool/impl/engine.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sedgechute::pool {

/// \brief An engine as the model knows it, with the load that it would tell now.
struct engine_view {
  const engine* state{nullptr};
  engine_load told;                  ///< as old as its reports are
  std::uint64_t on_the_way{};        ///< requests sent to it that are not there yet
  std::uint64_t unread_on_the_way{}; ///< tokens of their prompts, without what it keeps
  std::uint32_t zone{};
};

struct chosen_engine {
  std::uint32_t engine{};
  std::optional<std::uint32_t> fetch_from; ///< an engine that keeps more of the prompt
};

/// \brief One request that a host is to place.
struct open_request {
  std::uint32_t number{};
  const arrival* what{nullptr};
  std::vector<std::uint32_t> avoid; ///< engines that refused it
};

enum class send_end { answered, not_run, caller_left };

/// \brief A way of placing requests. All hosts of a run share one object; it keeps what each host
/// knows apart.
class placement_policy {
 public:
  placement_policy() = default;
  placement_policy(const placement_policy&) = delete;
  placement_policy& operator=(const placement_policy&) = delete;
  virtual ~placement_policy() = default;

  /// \brief Before anything else at an instant.
  virtual void now_is(double at_ms) = 0;
  [[nodiscard]] virtual std::optional<chosen_engine>
  choose(const open_request& request, std::span<const engine_view> engines) = 0;
  /// \brief The first event reached the host, with what the engine told of its load.
  virtual void started(const open_request& request, engine_load load) = 0;
  virtual void ended(const open_request& request, send_end how, bool started) = 0;
  /// \brief Every `poll_interval_ms` a host may ask the engines.
  virtual void poll(std::uint32_t host, std::span<const engine_view> engines) = 0;
  /// \returns what the host sends the other hosts now
  [[nodiscard]] virtual std::vector<std::string> due_messages(std::uint32_t host) = 0;
  virtual void take_message(std::uint32_t host, const std::string& bytes) = 0;
};

enum class policy_kind {
  shipped,
  round_robin,
  least_outstanding,
  prefix_least_wait,
  oracle,
};

} // namespace sedgechute::pool

template <>
struct sedgechute::enum_names<sedgechute::pool::policy_kind> {
  using enum sedgechute::pool::policy_kind;
  static constexpr auto entries =
      enum_table<sedgechute::pool::policy_kind>({{shipped, "shipped"},
                                                 {round_robin, "round_robin"},
                                                 {least_outstanding, "least_outstanding"},
                                                 {prefix_least_wait, "prefix_least_wait"},
                                                 {oracle, "oracle"}});
};
