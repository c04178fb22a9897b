#include "daemon/impl/record_appender.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

// Short enough not to be felt by an operator who publishes, long enough to share an append.
constexpr std::chrono::milliseconds batch_interval{25};
constexpr std::size_t most_pending = 20000;
constexpr std::size_t largest_append = 256;
constexpr std::size_t appenders_per_data_centre = 2;

void add_bounded(std::vector<std::string>& to, std::vector<std::string> records) {
  for (std::string& record : records)
    if (to.size() < most_pending)
      to.push_back(std::move(record));
}

} // namespace

record_appender::record_appender(incarnation self, data_centre_id here,
                                 std::unique_ptr<log_client> log, peer_links& peers)
    : self_{std::move(self)}, here_{std::move(here)}, log_{std::move(log)}, peers_{peers},
      appenders_{self_} {}

record_appender::~record_appender() {
  stop();
}

void record_appender::start() {
  thread_ = std::thread{[this] { run(); }};
}

void record_appender::stop() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

void record_appender::append(std::string record) {
  {
    const std::scoped_lock lock{mutex_};
    add_bounded(pending_.own, {std::move(record)});
  }
  wake_.notify_all();
}

void record_appender::append_for_peer(const incarnation& from, std::vector<std::string> records) {
  {
    const std::scoped_lock lock{mutex_};
    if (std::find(pending_.peers.begin(), pending_.peers.end(), from) == pending_.peers.end())
      pending_.peers.push_back(from);
    add_bounded(pending_.from_peers, std::move(records));
  }
  wake_.notify_all();
}

void record_appender::on_append_failed(const incarnation& from) {
  const std::scoped_lock lock{mutex_};
  if (preferred_ < appenders_.size() && appenders_[preferred_] == from)
    use_next_appender();
}

void record_appender::use_next_appender() {
  preferred_ = appenders_.empty() ? 0 : (preferred_ + 1) % appenders_.size();
}

void record_appender::on_view(const membership_view& view) {
  std::vector<host_id> hosts;
  for (const member& one : view.members)
    if (one.data_centre == here_ && !one.leaving)
      hosts.push_back(one.who.host);
  const auto chosen = rendezvous("appender", hosts, appenders_per_data_centre);
  std::vector<incarnation> appenders;
  for (const host_id& host : chosen)
    for (const member& one : view.members)
      if (one.who.host == host)
        appenders.push_back(one.who);
  const std::scoped_lock lock{mutex_};
  appenders_ = std::move(appenders);
  preferred_ = 0;
}

void record_appender::run() {
  for (;;) {
    batch work;
    {
      std::unique_lock lock{mutex_};
      wake_.wait(lock, [this] {
        return stopping_ || !pending_.own.empty() || !pending_.from_peers.empty();
      });
      if (pending_.own.empty() && pending_.from_peers.empty())
        return;
      if (!stopping_) {
        lock.unlock();
        std::this_thread::sleep_for(batch_interval);
        lock.lock();
      }
      work = std::exchange(pending_, {});
    }
    flush(std::move(work));
  }
}

void record_appender::flush(batch work) {
  incarnation appender = self_;
  {
    const std::scoped_lock lock{mutex_};
    if (preferred_ < appenders_.size())
      appender = appenders_[preferred_];
  }
  // Records from peers are appended here even when this host is no longer the appender: handing
  // them on could send them in a circle while views differ.
  std::vector<std::string> here = std::move(work.from_peers);
  if (appender == self_)
    std::move(work.own.begin(), work.own.end(), std::back_inserter(here));
  else
    hand_over(std::move(work.own), appender);
  if (append_here(here) || here.empty())
    return;
  // This host may be cut off from the log while its neighbour is not.
  for (const incarnation& peer : work.peers) {
    wire::envelope message;
    message.mutable_append_failed();
    peers_.send(peer, std::move(message));
  }
  const std::scoped_lock lock{mutex_};
  use_next_appender();
}

bool record_appender::append_here(const std::vector<std::string>& records) {
  bool all = true;
  for (std::size_t at = 0; at < records.size(); at += largest_append) {
    const std::size_t count = std::min(largest_append, records.size() - at);
    try {
      log_->append(std::span{records}.subspan(at, count));
      ++appends_;
    } catch (const error&) {
      // The records may be in the log or not; their writers find out by reading and repeat them.
      ++failures_;
      all = false;
    }
  }
  return all;
}

void record_appender::hand_over(std::vector<std::string> records, const incarnation& to) {
  if (records.empty())
    return;
  wire::envelope message;
  for (std::string& record : records)
    message.mutable_append()->add_records(std::move(record));
  peers_.send(to, std::move(message));
}

} // namespace sedgechute
