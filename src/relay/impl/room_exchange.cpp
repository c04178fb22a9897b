#include "relay/impl/room_exchange.hpp"

#include <algorithm>
#include <chrono>

namespace sedgechute {

namespace {

// Other hosts learn of one that has just started from their next read of the host list.
constexpr time_ms settling_time{6000};

} // namespace

std::optional<std::string> arbiter_of(endpoint_hash affinity, std::string_view data_centre,
                                      const std::vector<arbiter_host>& hosts) {
  const auto weight = [&](const arbiter_host& one) {
    return std::pair{one.data_centre == data_centre, mix_hash(affinity, one.hash)};
  };
  const auto at = std::ranges::max_element(hosts, {}, weight);
  return at == hosts.end() ? std::nullopt : std::optional{at->name};
}

room_exchange::room_exchange(endpoint_directory& endpoints, peer_channel& channel,
                             const room_exchange_options& options, const clock& time)
    : endpoints_{endpoints}, channel_{channel}, options_{options}, time_{time},
      self_{stable_hash(channel.self().name)}, started_{time.now()} {
  channel_.on(peer_message::endpoint_room, [this](std::string_view bytes) { return take(bytes); });
  update_hosts();
}

room_exchange::~room_exchange() {
  stop();
}

void room_exchange::start() {
  sender_ = std::thread{[this] { send_messages(); }};
}

void room_exchange::stop() noexcept {
  pauses_.stop();
  if (sender_.joinable())
    sender_.join();
}

void room_exchange::update_hosts() {
  const host_entry& self = channel_.self();
  std::vector<arbiter_host> next{{self.name, self.data_centre, self_}};
  for (const peer& other : channel_.peers())
    next.push_back({other.host, other.data_centre, stable_hash(other.host)});
  const std::scoped_lock lock{mutex_};
  hosts_ = std::move(next);
  ends_.clear();
  silent_.clear();
}

std::optional<std::string> room_exchange::find_arbiter(endpoint_hash affinity,
                                                       const data_centre_id& data_centre) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  const bool settled = now - started_ >= settling_time;
  std::vector<arbiter_host> able;
  for (const arbiter_host& one : hosts_) {
    const auto silent = silent_.find(one.name);
    const bool here = one.hash == self_;
    if ((here && (settled || hosts_.size() == 1)) ||
        (!here && (silent == silent_.end() || now >= silent->second.until)))
      able.push_back(one);
  }
  return arbiter_of(affinity, data_centre.str(), able);
}

std::optional<time_ms> room_exchange::ask(const placement& place) {
  const auto arbiter = find_arbiter(place.affinity, place.data_centre);
  if (!arbiter)
    return options_.denied_pause;
  const room_ask ask = endpoints_.ask_for(place, self_);
  return *arbiter == channel_.self().name ? endpoints_.arbitrate(ask) : ask_host(*arbiter, ask);
}

// The answers arrive on the channel's thread.
std::optional<time_ms> room_exchange::ask_host(const std::string& arbiter, const room_ask& ask) {
  const std::string question = encode(room_question{ask, channel_.self().name});
  const time_ms until = time_.now() + options_.patience;
  waiting_ask one;
  std::unique_lock lock{mutex_};
  asks_[ask.id] = &one;
  for (time_ms now = time_.now(); !one.answered && now < until; now = time_.now()) {
    lock.unlock();
    channel_.send(arbiter, peer_message::endpoint_room, question);
    lock.lock();
    const time_ms wait = std::min(options_.repeat_after, until - now);
    answered_.wait_for(lock, std::chrono::milliseconds{wait.count()}, [&] { return one.answered; });
  }
  asks_.erase(ask.id);
  if (one.answered) {
    silent_.erase(arbiter);
    return one.pause == time_ms{} ? std::nullopt : std::optional{one.pause};
  }
  note_silent(arbiter, time_.now());
  channel_.send(arbiter, peer_message::endpoint_room,
                encode(room_end{{{ask.endpoint, ask.id, false}}}));
  return options_.denied_pause;
}

void room_exchange::note_silent(const std::string& host, time_ms now) {
  const auto [at, first] = silent_.try_emplace(host, silence{now, time_ms{}});
  silence& of = at->second;
  if (now - of.since > options_.silent_after + options_.silent_pause)
    of = {now, time_ms{}};
  else if (now - of.since >= options_.silent_after && now >= of.until)
    of.until = now + options_.silent_pause;
}

void room_exchange::end(const placement& place, bool refused) {
  const auto arbiter = find_arbiter(place.affinity, place.data_centre);
  if (!arbiter)
    return;
  const ended_request ended{place.incarnation, place.grant, refused};
  if (*arbiter == channel_.self().name) {
    endpoints_.end_grant(ended);
    return;
  }
  room_end message;
  {
    const std::scoped_lock lock{mutex_};
    recent_ends& recent = ends_[*arbiter];
    recent.add(ended, time_.now());
    message.ended = recent.due(time_.now());
  }
  channel_.send(*arbiter, peer_message::endpoint_room, encode(message));
}

bool room_exchange::take(std::string_view bytes) {
  const auto message = decode_room_message(bytes);
  if (!message)
    return false;
  if (const auto* question = std::get_if<room_question>(&*message))
    answer(*question);
  else if (const auto* reply = std::get_if<room_answer>(&*message))
    take_answer(*reply);
  else if (const auto* ended = std::get_if<room_end>(&*message))
    for (const ended_request& one : ended->ended)
      endpoints_.end_grant(one);
  else if (const auto* renewal = std::get_if<room_renewal>(&*message))
    endpoints_.renew_grants(renewal->host, renewal->endpoint, renewal->ids);
  return true;
}

void room_exchange::answer(const room_question& question) {
  const auto refused = endpoints_.arbitrate(question.ask);
  channel_.send(question.asked_by, peer_message::endpoint_room,
                encode(room_answer{question.ask.id, refused.value_or(time_ms{})}));
}

void room_exchange::take_answer(const room_answer& answer) {
  const std::scoped_lock lock{mutex_};
  const auto at = asks_.find(answer.id);
  if (at == asks_.end())
    return; // late; the next renewal ends the grant
  at->second->answered = true;
  at->second->pause = answer.pause;
  answered_.notify_all();
}

void room_exchange::send_messages() {
  time_ms next_renewal = time_.now();
  while (pauses_.pause(options_.repeat_interval)) {
    repeat_ends();
    if (time_.now() < next_renewal)
      continue;
    next_renewal = time_.now() + options_.renew_interval;
    renew_grants();
  }
}

void room_exchange::repeat_ends() {
  std::map<std::string, room_end> due;
  {
    const std::scoped_lock lock{mutex_};
    for (auto& [arbiter, recent] : ends_)
      if (room_end message{recent.due(time_.now())}; !message.ended.empty())
        due[arbiter] = std::move(message);
  }
  for (const auto& [arbiter, message] : due)
    channel_.send(arbiter, peer_message::endpoint_room, encode(message));
}

// An arbiter drops the grants that a host does not name any more.
void room_exchange::renew_grants() {
  for (const open_grants& open : endpoints_.open_at_brittle()) {
    const auto arbiter = find_arbiter(open.affinity, open.data_centre);
    if (!arbiter)
      continue;
    if (*arbiter == channel_.self().name)
      endpoints_.renew_grants(self_, open.endpoint, open.ids);
    else
      channel_.send(*arbiter, peer_message::endpoint_room,
                    encode(room_renewal{self_, open.endpoint, open.ids}));
  }
}

} // namespace sedgechute
