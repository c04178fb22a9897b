#include "daemon/impl/peer_links.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t longest_queue = 8192;
constexpr std::size_t largest_batch = 512;
constexpr int keepalive_ms = 5000;
constexpr int keepalive_timeout_ms = 2000;
constexpr int most_reconnect_wait_ms = 1000;
// Fits the smallest packet that every IPv6 path carries, with headers and a seal.
constexpr std::size_t largest_datagram = 1150;
constexpr std::size_t most_waiting_datagrams = 4096;
constexpr time_ms packing_time{5};
constexpr time_ms upkeep_interval{200};
constexpr time_ms connection_idle{15'000};
// Longer than gRPC tries to connect.
constexpr time_ms retirement{30'000};

// A connection whose other end was lost track of somewhere in between looks idle for good. Pings
// while a call is open turn that silence into a failed call, and the next call connects anew.
std::shared_ptr<grpc::Channel> open_channel(const std::string& address, const host_id& peer,
                                            const peer_credentials& credentials) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, most_reconnect_wait_ms);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return credentials.open_channel(address, peer, arguments);
}

struct pending_call {
  grpc::ClientContext context;
  wire::envelope_batch batch;
  wire::deliver_reply reply;
};

} // namespace

struct peer_links::link {
  incarnation who;
  std::string address;
  std::shared_ptr<wire::peer::Stub> stub; ///< made on first use: most hosts never talk
  time_ms stub_used;
  std::deque<wire::envelope> queue;
  bool in_flight{false};
  datagram_path path;
  wire::datagram filling;
  std::size_t filled{0};
  time_ms last_sent;
};

peer_links::peer_links(incarnation self, time_ms call_timeout, const peer_credentials& credentials)
    : self_{std::move(self)}, call_timeout_{call_timeout},
      credentials_{credentials}, seal_{datagram_purpose::control, self_.number, {}} {}

peer_links::~peer_links() {
  stop_datagrams();
  std::unique_lock lock{mutex_};
  stopping_ = true;
  idle_.wait(lock, [this] { return calls_ == 0; });
}

void peer_links::set_peers(const std::vector<peer_address>& peers) {
  const std::scoped_lock lock{mutex_};
  std::map<host_id, std::shared_ptr<link>> former;
  former.swap(links_);
  for (const peer_address& peer : peers) {
    const auto known = former.find(peer.who.host);
    const bool same = known != former.end() && known->second->who == peer.who &&
                      known->second->address == peer.address;
    if (same) {
      links_.emplace(peer.who.host, known->second);
      continue;
    }
    auto fresh = std::make_shared<link>();
    fresh->who = peer.who;
    fresh->address = peer.address;
    links_.emplace(peer.who.host, std::move(fresh));
  }
  for (const auto& [host, gone] : former)
    if (const auto kept = links_.find(host); kept == links_.end() || kept->second != gone)
      retire(gone->stub);
}

// Failure: the process ends with "assertion failed: prior > 0" of gRPC when a channel is destroyed
// while it connects to a process that is paused: the kernel accepts, nothing answers, and the host
// is declared dead meanwhile. So a channel is kept until an attempt to connect must have ended.
void peer_links::retire(std::shared_ptr<wire::peer::Stub> stub) {
  if (stub)
    retired_.push_back({std::move(stub), time_.now()});
}

std::vector<std::shared_ptr<wire::peer::Stub>> peer_links::take_retired() {
  std::vector<std::shared_ptr<wire::peer::Stub>> taken;
  while (!retired_.empty() && time_.now() - retired_.front().since > retirement) {
    taken.push_back(std::move(retired_.front().stub));
    retired_.pop_front();
  }
  return taken;
}

void peer_links::use_datagram_keys(std::vector<datagram_key> keys) {
  seal_.use_keys(std::move(keys));
}

