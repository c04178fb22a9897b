#include "daemon/impl/log_replayer.hpp"

#include "daemon/impl/checkpoint_bytes.hpp"
#include "wire/wire.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t records_per_read = 1000;
constexpr std::uint32_t records_per_relay = 1000;
constexpr std::size_t checkpoint_part_bytes = 192 * 1024;
constexpr int part_attempts = 5;
constexpr std::chrono::seconds peer_deadline{2};
constexpr std::chrono::seconds state_deadline{30};
constexpr time_ms after_failure{200};

grpc::ClientContext& with_deadline(grpc::ClientContext& context, std::chrono::seconds span) {
  context.set_deadline(std::chrono::system_clock::now() + span);
  return context;
}

} // namespace

log_replayer::log_replayer(incarnation self, std::unique_ptr<log_client> log,
                           replicated_state& state, peer_links& peers, const clock& time,
                           const replay_options& options)
    : self_{std::move(self)}, log_{std::move(log)}, state_{state}, peers_{peers}, time_{time},
      options_{options}, random_{self_.number} {}

log_replayer::~log_replayer() {
  stop();
}

void log_replayer::start() {
  // Hosts that start together would otherwise all write a checkpoint at the same moment.
  const std::int64_t half = options_.retention.count() / 2;
  next_mark_ =
      time_.now() + time_ms{half / 2} +
      time_ms{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half / 2 + 1)))};
  thread_ = std::thread{[this] { run(); }};
}

void log_replayer::stop() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

void log_replayer::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  others_.clear();
  for (const member& one : view.members)
    if (one.who.host != self_.host)
      others_.push_back(one.who.host);
}

replay_status log_replayer::status() const {
  const std::scoped_lock lock{mutex_};
  replay_status now = status_;
  now.position = state_.position();
  return now;
}

void log_replayer::run() {
  while (!pause(time_ms{0})) {
    try {
      read_log();
      mark_when_due();
    } catch (const error&) {
      {
        const std::scoped_lock lock{mutex_};
        status_.log_reachable = false;
      }
      relay_from_peers();
      (void)pause(options_.relay_interval);
    }
  }
}

bool log_replayer::pause(time_ms span) {
  std::unique_lock lock{mutex_};
  wake_.wait_for(lock, std::chrono::milliseconds{span.count()}, [this] { return stopping_; });
  return stopping_;
}

void log_replayer::read_log() {
  next_ = std::max(next_, state_.position() + 1);
  const log_page page = log_->read(next_, records_per_read, options_.poll);
  if (page.trimmed)
    return recover_from_gap(page.first);
  for (const log_entry& entry : page.entries)
    on_entry(entry);
  next_ = std::max(next_, page.next);
  const std::scoped_lock lock{mutex_};
  status_.log_reachable = true;
  status_.caught_up = status_.caught_up || page.entries.size() < records_per_read;
}

void log_replayer::on_entry(const log_entry& entry) {
  wire::log_record record;
  const bool parsed = record.ParseFromString(entry.data);
  if (parsed && record.has_part())
    return on_part(record.part());
  state_.apply(entry.offset, entry.data);
  if (parsed && record.has_mark())
    on_mark(entry.offset, record.mark());
}

// Every host takes the digest at the mark, so that whoever reads the checkpoint later can tell
// whether its writer's replay agrees with its own.
void log_replayer::on_mark(std::uint64_t offset, const wire::checkpoint_mark& mark) {
  digest_at_mark_[mark.id()] = state_.digest();
  if (digest_at_mark_.size() > 8)
    digest_at_mark_.erase(digest_at_mark_.begin());
  next_mark_ = time_.now() + time_ms{options_.retention.count() / 2} +
               time_ms{static_cast<std::int64_t>(random_.below(10000))};
  if (mark.id() == own_mark_)
    write_checkpoint(mark.id(), offset);
}

void log_replayer::mark_when_due() {
  if (time_.now() < next_mark_ || state_.position() == 0)
    return;
  next_mark_ = time_.now() + time_ms{options_.retention.count() / 8};
  own_mark_ = absl::StrFormat("%s-%016x", self_.host.str(), random_());
  wire::log_record record;
  record.mutable_mark()->set_id(own_mark_);
  const std::string bytes = record.SerializeAsString();
  log_->append(std::span{&bytes, 1});
}

void log_replayer::write_checkpoint(const std::string& id, std::uint64_t offset) {
  const std::string bytes = compress(state_.snapshot());
  const std::size_t count = (bytes.size() + checkpoint_part_bytes - 1) / checkpoint_part_bytes;
  for (std::size_t i = 0; i < count; ++i) {
    wire::log_record record;
    wire::checkpoint_part& part = *record.mutable_part();
    part.set_id(id);
    part.set_offset(offset);
    part.set_digest(digest_at_mark_[id]);
    part.set_index(static_cast<std::uint32_t>(i));
    part.set_count(static_cast<std::uint32_t>(count));
    part.set_data(bytes.substr(i * checkpoint_part_bytes, checkpoint_part_bytes));
    const std::string stored = record.SerializeAsString();
    for (int attempt = 1;; ++attempt) {
      try {
        log_->append(std::span{&stored, 1});
        break;
      } catch (const error&) {
        // A part that is there twice does no harm; a checkpoint that misses one is never used.
        if (attempt == part_attempts || pause(after_failure))
          return;
      }
    }
  }
}

