#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/partition_budgets.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sedgechute {

/// \returns the partition of the log in which a team's accounts lie
[[nodiscard]] std::size_t account_partition(const std::string& team, std::size_t partitions);

/// \brief In a data centre of so many hosts or fewer, each holds tokens of all teams.
constexpr std::size_t small_data_centre_hosts = 4;

/// \brief In a larger one so many hosts hold those of a team. A cut between data centres leaves
/// each its own holders, and one may be gone. More of them would each hold too little for a large
/// request, and write too many records.
constexpr std::size_t holders_per_data_centre = 2;

/// \returns whether `self` is one of the holders of a partition's teams among the hosts of its data
///   centre, which all hosts reckon alike (rendezvous hashing). Who holds tokens of one team of a
///   partition holds those of all: it then has one partition to read and write, and not each.
/// \param centre  the hosts of the data centre; `self` may be among them
[[nodiscard]] bool holds_tokens_of(std::size_t partition, const std::string& self,
                                   const std::vector<std::string>& centre);

/// \returns the holders in the order in which a host asks them: near ones and those that hold much
///   tend to come first, but not the same ones for every request
/// \param is_near  whether a host is of the own data centre
[[nodiscard]] std::vector<token_holder>
borrowing_order(std::vector<token_holder> holders,
                const std::function<bool(const std::string& host)>& is_near, random_source& random);

} // namespace sedgechute
