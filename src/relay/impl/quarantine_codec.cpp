#include "relay/impl/quarantine_codec.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::uint8_t format = 1; // first byte of a message
constexpr std::size_t max_message_bytes = 1300;
constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_endpoints = 5;            // of a verdict; they are only logged
constexpr std::uint32_t max_span_ms = 24 * 3600000; // longer ages and durations are not valid
constexpr std::uint32_t max_version = 1'000'000;    // a corrupt higher one could never be replaced

constexpr std::endian order = std::endian::little;

enum class entry_type : std::uint8_t { verdict = 1, death = 2, acquittal = 3 };

void append_span(std::string& bytes, time_ms span) {
  const auto ms = std::clamp<std::int64_t>(span.count(), 0, max_span_ms);
  append_number<order>(bytes, static_cast<std::uint32_t>(ms));
}

void append_id(std::string& bytes, const endpoint_id& id) {
  const std::string_view text = std::string_view{id.str()}.substr(0, max_id_bytes);
  append_number<order>(bytes, static_cast<std::uint8_t>(text.size()));
  bytes.append(text);
}

std::string head_of(entry_type type, content_fingerprint content) {
  std::string bytes;
  append_number<order>(bytes, static_cast<std::uint8_t>(type));
  append_number<order>(bytes, content);
  return bytes;
}

std::string encode(const quarantine_record& record) {
  std::string bytes = head_of(entry_type::verdict, record.content);
  append_number<order>(bytes, record.version);
  append_number<order>(bytes, static_cast<std::uint8_t>(record.lifted ? 1 : 0));
  append_span(bytes, record.remaining);
  const std::size_t endpoints = std::min(record.endpoints.size(), max_endpoints);
  append_number<order>(bytes, static_cast<std::uint8_t>(endpoints));
  for (std::size_t i = 0; i < endpoints; ++i)
    append_id(bytes, record.endpoints[i]);
  return bytes;
}

std::string encode(const death_evidence& death) {
  std::string bytes = head_of(entry_type::death, death.content);
  append_number<order>(bytes, death.life);
  append_span(bytes, death.ran_for);
  append_span(bytes, death.age);
  append_id(bytes, death.endpoint);
  return bytes;
}

std::string encode(const acquittal& cleared) {
  std::string bytes = head_of(entry_type::acquittal, cleared.content);
  append_span(bytes, cleared.age);
  return bytes;
}

/// Reads fields; after one that is missing or invalid, `valid` is false and all others are empty.
struct field_cursor {
  std::string_view rest;
  bool valid{true};

  template <std::unsigned_integral Number>
  Number number(Number most) {
    if (!valid || rest.size() < sizeof(Number)) {
      valid = false;
      return {};
    }
    const auto value = take_number<order, Number>(rest);
    valid = value <= most;
    return valid ? value : Number{};
  }

  std::uint64_t hash() { return number<std::uint64_t>(~std::uint64_t{0}); }
  time_ms span() { return time_ms{number<std::uint32_t>(max_span_ms)}; }

  endpoint_id id() {
    const std::size_t size = number<std::uint8_t>(max_id_bytes);
    if (!valid || rest.size() < size) {
      valid = false;
      return {};
    }
    const std::string text{rest.substr(0, size)};
    rest.remove_prefix(size);
    return endpoint_id{text};
  }
};

void read_entry(field_cursor& from, quarantine_news& into) {
  const auto type = static_cast<entry_type>(from.number<std::uint8_t>(0xffU));
  const content_fingerprint content = from.hash();
  switch (type) {
  case entry_type::verdict: {
    quarantine_record record{content,
                             from.number<std::uint32_t>(max_version),
                             from.number<std::uint8_t>(1) == 1,
                             from.span(),
                             {}};
    const std::size_t endpoints = from.number<std::uint8_t>(max_endpoints);
    for (std::size_t i = 0; i < endpoints && from.valid; ++i)
      record.endpoints.push_back(from.id());
    into.records.push_back(std::move(record));
    return;
  }
  case entry_type::death: {
    death_evidence death;
    death.content = content;
    death.life = from.hash();
    death.ran_for = from.span();
    death.age = from.span();
    death.endpoint = from.id();
    into.deaths.push_back(std::move(death));
    return;
  }
  case entry_type::acquittal:
    into.acquittals.push_back({content, from.span()});
    return;
  }
  from.valid = false;
}

} // namespace

std::vector<std::string> encode_quarantine_news(const quarantine_news& news,
                                                std::size_t max_datagrams) {
  std::vector<std::string> messages;
  const auto add = [&](const auto& rows) {
    for (const auto& row : rows) {
      const std::string entry = encode(row);
      if (messages.empty() || messages.back().size() + entry.size() > max_message_bytes) {
        if (messages.size() == max_datagrams)
          return;
        messages.emplace_back(1, static_cast<char>(format));
      }
      messages.back() += entry;
    }
  };
  add(news.records);
  add(news.acquittals);
  add(news.deaths);
  return messages;
}

std::optional<quarantine_news> decode_quarantine_news(std::string_view bytes) {
  field_cursor from{bytes};
  if (from.number<std::uint8_t>(format) != format)
    return std::nullopt;
  quarantine_news news;
  while (from.valid && !from.rest.empty())
    read_entry(from, news);
  return from.valid ? std::optional{std::move(news)} : std::nullopt;
}

} // namespace sedgechute
