#pragma once

#include "driver.hpp"

#include <unordered_map>

namespace sedgechute::bench {

/// \brief Round robin per host, first come first served at the engines, two more tries after each
/// failure or timeout.
class naive_router final : public router {
 public:
  explicit naive_router(const scenario& s);

  void arrived(driver& world, std::uint32_t request) override;
  void first_token(driver& world, const run& r) override;
  void completed(driver& world, const run& r) override;
  void failed(driver& world, const run& r, bool connected) override;
  void tick(driver& /*world*/) override {}

 private:
  void send_next(driver& world, std::uint32_t request);

  std::uint32_t replicas_;
  std::vector<std::uint32_t> next_;
  std::unordered_map<std::uint32_t, std::uint32_t> tries_;
};

/// \brief One queue for all hosts with the product's order, and a choice that sees the real state
/// of every replica and cache at once.
class oracle_router final : public router {
 public:
  explicit oracle_router(const scenario& s);

  void arrived(driver& world, std::uint32_t request) override;
  void first_token(driver& world, const run& r) override;
  void completed(driver& world, const run& r) override;
  void failed(driver& world, const run& r, bool connected) override;
  void tick(driver& world) override;

 private:
  void pump(driver& world);
  [[nodiscard]] std::optional<std::uint32_t> best_for(const driver& world, const arrival& a) const;

  fair_queue queue_;
  std::unordered_map<std::uint32_t, work_grant> grants_;
  std::vector<std::uint32_t> sent_;                               ///< to each replica and not ended
  std::vector<std::unordered_map<std::uint32_t, double>> unread_; ///< by replica and request
};

} // namespace sedgechute::bench
