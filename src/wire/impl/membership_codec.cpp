#include "wire/impl/membership_codec.hpp"

namespace sedgechute {

namespace {

void to_wire(const member_update& update, wire::member_update& out) {
  out.set_host(update.who.host.str());
  out.set_number(update.who.number);
  out.set_data_centre(update.data_centre.str());
  out.set_address(update.address);
  out.set_version(update.version);
  out.set_state(static_cast<wire::member_state>(update.state));
  out.set_leaving(update.leaving);
}

[[noreturn]] void reject(const char* field, const char* why) {
  throw error{error_kind::malformed_request, std::string{"membership_message."} + field, why};
}

const std::string& checked_name(const std::string& text, const char* field) {
  if (text.size() > max_membership_name)
    reject(field, "longer than any name");
  return text;
}

const std::string& required_name(const std::string& text, const char* field) {
  if (text.empty())
    reject(field, "missing");
  return checked_name(text, field);
}

template <typename E>
E checked_enum(int value, const char* field) {
  const auto kind = static_cast<E>(value);
  if (name_of(kind) == "?")
    reject(field, "unknown value");
  return kind;
}

member_update from_wire(const wire::member_update& update) {
  member_update out;
  out.who = {host_id{required_name(update.host(), "host")}, update.number()};
  out.data_centre = data_centre_id{checked_name(update.data_centre(), "data_centre")};
  out.address = required_name(update.address(), "address");
  out.version = update.version();
  out.state = checked_enum<member_state>(update.state(), "state");
  out.leaving = update.leaving();
  return out;
}

} // namespace

wire::membership_message to_wire(const membership_message& message) {
  wire::membership_message out;
  out.set_kind(static_cast<wire::membership_message_kind>(message.kind));
  to_wire(message.from, *out.mutable_from());
  out.set_sequence(message.sequence);
  out.set_target_host(message.target.host.str());
  out.set_target_number(message.target.number);
  out.set_target_address(message.target_address);
  for (const member_update& update : message.updates)
    to_wire(update, *out.add_updates());
  return out;
}

membership_message from_wire(const wire::membership_message& message) {
  if (message.updates_size() > static_cast<int>(max_sync_updates))
    reject("updates", "more than any sender packs");
  membership_message out;
  out.kind = checked_enum<membership_message_kind>(message.kind(), "kind");
  out.from = from_wire(message.from());
  out.sequence = message.sequence();
  out.target = {host_id{checked_name(message.target_host(), "target_host")},
                message.target_number()};
  out.target_address = checked_name(message.target_address(), "target_address");
  out.updates.reserve(message.updates_size());
  for (const wire::member_update& update : message.updates())
    out.updates.push_back(from_wire(update));
  return out;
}

} // namespace sedgechute
