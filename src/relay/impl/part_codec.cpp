#include "relay/impl/part_codec.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <algorithm>
#include <cmath>
#include <span>

namespace sedgechute {

namespace {

constexpr std::uint8_t format = 1; // first byte of a message
constexpr std::size_t max_message_bytes = 1300;
constexpr std::size_t max_blamed = 128;             // parts in one row
constexpr std::uint32_t max_span_ms = 24 * 3600000; // longer ages are not valid
constexpr double weight_unit = 60; // of a weight of 1; the lowest weight is sent as 0
constexpr std::endian order = std::endian::little;

enum class row_type : std::uint8_t { harmless = 1, death = 2, trial = 3 };

constexpr std::size_t part_bytes = 8 + 4;
constexpr std::size_t death_bytes = 8 + 4 + 1;
constexpr std::size_t blamed_bytes = 8 + 1;

void append_span(std::string& bytes, time_ms span) {
  const auto ms = std::clamp<std::int64_t>(span.count(), 0, max_span_ms);
  append_number<order>(bytes, static_cast<std::uint32_t>(ms));
}

std::string encode(row_type type, part_fingerprint part, time_ms age) {
  std::string bytes(1, static_cast<char>(type));
  append_number<order>(bytes, part);
  append_span(bytes, age);
  return bytes;
}

std::string encode(const harmless_part& row) {
  return encode(row_type::harmless, row.part, row.age);
}

std::string encode(const part_trial& row) {
  return encode(row_type::trial, row.part, row.age);
}

std::string encode(const part_death& row) {
  std::string bytes(1, static_cast<char>(row_type::death));
  append_number<order>(bytes, row.incarnation);
  append_span(bytes, row.age);
  const std::size_t count = std::min(row.blamed.size(), max_blamed);
  append_number<order>(bytes, static_cast<std::uint8_t>(count));
  for (const blamed_part& one : std::span{row.blamed}.first(count)) {
    append_number<order>(bytes, one.part);
    const double weight =
        (std::clamp(one.weight, most_exoneration, 1.0) - most_exoneration) * weight_unit;
    append_number<order>(bytes, static_cast<std::uint8_t>(std::lround(weight)));
  }
  return bytes;
}

std::optional<time_ms> take_span(std::string_view& bytes) {
  const auto ms = take_number<order, std::uint32_t>(bytes);
  if (ms > max_span_ms)
    return std::nullopt;
  return time_ms{ms};
}

template <typename Row>
bool take_part(std::string_view& bytes, std::vector<Row>& into) {
  if (bytes.size() < part_bytes)
    return false;
  const auto part = take_number<order, std::uint64_t>(bytes);
  const auto age = take_span(bytes);
  if (age)
    into.push_back({part, *age});
  return age.has_value();
}

bool take_death(std::string_view& bytes, part_news& into) {
  if (bytes.size() < death_bytes)
    return false;
  part_death row;
  row.incarnation = take_number<order, std::uint64_t>(bytes);
  const auto age = take_span(bytes);
  const std::size_t count = take_number<order, std::uint8_t>(bytes);
  if (!age || count > max_blamed || bytes.size() < count * blamed_bytes)
    return false;
  row.age = *age;
  for (std::size_t i = 0; i < count; ++i) {
    const auto part = take_number<order, std::uint64_t>(bytes);
    const auto weight = take_number<order, std::uint8_t>(bytes);
    row.blamed.push_back({part, std::min(weight / weight_unit + most_exoneration, 1.0)});
  }
  into.deaths.push_back(std::move(row));
  return true;
}

bool take_row(std::string_view& bytes, part_news& into) {
  const auto type = static_cast<row_type>(take_number<order, std::uint8_t>(bytes));
  switch (type) {
  case row_type::harmless:
    return take_part(bytes, into.harmless);
  case row_type::death:
    return take_death(bytes, into);
  case row_type::trial:
    return take_part(bytes, into.trials);
  }
  return false;
}

} // namespace

std::vector<std::string> encode_part_news(const part_news& news, std::size_t max_datagrams) {
  std::vector<std::string> messages;
  const auto add = [&](const auto& rows) {
    for (const auto& row : rows) {
      const std::string bytes = encode(row);
      if (messages.empty() || messages.back().size() + bytes.size() > max_message_bytes) {
        if (messages.size() == max_datagrams)
          return;
        messages.emplace_back(1, static_cast<char>(format));
      }
      messages.back() += bytes;
    }
  };
  add(news.trials);
  add(news.harmless);
  add(news.deaths);
  return messages;
}

std::optional<part_news> decode_part_news(std::string_view bytes) {
  if (bytes.empty() || static_cast<std::uint8_t>(bytes.front()) != format)
    return std::nullopt;
  bytes.remove_prefix(1);
  part_news news;
  while (!bytes.empty())
    if (!take_row(bytes, news))
      return std::nullopt;
  return news;
}

} // namespace sedgechute