void peer_links::use_datagrams(datagram_ports ports) {
  {
    const std::scoped_lock lock{mutex_};
    ports_ = std::move(ports);
    datagrams_ = true;
  }
  threads_.emplace_back([this] { send_loop(); });
  threads_.emplace_back([this] { receive_loop(); });
}

void peer_links::stop_datagrams() {
  {
    const std::scoped_lock lock{mutex_};
    datagrams_ = false;
  }
  wake_.notify_all();
  arrived_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void peer_links::send(const incarnation& to, wire::envelope message) {
  std::shared_ptr<link> target;
  std::vector<outgoing> out;
  bool packed = false;
  {
    const std::scoped_lock lock{mutex_};
    const auto known = links_.find(to.host);
    if (stopping_ || known == links_.end() || known->second->who != to)
      return;
    target = known->second;
    packed = pack(target, message, out);
    if (!packed) {
      message.set_from_host(self_.host.str());
      message.set_from_number(self_.number);
      message.set_to_number(to.number);
      target->queue.push_back(std::move(message));
      if (target->queue.size() > longest_queue)
        target->queue.pop_front();
    }
  }
  transmit(out);
  if (!packed)
    call(target);
}

// The first message after a pause leaves at once, since a caller may wait for its answer; those
// that follow within a few milliseconds share the next datagram.
bool peer_links::pack(const std::shared_ptr<link>& target, const wire::envelope& message,
                      std::vector<outgoing>& out) {
  link& to = *target;
  const std::size_t size = message.ByteSizeLong() + 4;
  const time_ms now = time_.now();
  if (!datagrams_ || size > largest_datagram || !to.path.carries(now))
    return false;
  if (to.filled + size > largest_datagram)
    out.push_back(close_datagram(to, true));
  *to.filling.add_envelopes() = message;
  to.filled += size;
  if (now - to.last_sent >= packing_time) {
    out.push_back(close_datagram(to, true));
  } else if (to.filled == size) {
    filling_.push_back(target);
    wake_.notify_one();
  }
  return true;
}

peer_links::outgoing peer_links::close_datagram(link& to, bool acknowledged) {
  const time_ms now = time_.now();
  wire::datagram& datagram = to.filling;
  datagram.set_from_host(self_.host.str());
  datagram.set_from_number(self_.number);
  datagram.set_to_number(to.who.number);
  if (acknowledged)
    datagram.set_number(to.path.send(now));
  datagram.set_heard(to.path.acknowledge());
  outgoing made{to.address, control_mark + datagram.SerializeAsString()};
  datagram = wire::datagram{}; // `Clear` would keep the memory, for each of hundreds of peers
  to.filled = 0;
  to.last_sent = now;
  return made;
}

void peer_links::transmit(const std::vector<outgoing>& out) {
  for (const outgoing& one : out)
    ports_.send(one.address, seal_.seal(one.datagram));
}

void peer_links::send_loop() {
  std::unique_lock lock{mutex_};
  time_ms last_upkeep;
  while (datagrams_) {
    wake_.wait_for(lock, std::chrono::milliseconds{upkeep_interval.count()},
                   [this] { return !filling_.empty() || !datagrams_; });
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds{packing_time.count()});
    lock.lock();
    std::vector<outgoing> out;
    std::vector<std::shared_ptr<wire::peer::Stub>> retired;
    flush(out);
    if (time_.now() - last_upkeep >= upkeep_interval) {
      last_upkeep = time_.now();
      for (const auto& [host, peer] : links_)
        upkeep(*peer, out);
      retired = take_retired();
    }
    lock.unlock();
    transmit(out);
    retired.clear();
    lock.lock();
  }
}

void peer_links::flush(std::vector<outgoing>& out) {
  for (const std::shared_ptr<link>& target : filling_)
    if (target->filled > 0)
      out.push_back(close_datagram(*target, true));
  filling_.clear();
}

