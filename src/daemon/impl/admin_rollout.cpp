#include "daemon/impl/admin_api.hpp"

#include <Poco/JSON/Array.h>

#include <chrono>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

constexpr std::size_t askers = 16;
constexpr std::chrono::milliseconds ask_deadline{1000};

enum class rollout_state { in_force, behind, unreachable };

} // namespace

template <>
struct enum_names<rollout_state> {
  static constexpr auto entries =
      enum_table<rollout_state>({{rollout_state::in_force, "in_force"},
                                 {rollout_state::behind, "behind"},
                                 {rollout_state::unreachable, "unreachable"}});
};

namespace {

struct host_rollout {
  host_id host;
  std::string data_centre;
  rollout_state state{rollout_state::unreachable};
  std::uint64_t position{};
};

rollout_state state_at(std::uint64_t position, std::uint64_t revision) {
  return position >= revision ? rollout_state::in_force : rollout_state::behind;
}

// Hosts replay the log in order, so one that is past the revision's offset has it in force.
void ask(admin_context& host, std::uint64_t revision, host_rollout& about) {
  const auto stub = host.peers.stub_for(about.host);
  if (!stub)
    return;
  wire::records_request request;
  request.set_after(revision);
  request.set_most(0);
  wire::records_reply reply;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + ask_deadline);
  if (!stub->RecordsAfter(&context, request, &reply).ok())
    return;
  about.position = reply.replayed();
  about.state = state_at(about.position, revision);
}

std::vector<host_rollout> known_hosts(admin_context& host) {
  std::vector<host_rollout> hosts;
  for (const host_list_entry& listed : host.listed_hosts())
    hosts.push_back({host_id{listed.name}, listed.data_centre.str()});
  for (const member& one : host.members().members) {
    const auto same = [&](const host_rollout& known) { return known.host == one.who.host; };
    if (std::none_of(hosts.begin(), hosts.end(), same))
      hosts.push_back({one.who.host, one.data_centre.str()});
  }
  return hosts;
}

void ask_all(admin_context& host, std::uint64_t revision, std::vector<host_rollout>& hosts) {
  worker_pool pool{std::min(askers, hosts.size() + 1)};
  for (host_rollout& about : hosts) {
    if (about.host == host.self.host) {
      about.position = host.replayer.status().position;
      about.state = state_at(about.position, revision);
      continue;
    }
    (void)pool.submit([&host, revision, &about] { ask(host, revision, about); });
  }
  pool.stop();
}

/// `rollout/{kind}/{name}?revision=N`: where a published revision is in force.
class rollout_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const auto kind = value_named<document_kind>(segment(call, 1));
    if (!kind)
      throw error{error_kind::unknown_path, call.exchange.path, "a kind is contract or fleet"};
    const std::uint64_t revision =
        query_number(call, "revision", host.documents.revision_of(*kind, segment(call, 2)));
    std::vector<host_rollout> hosts = known_hosts(host);
    ask_all(host, revision, hosts);
    send_json(call, 200, describe(revision, hosts));
  }

 private:
  static Object describe(std::uint64_t revision, const std::vector<host_rollout>& hosts) {
    Poco::JSON::Array list;
    bool everywhere = true;
    for (const host_rollout& about : hosts) {
      everywhere = everywhere && about.state == rollout_state::in_force;
      Object entry;
      entry.set("host", about.host.str());
      entry.set("data_centre", about.data_centre);
      entry.set("state", std::string{name_of(about.state)});
      entry.set("revision", about.state == rollout_state::in_force ? revision : 0);
      entry.set("log_offset", about.position);
      entry.set("heard_ms", 0);
      list.add(entry);
    }
    Object body;
    body.set("revision", revision);
    body.set("everywhere", everywhere);
    body.set("hosts", list);
    return body;
  }
};

const registry<admin_api>::entry registered{"rollout",
                                            [] { return std::make_unique<rollout_api>(); }};

} // namespace
} // namespace sedgechute
