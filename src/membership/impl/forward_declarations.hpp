#pragma once

namespace sedgechute {

enum class member_state;
struct member_update;
struct member;
struct membership_view;
struct listed_host;
struct membership_options;

enum class membership_message_kind;
struct membership_message;
struct addressed_membership_message;

class member_table;
class membership;

} // namespace sedgechute
