#include "load/impl/audit.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>

namespace sedgechute::load {

namespace {

constexpr int timeout_s = 10;

Poco::JSON::Object::Ptr get_json(const Poco::Net::SocketAddress& address, const std::string& path,
                                 const std::string& bearer) {
  Poco::Net::HTTPClientSession session{address};
  session.setTimeout(Poco::Timespan{timeout_s, 0});
  Poco::Net::HTTPRequest request{"GET", path, "HTTP/1.1"};
  if (!bearer.empty())
    request.set("Authorization", "Bearer " + bearer);
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string body;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
  if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    throw Poco::IOException{address.toString() + path, body};
  Poco::JSON::Parser parser;
  return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
}

void add_runs(const Poco::JSON::Object::Ptr& entries, bool by_fingerprint,
              std::map<std::string, std::uint64_t>& into) {
  if (entries.isNull())
    return;
  for (const std::string& name : entries->getNames()) {
    const auto entry = entries->getObject(name);
    const auto key = by_fingerprint ? entry->optValue<std::string>("fingerprint", "") : name;
    into[key] += entry->getValue<std::uint64_t>("runs");
  }
}

} // namespace

audit::audit(std::vector<Poco::Net::SocketAddress> endpoints,
             std::vector<Poco::Net::SocketAddress> admins, std::string admin_key,
             std::int64_t service_tokens)
    : endpoints_{std::move(endpoints)}, admins_{std::move(admins)},
      admin_key_{std::move(admin_key)}, service_tokens_{service_tokens} {}

// The kinds whose table row says that nothing ran. An error kind the table does not know, such as
// a stand-in's own refusal, claims nothing.
void audit::note(const load_call& call, const call_outcome& outcome) {
  const auto kind = value_named<error_kind>(outcome.error);
  const bool told_not_run =
      outcome.end == call_end::refused && kind && answer_for(*kind).outcome == run_outcome::not_run;
  const std::scoped_lock lock{mutex_};
  calls_.push_back({call.fingerprint, call.key, call.non_idempotent, told_not_run});
  team_use& use = use_by_team_[call.team];
  use.all_answered = use.all_answered && outcome.end == call_end::answered;
  const bool counted =
      !call.key.empty() && !keys_counted_.insert(call.team + "\n" + call.key).second;
  if (outcome.end == call_end::answered && !counted)
    use.tokens += call.chat ? outcome.used : service_tokens_;
}

void audit::read_runs() {
  runs_by_fingerprint_.clear();
  runs_by_key_.clear();
  for (const Poco::Net::SocketAddress& endpoint : endpoints_) {
    const auto stats = get_json(endpoint, "/admin/stats", "");
    add_runs(stats->getObject("requests"), true, runs_by_fingerprint_);
    add_runs(stats->getObject("keys"), false, runs_by_key_);
  }
}

std::uint64_t audit::runs_of(const noted_call& call) const {
  const auto& runs = call.fingerprint.empty() ? runs_by_key_ : runs_by_fingerprint_;
  const auto found = runs.find(call.fingerprint.empty() ? call.key : call.fingerprint);
  return found == runs.end() ? 0 : found->second;
}

std::uint64_t audit::ran_twice() const {
  return static_cast<std::uint64_t>(std::ranges::count_if(
      calls_, [&](const noted_call& call) { return call.non_idempotent && runs_of(call) > 1; }));
}

std::uint64_t audit::ran_though_refused() const {
  return static_cast<std::uint64_t>(std::ranges::count_if(
      calls_, [&](const noted_call& call) { return call.told_not_run && runs_of(call) > 0; }));
}

std::optional<budget_state> audit::budget_of(const std::string& team) const {
  for (const Poco::Net::SocketAddress& admin : admins_) {
    try {
      const auto state = get_json(admin, "/admin/v1/budgets/" + team, admin_key_);
      return budget_state{state->optValue<std::int64_t>("bought", 0),
                          state->optValue<std::int64_t>("spent", 0),
                          state->optValue<std::int64_t>("reserved", 0)};
    } catch (const Poco::Exception&) {
      continue; // the next host may answer
    }
  }
  return std::nullopt;
}

} // namespace sedgechute::load
