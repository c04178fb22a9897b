#pragma once

/// \file
/// \brief Prepaid token budgets: replay of the log, delegated slices, witnesses, transfers between
/// holders, reservations and bills. docs/LEDGER.md states the rules and why they hold.
///
/// Pure logic: time, records and messages are arguments; messages to send and records to append are
/// returned as values. `budget_host` is the class that a daemon calls under its lock.

#include "ledger/impl/budget_description.hpp"
#include "ledger/impl/budget_host.hpp"
#include "ledger/impl/forward_declarations.hpp"
#include "ledger/impl/ledger_snapshot.hpp"
#include "ledger/impl/ledger_state.hpp"
#include "ledger/impl/messages.hpp"
#include "ledger/impl/options.hpp"
#include "ledger/impl/output.hpp"
#include "ledger/impl/records.hpp"
#include "ledger/impl/units.hpp"
