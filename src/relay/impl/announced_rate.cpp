#include "relay/impl/announced_rate.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr std::uint8_t format = 1; // first byte of a message
constexpr std::size_t entry_bytes = 8 + 4 + 4;
constexpr std::size_t max_entries = 80; // in one message
constexpr std::uint32_t max_age_ms = 3600000;
constexpr double units_per_request = 1000; // rates are sent in thousandths
constexpr std::endian order = std::endian::little;

} // namespace

announced_rate::change announced_rate::note_named(double per_second, time_ms now) {
  const change made = !holds()                    ? change::named
                      : per_second_ != per_second ? change::changed
                                                  : change::none;
  per_second_ = per_second;
  heard_at_ = now;
  return made;
}

announced_rate::change announced_rate::note_unnamed(time_ms sent, time_ms now) {
  if (!holds() || sent <= heard_at_)
    return change::none;
  per_second_.reset();
  ended_at_ = now;
  return change::ended;
}

announced_rate::change announced_rate::note_told(double per_second, time_ms age, time_ms now) {
  const time_ms named_at = now - age;
  if (holds() ? named_at <= heard_at_ : named_at <= ended_at_)
    return change::none;
  return note_named(per_second, named_at);
}

std::vector<std::string> encode_rates(const std::vector<rate_entry>& entries) {
  std::vector<std::string> messages;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i % max_entries == 0)
      messages.emplace_back(1, static_cast<char>(format));
    const rate_entry& one = entries[i];
    const double units = std::ceil(one.per_second * units_per_request);
    append_number<order>(messages.back(), one.endpoint);
    append_number<order>(messages.back(), static_cast<std::uint32_t>(units));
    append_number<order>(messages.back(), static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                                              one.age.count(), 0, max_age_ms)));
  }
  return messages;
}

std::optional<std::vector<rate_entry>> decode_rates(std::string_view bytes) {
  if (bytes.empty() || take_number<order, std::uint8_t>(bytes) != format ||
      bytes.size() % entry_bytes != 0)
    return std::nullopt;
  std::vector<rate_entry> entries;
  while (!bytes.empty()) {
    rate_entry one;
    one.endpoint = take_number<order, std::uint64_t>(bytes);
    one.per_second = take_number<order, std::uint32_t>(bytes) / units_per_request;
    const auto age = take_number<order, std::uint32_t>(bytes);
    if (age > max_age_ms)
      return std::nullopt;
    one.age = time_ms{age};
    entries.push_back(one);
  }
  return entries;
}

} // namespace sedgechute
