#pragma once

/// \file
/// \brief Membership: who is alive, where, in which incarnation.
///
/// Pure: time, messages, host list and randomness come in as arguments, messages go out as values.

#include "membership/impl/forward_declarations.hpp"
#include "membership/impl/member.hpp"
#include "membership/impl/member_table.hpp"
#include "membership/impl/membership.hpp"
#include "membership/impl/membership_message.hpp"
#include "membership/impl/membership_options.hpp"
