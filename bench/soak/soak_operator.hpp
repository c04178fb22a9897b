#pragma once

#include "observations.hpp"
#include "soak_shape.hpp"
#include "standin/standin.hpp"

#include <array>
#include <atomic>
#include <string>

namespace sedgechute::soak {

constexpr int teams = 3;

[[nodiscard]] std::string team_name(std::uint64_t number);
/// \returns the key that a team has in every version
[[nodiscard]] std::string lasting_key(std::uint64_t team);

/// \brief What one version adds for a while, so that answers tell which versions are in force.
struct version_mark {
  std::uint64_t version{};

  /// \returns the path of a route that this version and all later ones have
  [[nodiscard]] std::string prefix() const { return "/v" + std::to_string(version) + "/"; }
  /// \returns a key of the first team that this version and the two after it have
  [[nodiscard]] std::string key() const { return "r" + std::to_string(version); }
  [[nodiscard]] version_span with_route() const { return {version, version_span::never}; }
  [[nodiscard]] version_span with_key() const { return {version, version + 2}; }
};

/// \brief Publishes configurations, each newer than the one before.
class soak_operator {
 public:
  /// \param prepaid  tokens of each team at first
  soak_operator(standin::topic_store& store, recorder& seen, const clock& time,
                std::uint64_t prepaid);

  void publish();
  /// \brief As `publish`, with more tokens for every team.
  void publish_paid(std::uint64_t more);
  /// \brief The same for all teams but the first, whose budget is used up to its end.
  void publish_paid_but_first(std::uint64_t more);
  /// \returns how many versions have been published
  [[nodiscard]] std::uint64_t newest() const noexcept { return newest_; }

 private:
  [[nodiscard]] std::string document(std::uint64_t version) const;

  standin::topic_store& store_;
  recorder& seen_;
  const clock& time_;
  std::array<std::uint64_t, teams> prepaid_{}; ///< tokens of each team
  std::atomic<std::uint64_t> newest_{0};
};

} // namespace sedgechute::soak
