#include "wire/impl/routing_codec.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace sedgechute {

namespace {

// Beyond any span in use; a larger one from a peer would overflow when added to an instant.
constexpr std::uint64_t longest_span_ms = std::uint64_t{1} << 40U;

[[noreturn]] void reject(const char* field, const char* why) {
  throw error{error_kind::malformed_request, std::string{"routing_message."} + field, why};
}

const std::string& checked_name(const std::string& text, const char* field) {
  if (text.empty())
    reject(field, "missing");
  if (text.size() > max_routing_name)
    reject(field, "longer than any name");
  return text;
}

double checked_rate(float value, const char* field) {
  if (!std::isfinite(value) || value < 0.0F)
    reject(field, "not a rate");
  return static_cast<double>(value);
}

time_ms checked_span(std::uint64_t value, const char* field) {
  if (value > longest_span_ms)
    reject(field, "longer than any span");
  return time_ms{static_cast<std::int64_t>(value)};
}

void check_count(int count, int most, const char* field) {
  if (count > most)
    reject(field, "more than any sender packs");
}

std::uint64_t span_of(time_ms span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

// A demand is a figure to plan by; seven digits are enough and take half the bytes.
float short_rate(double rate) {
  return static_cast<float>(rate);
}

void to_wire(const share_report& report, wire::share_report& out) {
  out.set_pool(report.pool.str());
  out.set_host(report.from.host.str());
  out.set_number(report.from.number);
  out.set_sequence(report.sequence);
  out.set_hosts(report.hosts);
  for (const team_demand& team : report.teams) {
    wire::team_demand& added = *out.add_teams();
    added.set_team(team.team.str());
    added.set_wanted(short_rate(team.wanted));
    added.set_served(short_rate(team.served));
    added.set_queued(short_rate(team.queued));
    if (team.weight != 1.0)
      added.set_weight(short_rate(team.weight));
  }
  out.set_others_wanted(short_rate(report.others.wanted));
  out.set_others_served(short_rate(report.others.served));
  out.set_urgent_queued(short_rate(report.urgent_queued));
  out.set_others_queued(short_rate(report.others.queued));
  out.set_scope(static_cast<std::uint32_t>(report.scope));
  out.set_rate(short_rate(report.rate));
  out.set_others_granted(short_rate(report.others_granted));
  out.set_others_beyond(short_rate(report.others_beyond));
}

share_report from_wire(const wire::share_report& report) {
  check_count(report.teams_size(), max_teams_in_report, "teams");
  share_report out;
  out.pool = pool_id{checked_name(report.pool(), "pool")};
  out.from = {host_id{checked_name(report.host(), "host")}, report.number()};
  out.sequence = report.sequence();
  out.hosts = report.hosts();
  for (const wire::team_demand& team : report.teams())
    out.teams.push_back(
        {team_id{checked_name(team.team(), "team")}, checked_rate(team.wanted(), "wanted"),
         checked_rate(team.served(), "served"), checked_rate(team.queued(), "queued"),
         team.weight() == 0.0F ? 1.0 : checked_rate(team.weight(), "weight")});
  out.urgent_queued = checked_rate(report.urgent_queued(), "urgent_queued");
  out.others = {{},
                checked_rate(report.others_wanted(), "others_wanted"),
                checked_rate(report.others_served(), "others_served"),
                checked_rate(report.others_queued(), "others_queued")};
  if (report.scope() > static_cast<std::uint32_t>(share_scope::fleet))
    reject("scope", "none of the scopes");
  out.scope = static_cast<share_scope>(report.scope());
  out.rate = checked_rate(report.rate(), "rate");
  out.others_granted = checked_rate(report.others_granted(), "others_granted");
  out.others_beyond = checked_rate(report.others_beyond(), "others_beyond");
  return out;
}

void to_wire(const quarantine_news& news, wire::routing_message& out) {
  for (const death_evidence& death : news.deaths) {
    wire::death_evidence& added = *out.add_deaths();
    added.set_content(death.content);
    added.set_endpoint(death.endpoint.str());
    added.set_life(death.life);
    added.set_ran_for_ms(span_of(death.ran_for));
    added.set_age_ms(span_of(death.age));
  }
  for (const acquittal& cleared : news.acquittals) {
    wire::acquittal& added = *out.add_acquittals();
    added.set_content(cleared.content);
    added.set_age_ms(span_of(cleared.age));
  }
  for (const quarantine_record& record : news.records) {
    wire::quarantine_record& added = *out.add_records();
    added.set_content(record.content);
    added.set_version(record.version);
    added.set_lifted(record.lifted);
    added.set_remaining_ms(span_of(record.remaining));
    for (const endpoint_id& endpoint : record.endpoints)
      added.add_endpoints(endpoint.str());
  }
}

quarantine_record from_wire(const wire::quarantine_record& record) {
  check_count(record.endpoints_size(), max_quarantine_items, "endpoints");
  quarantine_record out;
  out.content = record.content();
  out.version = record.version();
  out.lifted = record.lifted();
  out.remaining = checked_span(record.remaining_ms(), "remaining_ms");
  for (const std::string& endpoint : record.endpoints())
    out.endpoints.emplace_back(checked_name(endpoint, "endpoints"));
  return out;
}

/// Places of endpoints in a message's list of names, each named once.
class name_list {
 public:
  explicit name_list(wire::use_report& out) : out_{out} {}

  std::uint32_t place_of(const endpoint_id& name) {
    const auto [found, added] =
        places_.try_emplace(name, static_cast<std::uint32_t>(places_.size()));
    if (added)
      out_.add_endpoints(name.str());
    return found->second;
  }

 private:
  wire::use_report& out_;
  std::unordered_map<endpoint_id, std::uint32_t> places_;
};

void to_wire(const use_report& report, wire::use_report& out) {
  out.set_host(report.from.host.str());
  out.set_number(report.from.number);
  out.set_sequence(report.sequence);
  out.set_partial(!report.whole);
  name_list names{out};
  for (const endpoint_use& use : report.uses) {
    wire::endpoint_use& added = *out.add_uses();
    added.set_endpoint(names.place_of(use.endpoint));
    added.set_running(use.running);
    for (const double unread : use.unread)
      added.add_unread(static_cast<std::uint32_t>(unread));
  }
  for (const prefix_place& place : report.places) {
    wire::prefix_place& added = *out.add_places();
    added.set_block(place.block);
    added.set_endpoint(names.place_of(place.endpoint));
  }
}

endpoint_id named(const wire::use_report& report, std::uint32_t place) {
  if (place >= static_cast<std::uint32_t>(report.endpoints_size()))
    reject("use.endpoint", "beyond the list of names");
  return endpoint_id{checked_name(report.endpoints(static_cast<int>(place)), "use.endpoints")};
}

use_report from_wire(const wire::use_report& report) {
  check_count(report.endpoints_size(), max_endpoints_in_use, "use.endpoints");
  check_count(report.uses_size(), max_endpoints_in_use, "use.uses");
  check_count(report.places_size(), max_prefix_places, "use.places");
  use_report out;
  out.from = {host_id{checked_name(report.host(), "use.host")}, report.number()};
  out.sequence = report.sequence();
  out.whole = !report.partial();
  for (const wire::endpoint_use& use : report.uses()) {
    if (use.unread_size() > static_cast<int>(urgency_count))
      reject("use.unread", "more ranks than there are");
    endpoint_use added{named(report, use.endpoint()), use.running(), {}};
    for (int i = 0; i < use.unread_size(); ++i)
      added.unread[static_cast<std::size_t>(i)] = use.unread(i);
    out.uses.push_back(std::move(added));
  }
  for (const wire::prefix_place& place : report.places())
    out.places.push_back({place.block(), named(report, place.endpoint())});
  return out;
}

} // namespace

wire::routing_message to_wire(const routing_message& message) {
  wire::routing_message out;
  for (const share_report& report : message.shares)
    to_wire(report, *out.add_shares());
  to_wire(message.news, out);
  if (message.use)
    to_wire(*message.use, *out.mutable_use());
  return out;
}

routing_message from_wire(const wire::routing_message& message) {
  check_count(message.shares_size(), max_share_reports, "shares");
  check_count(message.deaths_size(), max_quarantine_items, "deaths");
  check_count(message.acquittals_size(), max_quarantine_items, "acquittals");
  check_count(message.records_size(), max_quarantine_items, "records");
  routing_message out;
  for (const wire::share_report& report : message.shares())
    out.shares.push_back(from_wire(report));
  for (const wire::death_evidence& death : message.deaths())
    out.news.deaths.push_back(
        {death.content(), endpoint_id{checked_name(death.endpoint(), "endpoint")}, death.life(),
         checked_span(death.ran_for_ms(), "ran_for_ms"), checked_span(death.age_ms(), "age_ms")});
  for (const wire::acquittal& cleared : message.acquittals())
    out.news.acquittals.push_back({cleared.content(), checked_span(cleared.age_ms(), "age_ms")});
  for (const wire::quarantine_record& record : message.records())
    out.news.records.push_back(from_wire(record));
  if (message.has_use())
    out.use = from_wire(message.use());
  return out;
}

wire::pool_claim to_wire(const pool_claim& claim) {
  wire::pool_claim out;
  out.set_pool(claim.pool.str());
  out.set_host(claim.claimant.host.str());
  out.set_number(claim.claimant.number);
  out.set_replaces(claim.replaces);
  return out;
}

pool_claim from_wire(const wire::pool_claim& claim) {
  return {pool_id{checked_name(claim.pool(), "pool")},
          {host_id{checked_name(claim.host(), "host")}, claim.number()},
          claim.replaces()};
}

wire::decided_pool to_wire(const decided_pool& decided) {
  wire::decided_pool out;
  out.set_pool(decided.pool.str());
  out.set_host(decided.decider.host.host.str());
  out.set_number(decided.decider.host.number);
  out.set_epoch(decided.decider.epoch);
  return out;
}

decided_pool from_wire(const wire::decided_pool& decided) {
  return {pool_id{checked_name(decided.pool(), "pool")},
          {{host_id{checked_name(decided.host(), "host")}, decided.number()}, decided.epoch()}};
}

} // namespace sedgechute
