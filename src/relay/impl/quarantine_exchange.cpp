#include "relay/impl/quarantine_exchange.hpp"

#include "relay/impl/part_codec.hpp"
#include "relay/impl/quarantine_codec.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr time_ms write_check_interval{200}; // between two checks for verdicts to record

} // namespace

quarantine_exchange::quarantine_exchange(content_guard& guard, peer_channel& channel,
                                         quarantine_log& log,
                                         const quarantine_exchange_options& options,
                                         const clock& time, entry_faults& faults)
    : guard_{guard}, channel_{channel}, records_{log}, options_{options}, time_{time}, faults_{
                                                                                           faults} {
  channel_.on(peer_message::quarantine, [this](std::string_view bytes) { return take(bytes); });
  channel_.on(peer_message::prompt_parts,
              [this](std::string_view bytes) { return take_parts(bytes); });
}

quarantine_exchange::~quarantine_exchange() {
  stop();
}

void quarantine_exchange::start() {
  sender_ = std::thread{[this] { send_messages(); }};
  keeper_ = std::thread{[this] { keep_records(); }};
}

void quarantine_exchange::stop() noexcept {
  pauses_.stop();
  for (std::thread* one : {&sender_, &keeper_})
    if (one->joinable())
      one->join();
}

bool quarantine_exchange::take(std::string_view bytes) {
  const auto news = decode_quarantine_news(bytes);
  if (news)
    guard_.merge(*news, time_.now());
  return news.has_value();
}

bool quarantine_exchange::take_parts(std::string_view bytes) {
  const auto news = decode_part_news(bytes);
  if (news)
    guard_.merge(*news, time_.now());
  return news.has_value();
}

void quarantine_exchange::send_to_all(peer_message kind, const std::vector<std::string>& messages) {
  if (messages.empty())
    return;
  for (const peer& to : channel_.peers())
    for (const std::string& message : messages)
      channel_.send(to, kind, message);
}

void quarantine_exchange::send_messages() {
  time_ms next_snapshot = time_.now() + options_.snapshot_interval;
  while (pauses_.pause(report_spacing(options_.pacing, channel_.peers().size()))) {
    send_to_all(peer_message::quarantine,
                encode_quarantine_news(guard_.take_news(), options_.max_datagrams));
    send_to_all(peer_message::prompt_parts,
                encode_part_news(guard_.take_part_news(), options_.max_datagrams));
    if (time_.now() < next_snapshot)
      continue;
    next_snapshot = time_.now() + options_.snapshot_interval;
    guard_.expire(time_.now());
    send_snapshot();
  }
}

// Each host passes on all that it knows, so a host that missed a message, was cut off or has just
// started learns it from any other one.
void quarantine_exchange::send_snapshot() {
  const auto messages =
      encode_quarantine_news(guard_.snapshot(time_.now()), options_.max_datagrams);
  const auto parts = encode_part_news(guard_.part_snapshot(time_.now()), options_.max_datagrams);
  std::vector<peer> peers = channel_.peers();
  for (std::size_t i = 0; i < options_.snapshot_recipients && !peers.empty(); ++i) {
    const auto drawn = peers.begin() + static_cast<std::ptrdiff_t>(random_.below(peers.size()));
    for (const std::string& message : messages)
      channel_.send(*drawn, peer_message::quarantine, message);
    for (const std::string& message : parts)
      channel_.send(*drawn, peer_message::prompt_parts, message);
    peers.erase(drawn);
  }
}

// A record replaces the one before it, so the first read comes before the first write.
void quarantine_exchange::keep_records() {
  time_ms next_read = time_.now();
  time_ms pause{};
  while (pauses_.pause(pause)) {
    pause = write_check_interval;
    try {
      if (time_.now() >= next_read) {
        read_records();
        next_read = time_.now() + options_.read_interval;
      }
      write_records();
    } catch (const error&) {
      pause = options_.retry_pause; // the log is away; other hosts are told by datagrams
    }
  }
}

void quarantine_exchange::read_records() {
  quarantine_page page = records_known_ ? records_.read(records_end_) : records_.newest();
  if (page.history_lost)
    page = records_.newest();
  take_page(page);
}

void quarantine_exchange::take_page(const quarantine_page& page) {
  guard_.merge_recorded(page.news, time_.now());
  guard_.merge_recorded(page.parts, time_.now());
  records_end_ = page.end;
  records_known_ = true;
  for (const entry_fault& fault : page.faults)
    faults_.note(entry_topic::quarantines, fault.key, fault.why);
  // One host is enough to delete a record; which one does not matter.
  if ((!page.ended.empty() || !page.ended_parts.empty()) &&
      random_.below(channel_.peers().size() + 1) == 0)
    records_.remove(page.ended, page.ended_parts);
}

void quarantine_exchange::write_records() {
  const quarantine_news due = guard_.due_records(time_.now());
  const std::vector<part_record> parts = guard_.due_part_records(time_.now());
  if (due.empty() && parts.empty())
    return;
  records_.append(due, parts);
  guard_.note_recorded(due, time_.now());
  guard_.note_recorded(parts);
}

} // namespace sedgechute
