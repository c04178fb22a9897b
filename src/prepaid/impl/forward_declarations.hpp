#pragma once

namespace sedgechute {

struct account;
struct account_record;
class account_log;
class budget_manager;
class fleet_clock;
class partition_budgets;
class token_loans;
struct loan_message;
struct clock_reading;
struct prepaid_options;
struct token_demand;
struct token_holder;

} // namespace sedgechute
