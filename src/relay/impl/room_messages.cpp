#include "relay/impl/room_messages.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr std::endian order = std::endian::little;
constexpr std::uint8_t format = 1; // first byte of a message
constexpr double units = 1000;     // refusals are sent in thousandths
constexpr std::uint32_t max_span_ms = 3600000;
constexpr std::size_t max_name = 255;

enum class message_type : std::uint8_t { question = 1, answer = 2, end = 3, renewal = 4 };

std::uint32_t span_of(time_ms span) noexcept {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(span.count(), 0, max_span_ms));
}

std::string head_of(message_type type) {
  std::string bytes(1, static_cast<char>(format));
  append_number<order>(bytes, static_cast<std::uint8_t>(type));
  return bytes;
}

std::string encode_one(const room_question& one) {
  std::string bytes = head_of(message_type::question);
  append_number<order>(bytes, one.ask.endpoint);
  append_number<order>(bytes, one.ask.id);
  append_number<order>(bytes, one.ask.host);
  append_number<order>(bytes,
                       static_cast<std::uint32_t>(std::ceil(one.ask.refusals_borne * units)));
  append_number<order>(bytes, span_of(one.ask.announced));
  return bytes + one.asked_by.substr(0, max_name);
}

std::string encode_one(const room_answer& one) {
  std::string bytes = head_of(message_type::answer);
  append_number<order>(bytes, one.id);
  append_number<order>(bytes, span_of(one.pause));
  return bytes;
}

std::string encode_one(const room_end& one) {
  std::string bytes = head_of(message_type::end);
  for (const ended_request& request : one.ended) {
    append_number<order>(bytes, request.endpoint);
    append_number<order>(bytes, request.id);
    append_number<order>(bytes, static_cast<std::uint8_t>(request.refused ? 1 : 0));
  }
  return bytes;
}

std::string encode_one(const room_renewal& one) {
  std::string bytes = head_of(message_type::renewal);
  append_number<order>(bytes, one.host);
  append_number<order>(bytes, one.endpoint);
  for (std::size_t i = 0; i < std::min(one.ids.size(), max_renewed_ids); ++i)
    append_number<order>(bytes, one.ids[i]);
  return bytes;
}

std::optional<room_message> decode_question(std::string_view bytes) {
  constexpr std::size_t head_bytes = 8 + 8 + 8 + 4 + 4;
  if (bytes.size() <= head_bytes || bytes.size() > head_bytes + max_name)
    return std::nullopt;
  room_question one;
  one.ask.endpoint = take_number<order, std::uint64_t>(bytes);
  one.ask.id = take_number<order, std::uint64_t>(bytes);
  one.ask.host = take_number<order, std::uint64_t>(bytes);
  one.ask.refusals_borne = take_number<order, std::uint32_t>(bytes) / units;
  const auto announced = take_number<order, std::uint32_t>(bytes);
  if (announced > max_span_ms)
    return std::nullopt;
  one.ask.announced = time_ms{announced};
  one.asked_by = bytes;
  return one;
}

std::optional<room_message> decode_answer(std::string_view bytes) {
  if (bytes.size() != 8 + 4)
    return std::nullopt;
  room_answer one;
  one.id = take_number<order, std::uint64_t>(bytes);
  const auto pause = take_number<order, std::uint32_t>(bytes);
  one.pause = time_ms{pause};
  return pause <= max_span_ms ? std::optional<room_message>{one} : std::nullopt;
}

std::optional<room_message> decode_end(std::string_view bytes) {
  constexpr std::size_t request_bytes = 8 + 8 + 1;
  if (bytes.size() % request_bytes != 0 || bytes.size() / request_bytes > recent_ends::most)
    return std::nullopt;
  room_end one;
  while (!bytes.empty()) {
    ended_request request;
    request.endpoint = take_number<order, std::uint64_t>(bytes);
    request.id = take_number<order, std::uint64_t>(bytes);
    const auto refused = take_number<order, std::uint8_t>(bytes);
    if (refused > 1)
      return std::nullopt;
    request.refused = refused == 1;
    one.ended.push_back(request);
  }
  return one;
}

std::optional<room_message> decode_renewal(std::string_view bytes) {
  constexpr std::size_t head_bytes = 8 + 8;
  constexpr std::size_t id_bytes = 8;
  if (bytes.size() < head_bytes || (bytes.size() - head_bytes) % id_bytes != 0 ||
      (bytes.size() - head_bytes) / id_bytes > max_renewed_ids)
    return std::nullopt;
  room_renewal one;
  one.host = take_number<order, std::uint64_t>(bytes);
  one.endpoint = take_number<order, std::uint64_t>(bytes);
  while (!bytes.empty())
    one.ids.push_back(take_number<order, std::uint64_t>(bytes));
  return one;
}

} // namespace

std::string encode(const room_message& message) {
  return std::visit([](const auto& one) { return encode_one(one); }, message);
}

std::optional<room_message> decode_room_message(std::string_view bytes) {
  if (bytes.size() < 2 || take_number<order, std::uint8_t>(bytes) != format)
    return std::nullopt;
  switch (static_cast<message_type>(take_number<order, std::uint8_t>(bytes))) {
  case message_type::question:
    return decode_question(bytes);
  case message_type::answer:
    return decode_answer(bytes);
  case message_type::end:
    return decode_end(bytes);
  case message_type::renewal:
    return decode_renewal(bytes);
  }
  return std::nullopt;
}

} // namespace sedgechute
