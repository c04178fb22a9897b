#include "daemon/impl/log_replayer.hpp"

#include "daemon/impl/checkpoint_bytes.hpp"
#include "wire/wire.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t records_per_read = 256;
constexpr std::uint32_t records_per_relay = 1000;
constexpr std::size_t parts_per_append = 8;
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
      write_next_parts();
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
  const time_ms wait = writing_ ? time_ms{0} : options_.poll;
  const log_page page = log_->read(next_, records_per_read, wait);
  if (page.trimmed || state_.incomplete())
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
    on_mark(record.mark());
}

// Every host takes the digest at the mark, so that whoever reads the checkpoint later can tell
// whether its writer's replay agrees with its own.
void log_replayer::on_mark(const wire::checkpoint_mark& mark) {
  digest_at_mark_[mark.id()] = state_.digest();
  if (digest_at_mark_.size() > 8)
    digest_at_mark_.erase(digest_at_mark_.begin());
  next_mark_ = time_.now() + time_ms{options_.retention.count() / 2} +
               time_ms{static_cast<std::int64_t>(random_.below(10000))};
  if (mark.id() == own_mark_)
    writing_ = unfinished_checkpoint{mark.id(), state_.cut(), 0, {}, 0};
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

// A few parts between two reads, so that records are replayed while a checkpoint is written and no
// more of it is in memory than is being sent.
void log_replayer::write_next_parts() {
  if (!writing_)
    return;
  try {
    while (writing_->unsent.size() < parts_per_append && !writing_->cut->finished())
      writing_->unsent.push_back(next_part_record());
    log_->append(writing_->unsent);
    writing_->unsent.clear();
    writing_->failures = 0;
    if (writing_->cut->finished())
      writing_.reset();
  } catch (const error&) {
    // A part that is there twice does no harm; a checkpoint that misses one is never used.
    if (++writing_->failures == part_attempts || pause(after_failure))
      writing_.reset();
  }
}

std::string log_replayer::next_part_record() {
  wire::log_record record;
  wire::checkpoint_part& part = *record.mutable_part();
  part.set_data(*writing_->cut->next());
  part.set_id(writing_->id);
  part.set_offset(writing_->cut->offset());
  part.set_digest(digest_at_mark_[writing_->id]);
  part.set_index(writing_->index++);
  if (writing_->cut->finished())
    part.set_count(writing_->index);
  return record.SerializeAsString();
}

void log_replayer::on_part(const wire::checkpoint_part& part) {
  seen_parts& arriving = arriving_[part.id()];
  arriving.count = std::max(arriving.count, part.count());
  arriving.indices.insert(part.index()); // only counted here: the state is already this far
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
    if (!reply.known() || state_.position() == 0 || state_.incomplete())
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
  wire::state_part part;
  try {
    while (reader->Read(&part))
      state_.restore_part(decompress(part.data()));
    if (reader->Finish().ok()) {
      state_.finish_restore();
      return true;
    }
  } catch (const error&) {
    context.TryCancel(); // damaged, or this host knows more already
  }
  state_.abandon_restore();
  return false;
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
  if (!restore_from_log(first)) {
    (void)pause(after_failure);
    return;
  }
  next_ = state_.position() + 1;
}

// The oldest usable checkpoint does: what follows it is replayed anyway. One whose writer died
// before its last part is given up, and the next one is tried from the beginning.
bool log_replayer::restore_from_log(std::uint64_t first) {
  std::set<std::string> tried;
  for (;;) {
    const std::size_t before = tried.size();
    if (restore_checkpoint(first, tried))
      return true;
    state_.abandon_restore();
    if (tried.size() == before)
      return false;
  }
}

/// \returns whether the first checkpoint that was not tried before was whole.
bool log_replayer::restore_checkpoint(std::uint64_t first, std::set<std::string>& tried) {
  std::string id;
  std::uint32_t expected = 0;
  std::uint64_t next = first;
  for (;;) {
    const log_page page = log_->read(next, records_per_read, time_ms{0});
    if (page.trimmed || page.entries.empty())
      return false;
    for (const log_entry& entry : page.entries) {
      wire::log_record record;
      if (!record.ParseFromString(entry.data) || !record.has_part())
        continue;
      const wire::checkpoint_part& part = record.part();
      // What follows the checkpoint's place must still be in the log, or there is a gap again.
      if (id.empty() && part.index() == 0 && part.offset() + 1 >= first &&
          tried.insert(part.id()).second)
        id = part.id();
      if (part.id() == id && take_part(part, expected))
        return true;
    }
    next = page.next;
  }
}

/// \returns whether this was the last part and the state is the checkpoint's now.
bool log_replayer::take_part(const wire::checkpoint_part& part, std::uint32_t& expected) {
  if (part.index() != expected)
    return false; // a part that was appended twice, or one is missing and the last never fits
  try {
    state_.restore_part(decompress(part.data()));
    ++expected;
    if (part.count() != expected)
      return false;
    state_.finish_restore();
    return true;
  } catch (const error&) {
    expected = 0; // no part of it is taken any more, as the first has passed
    return false;
  }
}

} // namespace sedgechute
