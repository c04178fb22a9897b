#include "relay/impl/stream_build_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

record_host record_host_of(const std::string& name, const std::string& data_centre) {
  return {name, data_centre, stable_hash(name)};
}

bool same_hosts(const std::vector<record_host>& a, const std::vector<record_host>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& one, const auto& other) { return one.name == other.name; });
}

} // namespace

stream_build_exchange::stream_build_exchange(peer_channel& channel,
                                             const stream_build_exchange_options& options,
                                             const clock& time)
    : channel_{channel}, options_{options}, time_{time}, hosts_{record_host_of(
                                                             channel.self().name,
                                                             channel.self().data_centre)} {
  channel_.on(peer_message::stream_builds, [this](std::string_view bytes) { return take(bytes); });
}

stream_build_exchange::~stream_build_exchange() {
  stop();
}

void stream_build_exchange::start() {
  repeater_ = std::thread{[this] { repeat_records(); }};
}

void stream_build_exchange::stop() noexcept {
  pauses_.stop();
  if (repeater_.joinable())
    repeater_.join();
}

void stream_build_exchange::update_hosts() {
  std::vector<record_host> next{record_host_of(channel_.self().name, channel_.self().data_centre)};
  for (const peer& other : channel_.peers())
    next.push_back(record_host_of(other.host, other.data_centre));
  const std::scoped_lock lock{mutex_};
  if (same_hosts(next, hosts_))
    return;
  earlier_hosts_ = std::exchange(hosts_, std::move(next));
  earlier_until_ = time_.now() + options_.earlier_hosts_kept;
}

void stream_build_exchange::record(const stream_record& begun) {
  std::vector<std::string> holders;
  {
    const std::scoped_lock lock{mutex_};
    table_.note(begun, time_.now());
    holders = record_holders(begun.stream, hosts_, options_.holders);
    to_repeat_.push_back(begun);
  }
  const std::vector<std::string> messages = encode_records({begun});
  for (const std::string& holder : holders)
    for (const std::string& message : messages)
      if (holder != channel_.self().name)
        channel_.send(holder, peer_message::stream_builds, message);
}

std::vector<std::string> stream_build_exchange::holders_to_ask(stream_key stream,
                                                               time_ms now) const {
  const auto earlier = now < earlier_until_ ? std::span<const record_host>{earlier_hosts_}
                                            : std::span<const record_host>{};
  std::vector<std::string> holders = possible_holders(stream, hosts_, earlier, options_.holders);
  std::erase(holders, channel_.self().name);
  return holders;
}

// The answers arrive on the channel's thread.
stream_build stream_build_exchange::find(stream_key stream) {
  std::unique_lock lock{mutex_};
  const stream_build here = table_.find(stream, time_.now());
  if (here.knowledge != stream_build::state::unknown)
    return here;
  build_lookup lookup{holders_to_ask(stream, time_.now()), options_.lookup, time_.now()};
  const std::uint64_t id = random_();
  lookups_[id] = &lookup;
  std::optional<stream_build> found;
  while (!(found = lookup.result(time_.now()))) {
    const std::vector<std::size_t> due = lookup.due(time_.now());
    lock.unlock();
    for (const std::size_t holder : due)
      channel_.send(
          lookup.holders()[holder], peer_message::stream_builds,
          encode(build_query{id, static_cast<std::uint8_t>(holder), stream, channel_.self().name}));
    lock.lock();
    const time_ms wait = lookup.next() - time_.now();
    if (!lookup.result(time_.now()) && wait > time_ms{})
      answered_.wait_for(lock, std::chrono::milliseconds{wait.count()});
  }
  lookups_.erase(id);
  return *found;
}

bool stream_build_exchange::take(std::string_view bytes) {
  const auto message = decode_stream_build_message(bytes);
  if (!message)
    return false;
  if (const auto* records = std::get_if<std::vector<stream_record>>(&*message))
    take_records(*records);
  else if (const auto* query = std::get_if<build_query>(&*message))
    answer(*query);
  else
    take_answer(std::get<build_answer>(*message));
  return true;
}

void stream_build_exchange::take_records(const std::vector<stream_record>& records) {
  const std::scoped_lock lock{mutex_};
  for (const stream_record& one : records)
    table_.note(one, time_.now());
}

void stream_build_exchange::answer(const build_query& query) {
  stream_build known;
  {
    const std::scoped_lock lock{mutex_};
    known = table_.find(query.stream, time_.now());
  }
  channel_.send(query.asked_by, peer_message::stream_builds,
                encode(build_answer{query.id, query.holder, known}));
}

void stream_build_exchange::take_answer(const build_answer& answer) {
  const std::scoped_lock lock{mutex_};
  const auto at = lookups_.find(answer.id);
  if (at == lookups_.end())
    return; // late
  at->second->take(answer.holder, answer.built_by);
  answered_.notify_all();
}

void stream_build_exchange::send(const std::map<std::string, std::vector<stream_record>>& by_host) {
  for (const auto& [host, records] : by_host)
    for (const std::string& message : encode_records(records))
      channel_.send(host, peer_message::stream_builds, message);
}

// Datagrams are lost at times.
void stream_build_exchange::repeat_records() {
  time_ms next_expiry = time_.now() + options_.expire_interval;
  while (pauses_.pause(options_.repeat_interval)) {
    std::map<std::string, std::vector<stream_record>> by_host;
    {
      const std::scoped_lock lock{mutex_};
      for (const stream_record& one : std::exchange(to_repeat_, {}))
        for (const std::string& holder : record_holders(one.stream, hosts_, options_.holders))
          if (holder != channel_.self().name)
            by_host[holder].push_back(one);
      if (time_.now() >= next_expiry) {
        next_expiry = time_.now() + options_.expire_interval;
        table_.expire(time_.now());
      }
    }
    send(by_host);
  }
}

void stream_build_exchange::hand_over() {
  std::map<std::string, std::vector<stream_record>> by_host;
  {
    const std::scoped_lock lock{mutex_};
    std::vector<record_host> others = hosts_;
    std::erase_if(others, [&](const auto& one) { return one.name == channel_.self().name; });
    for (const stream_record& one : table_.records(time_.now()))
      for (const std::string& holder : record_holders(one.stream, others, options_.holders))
        by_host[holder].push_back(one);
  }
  send(by_host);
}

std::size_t stream_build_exchange::records() const {
  const std::scoped_lock lock{mutex_};
  return table_.size();
}

} // namespace sedgechute
