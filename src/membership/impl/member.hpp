#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What the fleet believes of one incarnation. At the same version the later value wins.
enum class member_state {
  alive,
  suspect, ///< missed a probe; may still refute
  dead,    ///< did not refute in time, was replaced, or stopped
};

template <>
struct enum_names<member_state> {
  static constexpr auto entries = enum_table<member_state>({{member_state::alive, "alive"},
                                                            {member_state::suspect, "suspect"},
                                                            {member_state::dead, "dead"}});
};

/// \brief One statement about one incarnation, as gossiped.
struct member_update {
  incarnation who;
  data_centre_id data_centre;
  std::string address;     ///< peer address, `IP:port`
  std::uint64_t version{}; ///< raised only by the incarnation itself, to refute
  member_state state{member_state::alive};
  bool leaving{}; ///< stops after its streams; never taken back within an incarnation

  bool operator==(const member_update&) const = default;
};

/// \brief One host as others may use it.
struct member {
  incarnation who;
  data_centre_id data_centre;
  std::string address;
  member_state state{member_state::alive};
  bool leaving{};

  bool operator==(const member&) const = default;
};

/// \brief The hosts that are not dead, this one among them, ordered by name; one incarnation each.
struct membership_view {
  std::uint64_t version{}; ///< changes only when `members` does
  std::vector<member> members;
};

/// \brief An entry host as the platform's lagging list names it.
struct listed_host {
  host_id host;
  data_centre_id data_centre;
  std::string address; ///< peer address, `IP:port`
  bool leaving{};

  bool operator==(const listed_host&) const = default;
};

} // namespace sedgechute
