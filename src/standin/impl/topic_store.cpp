#include "standin/impl/topic_store.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>

#include <chrono>
#include <sstream>

namespace sedgechute::standin {

namespace {

constexpr std::endian order = std::endian::big;
constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr std::int64_t longest_wait_ms = 30'000;
constexpr std::chrono::milliseconds wait_step{50}; // so that a reader that left is noticed

std::string to_base64(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder{text};
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string frame(const std::string& key, const std::optional<std::string>& value) {
  const std::string content =
      std::string(1, static_cast<char>(key.size())) + key + value.value_or("");
  std::string bytes;
  append_number<order>(bytes, static_cast<std::uint32_t>(content.size()));
  return bytes + content;
}

} // namespace

topic_store::topic_store(const topic_store_options& options)
    : options_{options}, server_{options.address, [this](exchange& call) { handle(call); }} {}

void topic_store::put(const std::string& topic, const std::string& key,
                      const std::optional<std::string>& value) {
  {
    const std::scoped_lock lock{mutex_};
    add(partitions_[topic + "/0"], {frame(key, value), key, value});
  }
  appended_.notify_all();
}

void topic_store::put_unnoticed(const std::string& topic, const std::string& key,
                                const std::string& value) {
  const std::scoped_lock lock{mutex_};
  add(partitions_[topic + "/0"], {frame(key, value), key, value});
  ++unnoticed_;
}

void topic_store::forget_history() {
  const std::scoped_lock lock{mutex_};
  for (auto& [name, part] : partitions_) {
    part.first = part.end();
    part.records.clear();
  }
}

void topic_store::refuse(int status) {
  const std::scoped_lock lock{mutex_};
  refusing_ = status;
}

std::uint64_t topic_store::conflicts() const {
  const std::scoped_lock lock{mutex_};
  return conflicts_;
}

std::uint64_t topic_store::calls() const {
  const std::scoped_lock lock{mutex_};
  return calls_;
}

void topic_store::add(partition& to, record added) {
  if (added.value)
    to.newest.insert_or_assign(added.key, std::pair{*added.value, to.end()});
  else
    to.newest.erase(added.key);
  to.records.push_back(std::move(added));
}

void topic_store::handle(exchange& call) {
  int refusing = 0;
  {
    const std::scoped_lock lock{mutex_};
    ++calls_;
    refusing = refusing_;
  }
  const std::string name = call.parameter("Topic", "") + "/" + call.parameter("part", "0");
  if (refusing != 0)
    call.answer(refusing, error_text("not now"));
  else if (call.path() == "/log-append")
    append(call, name);
  else if (call.path() == "/log-read")
    read(call, name);
  else if (call.path() == "/log-newest")
    newest(call, name);
  else
    call.answer(404, error_text("no such call"));
}

void topic_store::append(exchange& call, const std::string& name) {
  const std::string body = call.body();
  std::vector<record> records;
  for (std::string_view rest = body; !rest.empty();) {
    const std::string_view whole = rest;
    const auto length = take_number<order, std::uint32_t>(rest);
    const std::string_view content = rest.substr(0, length);
    const std::size_t key_length = static_cast<unsigned char>(content.front());
    record added{std::string{whole.substr(0, length_bytes + length)},
                 std::string{content.substr(1, key_length)}, std::nullopt};
    if (content.size() > 1 + key_length)
      added.value = std::string{content.substr(1 + key_length)};
    records.push_back(std::move(added));
    rest.remove_prefix(length);
  }
  std::uint64_t first = 0;
  std::uint64_t end = 0;
  bool moved = false;
  {
    const std::scoped_lock lock{mutex_};
    partition& to = partitions_[name];
    first = to.end();
    moved = call.number("At", static_cast<std::int64_t>(first)) != static_cast<std::int64_t>(first);
    if (moved)
      ++conflicts_;
    else
      for (record& one : records)
        add(to, std::move(one));
    end = to.end();
  }
  appended_.notify_all();
  call.answer(moved ? 412 : 200, R"({"Offset":)" + std::to_string(first) + R"(,"EndOffset":)" +
                                     std::to_string(end) + "}");
}

void topic_store::read(exchange& call, const std::string& name) {
  const auto from = static_cast<std::uint64_t>(call.number("From", 0));
  const std::int64_t wait = std::min(call.number("WaitMs", 0), longest_wait_ms);
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait};
  std::unique_lock lock{mutex_};
  const std::uint64_t unnoticed_before = unnoticed_;
  const auto news = [&] {
    const partition& at = partitions_[name];
    return unnoticed_ == unnoticed_before && (from < at.first || from < at.end());
  };
  while (!news() && std::chrono::steady_clock::now() < until && !call.caller_gone())
    appended_.wait_for(lock, wait_step, news);
  const partition& at = partitions_[name];
  if (from < at.first) {
    const std::string gone = R"({"FirstOffset":)" + std::to_string(at.first) + "}";
    lock.unlock();
    call.answer(410, gone);
    return;
  }
  std::string bytes;
  append_number<order>(bytes, at.end());
  append_number<order>(bytes, at.first);
  for (std::uint64_t i = from; i < at.end(); ++i)
    bytes += at.records[i - at.first].bytes;
  lock.unlock();
  call.answer(200, bytes, "application/octet-stream");
}

void topic_store::newest(exchange& call, const std::string& name) {
  const std::string after = call.parameter("After", "");
  Poco::JSON::Array rows;
  Poco::JSON::Object answer;
  {
    const std::scoped_lock lock{mutex_};
    const partition& at = partitions_[name];
    auto next = after.empty() ? at.newest.begin() : at.newest.upper_bound(after);
    for (; next != at.newest.end() && rows.size() < options_.page_records; ++next) {
      Poco::JSON::Object row;
      row.set("Key", next->first);
      row.set("Value", to_base64(next->second.first));
      row.set("Offset", next->second.second);
      rows.add(row);
    }
    answer.set("Records", rows);
    answer.set("HasMore", next != at.newest.end());
    answer.set("EndOffset", at.end());
  }
  call.answer(200, to_text(answer));
}

} // namespace sedgechute::standin
