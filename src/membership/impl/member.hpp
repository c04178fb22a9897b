#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief State of an incarnation as gossiped. Of two updates with equal version the later value
/// wins.
enum class member_state {
  alive,
  suspect, ///< missed a probe; may still refute the suspicion
  dead,    ///< didn't refute in time, was replaced, or stopped
};

template <>
struct enum_names<member_state> {
  static constexpr auto entries = enum_table<member_state>({{member_state::alive, "alive"},
                                                            {member_state::suspect, "suspect"},
                                                            {member_state::dead, "dead"}});
};

/// \brief A gossiped update about one incarnation.
struct member_update {
  incarnation who;
  data_centre_id data_centre;
  std::string address;     ///< peer address, `IP:port`
  std::uint64_t version{}; ///< raised only by the incarnation itself, to refute an update
  member_state state{member_state::alive};
  bool leaving{}; ///< will stop after its streams end; never reset within an incarnation

  bool operator==(const member_update&) const = default;
};

/// \brief A host in a `membership_view`.
struct member {
  incarnation who;
  data_centre_id data_centre;
  std::string address;
  member_state state{member_state::alive};
  bool leaving{};

  bool operator==(const member&) const = default;
};

/// \brief The hosts that are not dead, including this one, ordered by name, with one incarnation
/// each.
struct membership_view {
  std::uint64_t version{}; ///< changes only when `members` does
  std::vector<member> members;
};

/// \brief An entry host in the platform's host list, which may be out of date.
struct listed_host {
  host_id host;
  data_centre_id data_centre;
  std::string address; ///< peer address, `IP:port`
  bool leaving{};

  bool operator==(const listed_host&) const = default;
};

} // namespace sedgechute
