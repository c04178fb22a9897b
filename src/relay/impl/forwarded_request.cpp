#include "relay/impl/forwarded_request.hpp"

#include <string_view>

namespace sedgechute {

namespace {

constexpr std::string_view terms_field = "Sedgechute-Forwarded"; // version;ms
constexpr char separator = ';';
constexpr std::uint64_t max_time_left_ms = 86'400'000;

} // namespace

std::string forwarded_request(const request_head& head, std::size_t body_bytes,
                              const forwarded_terms& terms) {
  request_head sent = head;
  sent.fields.remove_hop_by_hop();
  sent.fields.remove("Content-Length");
  if (body_bytes > 0 || sent.method != "GET")
    sent.fields.set("Content-Length", std::to_string(body_bytes));
  sent.fields.set(terms_field, std::to_string(terms.version) + separator +
                                   std::to_string(terms.time_left.count()));
  return to_text(sent);
}

forwarded_terms take_forwarded_terms(header_fields& fields) {
  const std::string* text = fields.find(terms_field);
  if (text == nullptr)
    throw error{error_kind::malformed_request, std::string{terms_field}, "is missing"};
  const std::string_view all = *text;
  const std::size_t split = all.find(separator);
  const auto version = parse_number(all.substr(0, split));
  const auto left =
      split == std::string_view::npos ? std::nullopt : parse_number(all.substr(split + 1));
  if (!version || !left || *left > max_time_left_ms)
    throw error{error_kind::malformed_request, std::string{terms_field},
                "is not a version and a time in ms"};
  fields.remove(terms_field);
  return {*version, time_ms{static_cast<std::int64_t>(*left)}};
}

} // namespace sedgechute
