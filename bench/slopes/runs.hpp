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
void run_links(slope_table& table);      ///< calls between hosts

[[nodiscard]] const std::vector<named_run>& runs();

} // namespace sedgechute::slopes
