#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/partition_budgets.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sedgechute {

/// \returns the log partition that contains a team's accounts
[[nodiscard]] std::size_t account_partition(const std::string& team, std::size_t partitions);

/// \brief In a data centre with at most this many hosts each host holds tokens of all teams.
constexpr std::size_t small_data_centre_hosts = 4;

/// \brief Number of hosts in a larger data centre that hold a team's tokens. If data centres are
/// cut off from each other, each still has its own holders, and one of them may fail. More holders
/// would each hold too little for a large request, and write too many records.
constexpr std::size_t holders_per_data_centre = 2;

/// \returns whether `self` is among the hosts of its data centre that hold the tokens of a
/// partition's teams; all hosts compute the same answer (rendezvous hashing). Holders are chosen by
/// partition, not by team, so that a holder reads and writes one partition and not all of them.
/// \param centre  the hosts of the data centre; `self` may be among them
[[nodiscard]] bool holds_tokens_of(std::size_t partition, const std::string& self,
                                   const std::vector<std::string>& centre);

/// \returns the holders in the order in which a host asks them: near ones and those with many
/// tokens tend to come first, but the order differs between requests
/// \param is_near  whether a host is in this host's data centre
[[nodiscard]] std::vector<token_holder>
borrowing_order(std::vector<token_holder> holders,
                const std::function<bool(const std::string& host)>& is_near, random_source& random);

} // namespace sedgechute
