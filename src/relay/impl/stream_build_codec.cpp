#include "relay/impl/stream_build_codec.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

enum class message_type : std::uint8_t { records = 1, query = 2, answer = 3 };

constexpr std::size_t max_records = 60; // in one message
constexpr std::size_t build_bytes = 1 + 8;
constexpr std::size_t record_bytes = 8 + build_bytes + 4;
constexpr std::size_t query_bytes = 8 + 1 + 8;
constexpr std::size_t answer_bytes = 8 + 1 + build_bytes;
constexpr std::size_t max_name_bytes = 255;
constexpr std::uint32_t max_lifetime_ms = 24 * 3600000;
constexpr std::endian order = std::endian::little;

std::string head_of(message_type type) {
  return std::string(1, static_cast<char>(type));
}

void append_build(std::string& bytes, const stream_build& built_by) {
  append_number<order>(bytes, static_cast<std::uint8_t>(built_by.knowledge));
  append_number<order>(bytes, built_by.build);
}

std::optional<stream_build> take_build(std::string_view& bytes) {
  const auto knowledge = take_number<order, std::uint8_t>(bytes);
  const auto build = take_number<order, std::uint64_t>(bytes);
  if (knowledge > static_cast<std::uint8_t>(stream_build::state::ambiguous))
    return std::nullopt;
  return stream_build{static_cast<stream_build::state>(knowledge), build};
}

std::optional<stream_build_message> decode_records(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % record_bytes != 0)
    return std::nullopt;
  std::vector<stream_record> records;
  while (!bytes.empty()) {
    stream_record record;
    record.stream = take_number<order, std::uint64_t>(bytes);
    const auto built_by = take_build(bytes);
    const auto lifetime = take_number<order, std::uint32_t>(bytes);
    if (!built_by || lifetime > max_lifetime_ms)
      return std::nullopt;
    record.built_by = *built_by;
    record.lifetime = time_ms{lifetime};
    records.push_back(record);
  }
  return records;
}

std::optional<stream_build_message> decode_query(std::string_view bytes) {
  if (bytes.size() <= query_bytes || bytes.size() > query_bytes + max_name_bytes)
    return std::nullopt;
  build_query query;
  query.id = take_number<order, std::uint64_t>(bytes);
  query.holder = take_number<order, std::uint8_t>(bytes);
  query.stream = take_number<order, std::uint64_t>(bytes);
  query.asked_by = std::string{bytes};
  return query;
}

std::optional<stream_build_message> decode_answer(std::string_view bytes) {
  if (bytes.size() != answer_bytes)
    return std::nullopt;
  build_answer answer;
  answer.id = take_number<order, std::uint64_t>(bytes);
  answer.holder = take_number<order, std::uint8_t>(bytes);
  const auto built_by = take_build(bytes);
  if (!built_by)
    return std::nullopt;
  answer.built_by = *built_by;
  return answer;
}

} // namespace

std::vector<std::string> encode_records(const std::vector<stream_record>& records) {
  std::vector<std::string> messages;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i % max_records == 0)
      messages.push_back(head_of(message_type::records));
    std::string& bytes = messages.back();
    append_number<order>(bytes, records[i].stream);
    append_build(bytes, records[i].built_by);
    const auto lifetime = std::clamp<std::int64_t>(records[i].lifetime.count(), 0, max_lifetime_ms);
    append_number<order>(bytes, static_cast<std::uint32_t>(lifetime));
  }
  return messages;
}

std::string encode(const build_query& query) {
  std::string bytes = head_of(message_type::query);
  append_number<order>(bytes, query.id);
  append_number<order>(bytes, query.holder);
  append_number<order>(bytes, query.stream);
  return bytes + query.asked_by.substr(0, max_name_bytes);
}

std::string encode(const build_answer& answer) {
  std::string bytes = head_of(message_type::answer);
  append_number<order>(bytes, answer.id);
  append_number<order>(bytes, answer.holder);
  append_build(bytes, answer.built_by);
  return bytes;
}

std::optional<stream_build_message> decode_stream_build_message(std::string_view bytes) {
  if (bytes.empty())
    return std::nullopt;
  const auto type = static_cast<message_type>(bytes.front());
  bytes.remove_prefix(1);
  switch (type) {
  case message_type::records:
    return decode_records(bytes);
  case message_type::query:
    return decode_query(bytes);
  case message_type::answer:
    return decode_answer(bytes);
  }
  return std::nullopt;
}

} // namespace sedgechute
