#pragma once

#include "membership/impl/member.hpp"

namespace sedgechute {

/// \brief Kinds of messages between members. Any of them carries updates.
enum class membership_message_kind {
  ping,          ///< asks for an `ack`
  ack,           ///< answers a `ping`, or forwards the answer for an `indirect_ping`
  indirect_ping, ///< asks the receiver to ping `target` and forward its answer
  gossip,        ///< only carries updates; has no answer
  sync_request,  ///< carries the sender's whole table, asks for the receiver's
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

/// \brief A message of the failure detector.
struct membership_message {
  membership_message_kind kind{membership_message_kind::gossip};
  member_update from;         ///< the sender's own state
  std::uint64_t sequence{};   ///< matches an answer to its probe
  incarnation target;         ///< probed incarnation; an empty host name means any at the address
  std::string target_address; ///< peer address of `target`, in an `indirect_ping`
  std::vector<member_update> updates; ///< about other incarnations

  bool operator==(const membership_message&) const = default;
};

/// \brief A message and its receiver.
struct addressed_membership_message {
  std::string address; ///< receiver's peer address
  membership_message message;
};

} // namespace sedgechute
