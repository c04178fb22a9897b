#include "claims/impl/claim_key.hpp"

#include <array>
#include <charconv>

namespace sedgechute {

namespace {

constexpr std::string_view minted_prefix = "f1.";
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

template <typename T>
bool parse_number(std::string_view text, T& value, int base) {
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, base);
  return !text.empty() && result.ec == std::errc{} && result.ptr == end;
}

// Parses from the end because the name of the data centre may contain dots.
std::string_view take_last_field(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos)
    return {};
  const std::string_view field = text.substr(dot + 1);
  text = text.substr(0, dot);
  return field;
}

std::string hex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
  return {digits.data(), result.ptr};
}

} // namespace

std::string format_key(const minted_key& key) {
  return std::string{minted_prefix} + key.data_centre.str() + '.' + std::to_string(key.index) +
         '.' + std::to_string(key.mark) + '.' + hex(key.number);
}

std::optional<minted_key> parse_key(std::string_view text) {
  if (!text.starts_with(minted_prefix))
    return std::nullopt;
  text.remove_prefix(minted_prefix.size());
  minted_key key;
  const bool valid = parse_number(take_last_field(text), key.number, hexadecimal) &&
                     parse_number(take_last_field(text), key.mark, decimal) &&
                     parse_number(take_last_field(text), key.index, decimal) && !text.empty();
  if (!valid)
    return std::nullopt;
  key.data_centre = data_centre_id{std::string{text}};
  return key;
}

claim_shard shard_of(const claim_id& id, const claims_options& options) {
  if (const auto minted = parse_key(id.key))
    return {minted->data_centre, true, minted->index};
  const std::uint64_t hash = mix_hash(stable_hash(id.team.str()), stable_hash(id.key));
  const std::size_t slash = id.key.find('/');
  if (id.key.starts_with('@') && slash != std::string::npos && slash > 1)
    return {data_centre_id{id.key.substr(1, slash - 1)}, false,
            static_cast<std::uint32_t>(hash % options.shards_per_data_centre)};
  return {data_centre_id{}, false, static_cast<std::uint32_t>(hash % options.unpinned_shards)};
}

std::string shard_name(const claim_shard& shard) {
  return std::string{shard.minted ? "m/" : "c/"} + shard.data_centre.str() + '/' +
         std::to_string(shard.index);
}

} // namespace sedgechute
