#pragma once

namespace sedgechute {

struct account;
struct account_record;
class account_log;
class budget_desk;
class prepaid_book;
struct prepaid_options;

} // namespace sedgechute
