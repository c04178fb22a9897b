#pragma once

#include "membership/impl/member.hpp"

namespace sedgechute {

enum class membership_message_kind {
  ping,          ///< asks for an `ack`
  ack,           ///< answers a `ping`, or passes on the answer to an `indirect_ping`
  indirect_ping, ///< asks the receiver to ping `target` and pass its answer on
  gossip,        ///< updates alone, no answer
  sync_request,  ///< the sender's whole table, asks for the receiver's
};

template <>
struct enum_names<membership_message_kind> {
  static constexpr auto entries = enum_table<membership_message_kind>(
      {{membership_message_kind::ping, "ping"},
       {membership_message_kind::ack, "ack"},
       {membership_message_kind::indirect_ping, "indirect_ping"},
       {membership_message_kind::gossip, "gossip"},
       {membership_message_kind::sync_request, "sync_request"}});
};

struct membership_message {
  membership_message_kind kind{membership_message_kind::gossip};
  member_update from;                 ///< the sender about itself
  std::uint64_t sequence{};           ///< pairs an answer with its probe
  incarnation target;                 ///< probed incarnation; an empty host means whoever is there
  std::string target_address;         ///< of an `indirect_ping`
  std::vector<member_update> updates; ///< news about others

  bool operator==(const membership_message&) const = default;
};

struct addressed_membership_message {
  std::string address; ///< receiver's peer address
  membership_message message;
};

} // namespace sedgechute
