#pragma once

/// \file
/// \brief Prepaid team budgets over a log with conditional appends: no team can use more than it
/// has paid for, whichever hosts stop, restart or are cut off.
///
/// Each host has an account with each team: the tokens granted to it, and how many of these it has
/// used. An account is one record under one key. All accounts of a partition are in one log, and a
/// record is appended only if the log still ends where its writer has read to. So the sum of all
/// grants is checked against the same state that the record is added to.

#include "prepaid/impl/account.hpp"
#include "prepaid/impl/account_log.hpp"
#include "prepaid/impl/budget_manager.hpp"
#include "prepaid/impl/clock_reading.hpp"
#include "prepaid/impl/fleet_clock.hpp"
#include "prepaid/impl/forward_declarations.hpp"
#include "prepaid/impl/holder_selection.hpp"
#include "prepaid/impl/loan_ledger.hpp"
#include "prepaid/impl/loan_message.hpp"
#include "prepaid/impl/partition_budgets.hpp"
#include "prepaid/impl/prepaid_options.hpp"
#include "prepaid/impl/token_loans.hpp"
