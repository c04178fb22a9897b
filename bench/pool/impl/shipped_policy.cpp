#include "pool/impl/shipped_policy.hpp"

#include <algorithm>
#include <stdexcept>

namespace sedgechute::pool {

namespace {

constexpr std::size_t most_rows = 45; // of a message, as the product sends them
constexpr time_ms whole_interval = load_exchange_options{}.whole_interval;

// Endpoints are named and addressed by their numbers.
endpoint_entry entry_of(std::uint32_t engine, std::uint32_t zone, std::uint64_t slots) {
  return {endpoint_id{"e" + std::to_string(engine)},  "engines", std::to_string(engine),
          data_centre_id{"z" + std::to_string(zone)}, slots,     false};
}

template <typename Row>
std::vector<Row> rows_from(const std::vector<Row>& rows, std::size_t from) {
  const auto begin = static_cast<std::ptrdiff_t>(std::min(from, rows.size()));
  const auto end = static_cast<std::ptrdiff_t>(std::min(from + most_rows, rows.size()));
  return {rows.begin() + begin, rows.begin() + end};
}

send_outcome outcome_of(send_end how) {
  switch (how) {
  case send_end::answered:
    return send_outcome::answered;
  case send_end::not_run:
    return send_outcome::not_run;
  case send_end::caller_left:
    return send_outcome::caller_left;
  }
  throw std::logic_error{"no such end of a send"};
}

} // namespace

shipped_policy::shipped_policy(const deployment& of, const choice_weights& weights,
                               std::uint64_t seed)
    : slots_{of.sheet.batch} {
  for (std::uint32_t at = 0; at < of.zones.size(); ++at)
    for (std::uint32_t i = 0; i < of.zones[at].hosts; ++i) {
      host made;
      made.name = mix_hash(seed, hosts_.size());
      made.endpoints = std::make_unique<endpoint_directory>(
          data_centre_id{"z" + std::to_string(at)}, weights, time_, random_source{made.name});
      for (std::uint32_t engine = 0; engine < of.engines; ++engine)
        made.endpoints->put(
            entry_of(engine, engine % static_cast<std::uint32_t>(of.zones.size()), slots_));
      hosts_.push_back(std::move(made));
    }
}

void shipped_policy::now_is(double at_ms) {
  time_.advance(time_ms{static_cast<std::int64_t>(at_ms)} - time_.now());
}

std::optional<chosen_engine> shipped_policy::choose(const open_request& request,
                                                    std::span<const engine_view> /*engines*/) {
  host& at = hosts_.at(request.what->host);
  placement_request asked{"engines", &request.what->terms, {}};
  for (const std::uint32_t engine : request.avoid)
    asked.avoid.push_back(incarnation_of(endpoint_id{"e" + std::to_string(engine)}, std::nullopt));
  auto place = at.endpoints->place(asked);
  if (!place)
    return std::nullopt;
  chosen_engine chosen{static_cast<std::uint32_t>(std::stoul(place->address)), std::nullopt};
  if (!place->fetch_from.empty())
    chosen.fetch_from = static_cast<std::uint32_t>(std::stoul(place->fetch_from));
  places_.insert_or_assign(request.number, std::move(*place));
  return chosen;
}

void shipped_policy::started(const open_request& request, engine_load load) {
  const placement& place = places_.at(request.number);
  endpoint_directory& endpoints = *hosts_.at(request.what->host).endpoints;
  endpoints.note_load(place, {load.running, load.waiting, slots_});
  endpoints.note_prompt_read(place);
}

void shipped_policy::ended(const open_request& request, send_end how, bool started) {
  const auto place = places_.find(request.number);
  hosts_.at(request.what->host).endpoints->release(place->second, outcome_of(how), started);
  places_.erase(place);
}

std::vector<std::string> shipped_policy::due_messages(std::uint32_t host_number) {
  host& at = hosts_.at(host_number);
  const bool whole = time_.now() >= at.next_whole;
  if (whole)
    at.next_whole = time_.now() + whole_interval;
  const auto entries = at.endpoints->own_use(!whole);
  const auto sightings = at.endpoints->take_own_prefix_locations();
  const std::size_t all = std::max(entries.size(), sightings.size());
  std::vector<std::string> messages;
  if (all == 0 && !whole)
    return messages;
  for (std::size_t from = 0; from == 0 || from < all; from += most_rows)
    messages.push_back(encode_use_report({at.name, ++at.messages, whole && all <= most_rows,
                                          rows_from(entries, from), rows_from(sightings, from)}));
  return messages;
}

void shipped_policy::take_message(std::uint32_t host_number, const std::string& bytes) {
  if (const auto report = decode_use_report(bytes))
    hosts_.at(host_number).endpoints->take_report(*report);
}

} // namespace sedgechute::pool
