#pragma once

#include "driver.hpp"

#include <memory>
#include <optional>

namespace sedgechute::bench {

/// \brief The product's policies, one instance of each per host, as a daemon would drive them.
class fleet_router final : public router {
 public:
  explicit fleet_router(const scenario& s);

  void arrived(driver& world, std::uint32_t request) override;
  void first_token(driver& world, const run& r) override;
  void completed(driver& world, const run& r) override;
  void failed(driver& world, const run& r, bool connected) override;
  void tick(driver& world) override;

  /// \returns when the last host first took the faulty replica out of its choice after the fault;
  /// before the fault if one never did
  [[nodiscard]] double out_of_choice_at_ms() const;
  /// \returns bytes and messages that each host sent per second, before framing
  [[nodiscard]] double bytes_per_s(const driver& world) const {
    return sent_bytes_ / world.now_ms() * 1000.0 / static_cast<double>(hosts_.size());
  }
  [[nodiscard]] double messages_per_s(const driver& world) const {
    return sent_messages_ / world.now_ms() * 1000.0 / static_cast<double>(hosts_.size());
  }
  /// \returns contents in quarantine that are not poison
  [[nodiscard]] std::size_t wrongly_quarantined(const driver& world) const;

 private:
  struct flight {
    work_grant grant;
    route_attempt attempt;
    std::vector<endpoint_id> avoid;
    std::uint64_t life{};
    std::uint32_t replica{};
    std::uint32_t run{};
    std::uint32_t attempts{};
    bool suspect{};
  };

  struct host {
    host(const scenario& s, std::uint32_t number);

    std::uint32_t number;
    data_centre_id here;
    incarnation self;
    random_source random;
    fair_queue queue;
    endpoint_table table;
    retry_budget budget;
    quarantine_table suspects;
    share_table shares;
    std::unordered_map<std::uint32_t, flight> flights; ///< by request
    std::vector<std::uint64_t> next_event;             ///< of each replica's cache events
    double out_since{-1.0};                            ///< of the faulty replica, after the fault
  };

  [[nodiscard]] static route_need need_of(const driver& world, std::uint32_t request,
                                          const host& at);
  void pump(driver& world, host& at);
  void start(driver& world, host& at, std::uint32_t request, flight&& going,
             const route_choice& choice, const route_need& need);
  void retry(driver& world, host& at, std::uint32_t request);
  void give_up(driver& world, host& at, std::uint32_t request, error_kind kind, bool streamed);
  void note_crash(driver& world, host& at, std::uint32_t replica, std::uint64_t life);
  void poll(driver& world, host& at);
  void exchange(driver& world, host& at);
  void tell_use(driver& world, host& at);
  void count_sent(const routing_message& message);
  void send_news(driver& world, host& from);

  scenario scenario_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::uint64_t ticks_{};
  double sent_bytes_{};
  double sent_messages_{};
};

} // namespace sedgechute::bench
