#include "claims/impl/message_bundles.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// `max_claims_bundle` messages of up to about 250 bytes fit in a datagram without fragmentation.
constexpr std::size_t max_small_body_bytes = 200;

bool is_small(const claims_message& message) {
  if (const auto* put = std::get_if<replica_put>(&message))
    return put->answer.body.size() <= max_small_body_bytes;
  if (const auto* fetched = std::get_if<replica_reply>(&message))
    return fetched->answer.body.size() <= max_small_body_bytes;
  return !std::holds_alternative<table_part>(message);
}

bool has_room(const claims_bundle& bundle, const incarnation& to) {
  return bundle.messages.size() < max_claims_bundle && same_process(bundle.to, to) &&
         is_small(bundle.messages.back());
}

} // namespace

std::vector<claims_bundle> bundle_messages(std::vector<addressed_claims_message> messages) {
  std::vector<claims_bundle> bundles;
  for (addressed_claims_message& sent : messages) {
    const auto last = std::find_if(bundles.rbegin(), bundles.rend(), [&](const auto& bundle) {
      return same_process(bundle.to, sent.to);
    });
    if (last != bundles.rend() && is_small(sent.message) && has_room(*last, sent.to))
      last->messages.push_back(std::move(sent.message));
    else
      bundles.push_back({std::move(sent.to), {std::move(sent.message)}});
  }
  return bundles;
}

} // namespace sedgechute
