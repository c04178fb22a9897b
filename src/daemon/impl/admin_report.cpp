#include "daemon/impl/admin_api.hpp"
#include "daemon/impl/burn_rows.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace sedgechute {

namespace {

constexpr std::size_t askers = 16;
constexpr std::chrono::milliseconds ask_deadline{1500};

/// `report/burn?team=T&format=html|json|table`: error budgets over all hosts that answer.
class report_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    if (segment(call, 1) != "burn")
      throw error{error_kind::unknown_path, call.exchange.path, "the report is burn"};
    const time_ms now = wall_time();
    std::vector<burn_row> rows = host.burn.rows(now);
    for (const std::vector<burn_row>& others : ask_peers(host))
      merge(rows, others);
    keep_team(call, rows);
    const auto format = call.query.find("format");
    if (format != call.query.end() && format->second == "html")
      return send(call, "text/html; charset=utf-8", burn_html(std::move(rows), now));
    if (format != call.query.end() && format->second == "table")
      return send(call, "text/plain; charset=utf-8", burn_table(std::move(rows)));
    send(call, "application/json", burn_json(rows, now));
  }

 private:
  static void keep_team(const admin_call& call, std::vector<burn_row>& rows) {
    const auto team = call.query.find("team");
    if (team == call.query.end())
      return;
    std::erase_if(rows, [&](const burn_row& row) { return row.team != team->second; });
  }

  static std::vector<std::vector<burn_row>> ask_peers(admin_context& host) {
    std::mutex mutex;
    std::vector<std::vector<burn_row>> all;
    worker_pool pool{askers};
    for (const member& one : host.members().members) {
      if (one.who == host.self)
        continue;
      (void)pool.submit([&, name = one.who.host] {
        const auto stub = host.peers.stub_for(name);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + ask_deadline);
        wire::burn_reply reply;
        if (!stub || !stub->Burn(&context, wire::burn_request{}, &reply).ok())
          return;
        const std::scoped_lock lock{mutex};
        all.push_back(from_wire(reply));
      });
    }
    pool.stop();
    return all;
  }

  static void send(const admin_call& call, const std::string& type, const std::string& body) {
    auto& response = call.exchange.response;
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
  }
};

const registry<admin_api>::entry registered{"report",
                                            [] { return std::make_unique<report_api>(); }};

} // namespace
} // namespace sedgechute
