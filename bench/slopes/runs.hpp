#pragma once

#include "slopes/slope_table.hpp"

namespace sedgechute::slopes {

/// \brief Measurements of one part of a host.
struct named_run {
  std::string name;
  void (*run)(slope_table&);
};

void run_ledger(slope_table& table);     ///< replayed budgets and epochs
void run_documents(slope_table& table);  ///< contracts
void run_checkpoint(slope_table& table); ///< writing, reading and bytes
void run_holders(slope_table& table);    ///< reserve and settle between hosts
void run_claims(slope_table& table);     ///< idempotency keys
void run_membership(slope_table& table); ///< failure detector
void run_routing(slope_table& table);    ///< endpoints, queues, shares, orders
void run_shares(slope_table& table);     ///< shares between many hosts
void run_links(slope_table& table);      ///< calls between hosts

[[nodiscard]] const std::vector<named_run>& runs();

/// \brief What the exchange of shares costs, each per second.
struct share_traffic {
  double most_sent{};     ///< bytes, by the host that sends most
  double mean_sent{};     ///< bytes
  double most_received{}; ///< bytes, by the host that gets most
  double messages{};      ///< of a host on average
  double cpu_us{};        ///< of a host on average, codec included
};

/// \brief Runs the exchange among so many hosts with the letter's requests a host, in virtual time.
[[nodiscard]] share_traffic measure_shares(std::size_t hosts);

} // namespace sedgechute::slopes
