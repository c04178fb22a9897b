// Entries of the store's topics and datagrams of hosts, of any bytes: each is refused or taken,
// what is taken holds what its type promises, and the entries beside it on a page are read as ever.

#include "config/config.hpp"
#include "platform/platform.hpp"
#include "prepaid/impl/loan_message.hpp"
#include "relay/impl/peer_load_table.hpp"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace sedgechute;

const std::string good_endpoint =
    R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":64,)"
    R"("State":"ready","ColdRemainingMs":0,"Sequence":4})";
const std::string good_config = R"({"Version":7,"Routes":[],"Services":[]})";
const std::string good_host = "10.0.0.1:7 dc";

void require(bool holds) {
  if (!holds)
    std::abort();
}

/// The record in the middle of two good ones.
keyed_page page_around(const std::string& key, const std::string& text, const std::string& good,
                       const std::string& good_key = {}) {
  return {{{good_key.empty() ? "first" : good_key, good},
           {key, text},
           {good_key.empty() ? "last" : good_key, good}},
          3,
          false};
}

bool is_visible(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

void check_endpoint(const std::string& key, const std::string& text) {
  const endpoint_changes read = read_endpoints(page_around(key, text, good_endpoint));
  require(read.changes.size() == 3);
  require(read.changes.front().entry.has_value() && read.changes.back().entry.has_value());
  const endpoint_change& change = read.changes[1];
  require(change.entry.has_value() == change.fault.empty());
  if (!change.entry)
    return;
  require(change.entry->id == change.id && is_visible(change.id.str()));
  require(address::parse(change.entry->address).has_value());
  require(!change.entry->service.empty() && !change.entry->data_centre.empty());
  require(change.entry->slots >= 1);
}

void check_config(const std::string& text) {
  const config_changes read = read_configs(page_around("config", text, good_config, "config"));
  require(read.versions.size() + read.faults.size() == 3 && read.versions.size() >= 2);
  const config_ptr& taken = read.versions[1];
  require(taken != nullptr && taken->limits.header_bytes > 0 && taken->limits.body_bytes > 0);
}

void check_host(const std::string& key, const std::string& text) {
  const host_listing read = read_hosts(page_around(key, text, good_host));
  const std::size_t expected = key == "first" || key == "last" ? 2 : 3;
  require(read.hosts.size() + read.faults.size() == expected);
  for (const host_entry& host : read.hosts)
    require(address::parse(host.address).has_value() && !host.name.empty() &&
            host.name.find('\n') == std::string::npos);
}

void check_account(const std::string& key, const std::string& text) {
  const std::string good = encode_account({1, 500, 20, 3});
  const account_page read = read_accounts(page_around(key, text, good, account_key("t", "h")));
  require(read.records.size() + read.budgets.size() + read.faults.size() == 3 &&
          read.records.size() >= 2);
  for (const budget_record& budget : read.budgets)
    require(decode_budget(budget_key(budget.team), encode_budget(budget.tokens)) == budget);
  if (read.records.size() < 3)
    return;
  const account_record& taken = read.records[1];
  require(account_key(taken.team, taken.host) == key);
  require(decode_account(key, encode_account(taken.value)) == taken);
  require(taken.value.granted + taken.value.used >= taken.value.granted);
  require(max_used(taken.value, time_ms{1000}) <= taken.value.granted);
}

void check_datagrams(const std::string& text) {
  if (const auto loan = decode_loan(text))
    require(decode_loan(encode_loan(*loan)) == loan);
  const auto report = decode_use_report(text);
  if (!report)
    return;
  require(encode_use_report(*report) == text);
  peer_load_table table{time_ms{3000}};
  table.take(*report, time_ms{});
  table.remove_silent(time_ms{4000});
  for (const use_entry& entry : report->entries)
    require(table.at(entry.endpoint) == endpoint_use{});
}

void check_records(const std::string& text) {
  const std::string good = frame_record({"first", good_endpoint});
  if (const auto records = unframe_records(good + text))
    require(!records->empty() && records->front().key == "first");
}

} // namespace

// The fuzzer calls it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text{reinterpret_cast<const char*>(data), size};
  check_endpoint("i-1", text);
  check_endpoint(text.substr(0, 40), good_endpoint);
  check_config(text);
  check_host("h1", text);
  check_host(text, good_host);
  check_account(account_key("t", "h1"), text);
  check_account(text, encode_account({1, 500, 20, 3}));
  check_datagrams(text);
  check_records(text);
  return 0;
}
