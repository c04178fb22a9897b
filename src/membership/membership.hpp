#pragma once

/// \file
/// \brief Membership: which hosts are alive, their addresses and incarnations.
///
/// The library does no I/O and reads no clock: callers pass in the time, messages, host list and
/// random seeds, and take messages to send as values.

#include "membership/impl/forward_declarations.hpp"
#include "membership/impl/member.hpp"
#include "membership/impl/member_table.hpp"
#include "membership/impl/membership.hpp"
#include "membership/impl/membership_message.hpp"
#include "membership/impl/membership_options.hpp"