// A connection that nobody uses holds 64 KB on both ends, and there are hundreds of peers.
void peer_links::upkeep(link& peer, std::vector<outgoing>& out) {
  const time_ms now = time_.now();
  if (peer.path.probe_due(now))
    out.push_back(close_datagram(peer, true));
  else if (peer.path.acknowledgement_due(now))
    out.push_back(close_datagram(peer, false));
  const bool idle = peer.stub && !peer.in_flight && peer.queue.empty() &&
                    peer.stub.use_count() == 1 && now - peer.stub_used > connection_idle;
  if (idle)
    retire(std::exchange(peer.stub, nullptr));
}

// Handlers may wait for a lock; the failure detector reads the same socket and must not wait with
// them, or its members would be suspected. So datagrams queue here.
void peer_links::on_datagram(std::string_view datagram) {
  const std::scoped_lock lock{mutex_};
  if (!datagrams_ || inbox_.size() >= most_waiting_datagrams)
    return;
  inbox_.emplace_back(datagram);
  arrived_.notify_one();
}

void peer_links::receive_loop() {
  std::unique_lock lock{mutex_};
  while (datagrams_) {
    arrived_.wait(lock, [this] { return !inbox_.empty() || !datagrams_; });
    std::deque<std::string> arrived;
    arrived.swap(inbox_);
    lock.unlock();
    for (const std::string& datagram : arrived)
      receive(datagram);
    lock.lock();
  }
}

void peer_links::receive(const std::string& arrived) {
  const opened_datagram opened = seal_.open(arrived);
  if (opened.verdict != datagram_verdict::opened)
    return;
  const std::string_view datagram = opened.payload;
  wire::datagram parsed;
  const bool whole =
      datagram.size() > 1 && datagram.front() == control_mark &&
      parsed.ParseFromArray(datagram.data() + 1, static_cast<int>(datagram.size() - 1));
  // One that is meant for an earlier life of this host speaks of what that life held.
  if (!whole || parsed.to_number() != self_.number)
    return;
  {
    const std::scoped_lock lock{mutex_};
    const auto known = links_.find(host_id{parsed.from_host()});
    if (known != links_.end() && known->second->who.number == parsed.from_number())
      known->second->path.hear(parsed.number(), parsed.heard(), parsed.envelopes().empty(),
                               time_.now());
  }
  for (wire::envelope& message : *parsed.mutable_envelopes()) {
    message.set_from_host(parsed.from_host());
    message.set_from_number(parsed.from_number());
    message.set_to_number(parsed.to_number());
    ports_.on_envelope(message);
  }
}

std::shared_ptr<wire::peer::Stub> peer_links::stub_for(const host_id& to) {
  const std::scoped_lock lock{mutex_};
  const auto known = links_.find(to);
  if (known == links_.end())
    return nullptr;
  link& target = *known->second;
  if (!target.stub)
    target.stub = wire::peer::NewStub(open_channel(target.address, to, credentials_));
  target.stub_used = time_.now();
  return target.stub;
}

void peer_links::call(const std::shared_ptr<link>& to) {
  const auto stub = stub_for(to->who.host);
  auto pending = std::make_shared<pending_call>();
  {
    const std::scoped_lock lock{mutex_};
    if (!stub || stopping_ || to->in_flight || to->queue.empty())
      return;
    to->in_flight = true;
    ++calls_;
    while (!to->queue.empty() &&
           pending->batch.envelopes_size() < static_cast<int>(largest_batch)) {
      *pending->batch.add_envelopes() = std::move(to->queue.front());
      to->queue.pop_front();
    }
  }
  pending->context.set_deadline(std::chrono::system_clock::now() +
                                std::chrono::milliseconds{call_timeout_.count()});
  stub->async()->Deliver(&pending->context, &pending->batch, &pending->reply,
                         [this, to, stub, pending](const grpc::Status&) {
                           {
                             const std::scoped_lock lock{mutex_};
                             to->in_flight = false;
                           }
                           call(to);
                           const std::scoped_lock lock{mutex_};
                           --calls_;
                           idle_.notify_all();
                         });
}

} // namespace sedgechute
