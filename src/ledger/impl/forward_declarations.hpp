#pragma once

namespace sedgechute::ledger {

struct record_id;
struct ledger_record;
struct ledger_snapshot;
struct delegation;
struct team_totals;
struct ledger_options;
struct budget_output;
struct budget_request;
struct budget_decision;
struct budget_description;

class ledger_state;
class live_hosts;
class host_context;
class entry_role;
class holder_role;
class witness_role;
class budget_host;

} // namespace sedgechute::ledger