void log_replayer::on_part(const wire::checkpoint_part& part) {
  parts& arriving = arriving_[part.id()];
  arriving.offset = part.offset();
  arriving.digest = part.digest();
  arriving.count = part.count();
  arriving.data[part.index()] = ""; // only counted here: the state is already this far
  const auto known = digest_at_mark_.find(part.id());
  const bool contradicts = known != digest_at_mark_.end() && known->second != part.digest();
  const std::scoped_lock lock{mutex_};
  status_.diverged = status_.diverged || contradicts;
  if (!arriving.whole())
    return;
  ++status_.checkpoints;
  arriving_.erase(part.id());
}

std::vector<host_id> log_replayer::peers_in_random_order() {
  std::vector<host_id> order;
  {
    const std::scoped_lock lock{mutex_};
    order = others_;
  }
  std::shuffle(order.begin(), order.end(), random_);
  return order;
}

void log_replayer::relay_from_peers() {
  constexpr std::size_t most_asked = 3;
  std::size_t asked = 0;
  for (const host_id& peer : peers_in_random_order()) {
    if (++asked > most_asked || relay_from(peer))
      return;
  }
}

/// \returns whether the peer answered and had all that this host asked for.
bool log_replayer::relay_from(const host_id& peer) {
  const auto stub = peers_.stub_for(peer);
  if (!stub)
    return false;
  wire::records_request request;
  wire::records_reply reply;
  do {
    grpc::ClientContext context;
    request.set_after(state_.position());
    request.set_most(records_per_relay);
    if (!stub->RecordsAfter(&with_deadline(context, peer_deadline), request, &reply).ok())
      return false;
    if (reply.replayed() == 0)
      return false; // it knows no more than a host that just started
    if (!reply.known() || state_.position() == 0)
      return reply.replayed() > state_.position() && fetch_state_from(peer);
    for (const wire::relayed_record& record : reply.records())
      state_.apply(record.offset(), record.data());
    const std::scoped_lock lock{mutex_};
    status_.relayed += static_cast<std::uint64_t>(reply.records_size());
  } while (reply.records_size() == static_cast<int>(records_per_relay));
  const std::scoped_lock lock{mutex_};
  status_.caught_up = status_.caught_up || state_.position() >= reply.replayed();
  return true;
}

bool log_replayer::fetch_state_from(const host_id& peer) {
  const auto stub = peers_.stub_for(peer);
  if (!stub)
    return false;
  grpc::ClientContext context;
  const auto reader = stub->State(&with_deadline(context, state_deadline), wire::state_request{});
  std::string bytes;
  wire::state_part part;
  while (reader->Read(&part))
    bytes += part.data();
  if (!reader->Finish().ok())
    return false;
  try {
    state_.restore(decompress(bytes));
    return true;
  } catch (const error&) {
    return false; // damaged, or this host knows more already
  }
}

// Records between this host's position and `first` are gone from the log. Applying what follows
// without them would make this host differ from the others, so it goes on from a whole state only.
void log_replayer::recover_from_gap(std::uint64_t first) {
  {
    const std::scoped_lock lock{mutex_};
    status_.caught_up = false;
  }
  for (const host_id& peer : peers_in_random_order())
    if (fetch_state_from(peer) && state_.position() + 1 >= first)
      return;
  const auto checkpoint = last_checkpoint_in_log(first);
  if (!checkpoint) {
    (void)pause(after_failure);
    return;
  }
  std::string bytes;
  for (const auto& [index, data] : checkpoint->data)
    bytes += data;
  state_.restore(decompress(bytes));
  next_ = state_.position() + 1;
}

std::optional<log_replayer::parts> log_replayer::last_checkpoint_in_log(std::uint64_t first) {
  std::map<std::string, parts> found;
  std::optional<parts> last;
  std::uint64_t next = first;
  for (;;) {
    const log_page page = log_->read(next, records_per_read, time_ms{0});
    if (page.trimmed || page.entries.empty())
      return last;
    for (const log_entry& entry : page.entries) {
      wire::log_record record;
      if (!record.ParseFromString(entry.data) || !record.has_part())
        continue;
      const wire::checkpoint_part& part = record.part();
      // What follows the checkpoint's place must still be in the log, or there is a gap again.
      if (part.offset() + 1 < first)
        continue;
      parts& gathered = found[part.id()];
      gathered.offset = part.offset();
      gathered.digest = part.digest();
      gathered.count = part.count();
      gathered.data[part.index()] = part.data();
      if (!gathered.whole())
        continue;
      last = std::move(gathered);
      found.erase(part.id());
    }
    next = page.next;
  }
}

} // namespace sedgechute
