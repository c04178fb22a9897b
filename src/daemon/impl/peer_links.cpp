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

// A connection whose other end was lost track of somewhere in between looks idle for good. Pings
// while a call is open turn that silence into a failed call, and the next call connects anew.
std::shared_ptr<grpc::Channel> open_channel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, most_reconnect_wait_ms);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
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
  std::deque<wire::envelope> queue;
  bool in_flight{false};
};

peer_links::peer_links(incarnation self, time_ms call_timeout)
    : self_{std::move(self)}, call_timeout_{call_timeout} {}

peer_links::~peer_links() {
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
}

void peer_links::send(const incarnation& to, wire::envelope message) {
  std::shared_ptr<link> target;
  {
    const std::scoped_lock lock{mutex_};
    const auto known = links_.find(to.host);
    if (stopping_ || known == links_.end() || known->second->who != to)
      return;
    target = known->second;
    message.set_from_host(self_.host.str());
    message.set_from_number(self_.number);
    message.set_to_number(to.number);
    target->queue.push_back(std::move(message));
    if (target->queue.size() > longest_queue)
      target->queue.pop_front();
  }
  flush(target);
}

std::shared_ptr<wire::peer::Stub> peer_links::stub_for(const host_id& to) {
  const std::scoped_lock lock{mutex_};
  const auto known = links_.find(to);
  if (known == links_.end())
    return nullptr;
  link& target = *known->second;
  if (!target.stub)
    target.stub = wire::peer::NewStub(open_channel(target.address));
  return target.stub;
}

void peer_links::flush(const std::shared_ptr<link>& to) {
  const auto stub = stub_for(to->who.host);
  auto call = std::make_shared<pending_call>();
  {
    const std::scoped_lock lock{mutex_};
    if (!stub || stopping_ || to->in_flight || to->queue.empty())
      return;
    to->in_flight = true;
    ++calls_;
    while (!to->queue.empty() && call->batch.envelopes_size() < static_cast<int>(largest_batch)) {
      *call->batch.add_envelopes() = std::move(to->queue.front());
      to->queue.pop_front();
    }
  }
  call->context.set_deadline(std::chrono::system_clock::now() +
                             std::chrono::milliseconds{call_timeout_.count()});
  stub->async()->Deliver(&call->context, &call->batch, &call->reply,
                         [this, to, stub, call](const grpc::Status&) {
                           {
                             const std::scoped_lock lock{mutex_};
                             to->in_flight = false;
                           }
                           flush(to);
                           const std::scoped_lock lock{mutex_};
                           --calls_;
                           idle_.notify_all();
                         });
}

} // namespace sedgechute
