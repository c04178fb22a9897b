#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

constexpr part_fingerprint guilty = 20;

class no_hosts final : public host_list {
 public:
  host_listing hosts() override { return {}; }
  void announce(const host_entry& /*self*/) override {}
};

/// A log with one record, that of a part with four deaths.
class scripted_log final : public quarantine_log {
 public:
  quarantine_page newest() override { return page(); }
  quarantine_page read(std::uint64_t /*from*/) override { return page(); }
  void append(const quarantine_news& /*news*/, const std::vector<part_record>& parts) override {
    const std::scoped_lock lock{mutex_};
    written_.insert(written_.end(), parts.begin(), parts.end());
    changed_.notify_all();
  }
  void remove(const std::vector<content_fingerprint>& /*contents*/,
              const std::vector<part_fingerprint>& /*parts*/) override {}

  /// \returns the first record that is written; none within some seconds
  std::vector<part_record> first_written() {
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, std::chrono::seconds{10}, [this] { return !written_.empty(); });
    return written_.empty() ? std::vector<part_record>{} : std::vector{written_.front()};
  }

 private:
  static quarantine_page page() {
    quarantine_page all;
    all.parts = {{guilty, {{1, 1.0, 9_s}, {2, 1.0, 8_s}, {3, 1.0, 7_s}, {4, 1.0, 6_s}}}};
    all.end = 1;
    return all;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<part_record> written_;
};

} // namespace

// Guards against a host that has just started and replaces what the fleet has recorded of a part
// with the less that it knows.
TEST_CASE("a host that starts keeps the deaths of a part that are on record") {
  structured_log log{{.host = "quarantine-records-test", .file = "/dev/null"}};
  metrics figures{"quarantine-records-test"};
  entry_faults faults{log, figures};
  const steady_clock time;
  fleet_clock clocks{time};
  no_hosts hosts;
  peer_channel channel{{"h0", "127.0.0.1:0", "dc0"}, hosts, clocks, {}, faults, log};
  content_guard guard{{}, log};
  for (endpoint_hash i = 11; i <= 12; ++i) {
    const endpoint_id endpoint{"e" + std::to_string(i)};
    guard.note_end({i, endpoint, i, time.now(), {guilty}}, send_outcome::failed, time.now());
    guard.note_lost(endpoint, i, loss_source::refused, time.now());
  }
  scripted_log records;
  quarantine_exchange exchange{guard, channel, records, {}, time, faults};
  exchange.start();
  const auto written = records.first_written();
  exchange.stop();
  REQUIRE(written.size() == 1);
  CHECK(written.front().deaths.size() == 6);
}
