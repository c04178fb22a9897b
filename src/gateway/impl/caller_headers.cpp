#include "gateway/impl/caller_headers.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace sedgechute {

namespace {

constexpr std::size_t longest_key = 128;
constexpr std::size_t read_block_bytes = 16 * 1024;
constexpr std::string_view bearer_prefix = "Bearer ";

bool is_plain(std::string_view text) noexcept {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::string short_plain_header(const caller_exchange& exchange, const std::string& name) {
  const std::string value = exchange.request.get(name, "");
  if (value.size() > longest_key || !is_plain(value))
    throw error{error_kind::invalid_parameter, name,
                "at most " + std::to_string(longest_key) + " printable characters without spaces"};
  return value;
}

std::string read_bearer(const caller_exchange& exchange) {
  const std::string value = exchange.request.get("Authorization", "");
  if (value.size() <= bearer_prefix.size() ||
      Poco::icompare(value.substr(0, bearer_prefix.size()), std::string{bearer_prefix}) != 0)
    throw error{error_kind::unauthenticated, "", ""};
  return value.substr(bearer_prefix.size());
}

std::optional<bool> read_idempotent(const caller_exchange& exchange) {
  const std::string name = "X-Sedgechute-Idempotent";
  const std::string value = exchange.request.get(name, "");
  if (value.empty())
    return std::nullopt;
  if (value != "true" && value != "false")
    throw error{error_kind::invalid_parameter, name, "must be true or false"};
  return value == "true";
}

} // namespace

caller_headers read_caller_headers(const caller_exchange& exchange) {
  caller_headers headers;
  headers.bearer = read_bearer(exchange);
  headers.key = short_plain_header(exchange, "Idempotency-Key");
  headers.class_name = short_plain_header(exchange, "X-Sedgechute-Class");
  headers.idempotent = read_idempotent(exchange);
  return headers;
}

void invite_body(caller_exchange& exchange) {
  if (exchange.body.present() && exchange.request.getExpectContinue() && !exchange.response.sent())
    exchange.response.sendContinue();
}

std::string read_body(caller_exchange& exchange, std::size_t most_bytes, time_ms most_time,
                      const clock& time) {
  request_body& source = exchange.body;
  const std::string too_large = "more than " + std::to_string(most_bytes) + " bytes";
  if (source.framing().bytes > most_bytes)
    throw error{error_kind::payload_too_large, "body", too_large};
  invite_body(exchange);
  source.allow_until(time.now() + most_time);
  std::string body;
  unfinished_requests& unfinished = source.unfinished();
  held_bytes::guard held = unfinished.begin(); // what is whole is taken up at once
  const auto make_capacity = [&](std::size_t needed) {
    if (needed <= body.capacity())
      return;
    const std::size_t grown = grown_capacity(body.capacity(), needed, most_bytes);
    unfinished.resize(held,
                      body.capacity() + grown); // both buffers, while one grows into the other
    body.reserve(grown);
    unfinished.resize(held, body.capacity());
  };
  make_capacity(static_cast<std::size_t>(source.framing().bytes));
  std::array<char, read_block_bytes> block{};
  std::istream& in = source.stream();
  while (in.peek() != std::istream::traits_type::eof()) {
    const std::streamsize got = in.readsome(block.data(), block.size());
    if (body.size() + static_cast<std::size_t>(got) > most_bytes)
      throw error{error_kind::payload_too_large, "body", too_large};
    make_capacity(body.size() + static_cast<std::size_t>(got));
    body.append(block.data(), static_cast<std::size_t>(got));
  }
  source.require_whole();
  return body;
}

void require_method(const caller_exchange& exchange, const std::string& method) {
  const std::string& asked = exchange.request.getMethod();
  const bool head = method == "GET" && asked == "HEAD";
  if (asked != method && !head)
    throw error{error_kind::method_not_allowed, exchange.path, "only " + method};
}

} // namespace sedgechute
