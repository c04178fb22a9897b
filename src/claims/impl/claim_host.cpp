#include "claims/impl/claim_host.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms observation_interval{1000};

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

claim_host::claim_host(incarnation self, data_centre_id data_centre, const claims_options& options,
                       std::uint64_t seed)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}, options_{options},
      random_{seed}, shards_{options}, shard_server_{self_, options, shards_, hosts_, messages_},
      client_{self_, data_centre_, options, shards_, hosts_, messages_, decisions_},
      policy_{self_,  data_centre_,  options,           shards_,
              hosts_, shard_server_, mix_hash(seed, 1), records_} {}

void claim_host::on_record(time_ms now, std::uint64_t offset, const claims_record& record) {
  const auto* delegation = std::get_if<claim_delegation>(&record.body);
  shard_status before;
  if (delegation != nullptr)
    if (const shard_status* status = shards_.find(delegation->shard))
      before = *status;
  if (!shards_.apply(now, offset, record) || delegation == nullptr)
    return;
  const shard_status& after = *shards_.find(delegation->shard);
  shard_server_.on_delegation(now, before, after);
  const bool lacks_claims = before.epoch != 0 && after.known_since > before.known_since;
  client_.on_new_epoch(now, after.shard, lacks_claims);
  deliver_local(now);
}

void claim_host::on_message(time_ms now, const incarnation& from, const claims_message& message) {
  deliver(now, from, message);
  deliver_local(now);
}

void claim_host::deliver(time_ms now, const incarnation& from, const claims_message& message) {
  std::visit(
      overloaded{[&](const claim_request& m) { shard_server_.on_request(now, m); },
                 [&](const claim_reply& m) { client_.on_reply(now, m); },
                 [&](const countersign_request& m) { shard_server_.on_countersign(now, from, m); },
                 [&](const countersign_reply& m) { shard_server_.on_countersigned(now, m); },
                 [&](const claim_report& m) { shard_server_.on_report(now, m); },
                 [&](const claim_report_ack& m) { client_.reporter().on_report_ack(m); },
                 [&](const table_part& m) { shard_server_.on_part(now, from, m); },
                 [&](const table_part_ack& m) { shard_server_.on_part_ack(m); },
                 [&](const epoch_seen& m) { shard_server_.on_epoch_seen(now, from, m); },
                 [&](const replica_put& m) { client_.on_replica_put(from, m); },
                 [&](const replica_stored& m) { client_.reporter().on_replica_stored(m); },
                 [&](const replica_fetch& m) { client_.on_replica_fetch(from, m); },
                 [&](const replica_reply& m) { client_.on_replica_reply(now, m); }},
      message);
}

// This host is often entry host and holder or witness of the same claim. Messages to itself are
// delivered directly, without the network.
void claim_host::deliver_local(time_ms now) {
  for (std::size_t i = 0; i < messages_.size(); ++i) {
    if (!same_process(messages_[i].to, self_))
      continue;
    const claims_message own = std::move(messages_[i].message);
    messages_[i].to = {};
    deliver(now, self_, own);
  }
  std::erase_if(messages_, [](const auto& message) { return message.to.host.empty(); });
}

void claim_host::on_members(time_ms now, const std::vector<live_host>& hosts) {
  hosts_.update(now, hosts);
  shards_.note_running(now, hosts);
}

void claim_host::on_ended(time_ms now, const incarnation& who) {
  shards_.note_ended(now, who);
}

void claim_host::tick(time_ms now) {
  if (now >= next_observation_) {
    next_observation_ = now + observation_interval;
    shards_.note_running(now, hosts_.all());
  }
  shard_server_.tick(now);
  client_.tick(now);
  policy_.tick(now);
  deliver_local(now);
}

// Shards held by this host are preferred because they save a message to another holder.
std::optional<std::string> claim_host::mint_key(time_ms) {
  std::vector<const shard_status*> held;
  std::vector<const shard_status*> usable;
  for (std::uint32_t i = 0; i < options_.shards_per_data_centre; ++i) {
    const shard_status* status = shards_.find({data_centre_, true, i});
    if (status == nullptr || !hosts_.is_live(status->holder))
      continue;
    usable.push_back(status);
    if (status->holder == self_)
      held.push_back(status);
  }
  const auto& candidates = held.empty() ? usable : held;
  if (candidates.empty())
    return std::nullopt;
  const shard_status& chosen = *candidates[random_.below(candidates.size())];
  return format_key({data_centre_, chosen.shard.index, chosen.mark, random_()});
}

std::uint64_t claim_host::begin(time_ms now, const claimed_request& request) {
  const std::uint64_t ticket = client_.begin(now, request, false);
  deliver_local(now);
  return ticket;
}

std::uint64_t claim_host::look_up(time_ms now, const team_id& team, const std::string& key) {
  const std::uint64_t ticket = client_.begin(now, {team, key, 0, false, false}, true);
  deliver_local(now);
  return ticket;
}

void claim_host::progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                          std::uint64_t position, std::uint32_t run_attempt) {
  client_.progress(now, ticket, endpoint, position, run_attempt);
}

void claim_host::finish_answered(time_ms now, std::uint64_t ticket, const retained_answer& answer) {
  client_.finish_answered(now, ticket, answer);
  deliver_local(now);
}

void claim_host::finish_refused(time_ms now, std::uint64_t ticket, error_kind kind) {
  client_.finish_refused(now, ticket, kind);
  deliver_local(now);
}

void claim_host::finish_unknown(time_ms now, std::uint64_t ticket) {
  client_.finish_unknown(now, ticket);
  deliver_local(now);
}

claims_output claim_host::take_output() {
  return {std::exchange(messages_, {}), std::exchange(records_, {}), std::exchange(decisions_, {})};
}

claim_description claim_host::describe(const team_id& team, const std::string& key) {
  const claim_id id{team, key};
  const claim_shard shard = shard_of(id, options_);
  claim_description description;
  if (const shard_status* status = shards_.find(shard)) {
    description.holder = status->holder;
    description.witness = status->witness;
    description.epoch = status->epoch;
  }
  const claim* running = client_.running(id);
  const auto known = running != nullptr ? std::optional{*running} : shard_server_.find(shard, id);
  if (known && known->state != request_state::refused) {
    description.known = true;
    description.state = known->state;
    description.attempt = known->attempt;
    description.entry = known->entry;
  }
  const retained_answer* answer = client_.answers().find(id);
  description.answer_retained = answer != nullptr && answer->complete;
  return description;
}

const retained_answer* claim_host::retained(const team_id& team, const std::string& key) {
  return client_.answers().find({team, key});
}

claims_statistics claim_host::statistics(time_ms now) const {
  claims_statistics sum;
  for (const auto& [shard, status] : shards_.all()) {
    sum.shards_held += status.holder == self_ ? 1 : 0;
    sum.shards_witnessed += status.witness == self_ ? 1 : 0;
    sum.shards_with_unknown_claims += shards_.has_unknown_claims(now, status) ? 1 : 0;
    sum.shards_without_holder += hosts_.is_live(status.holder) ? 0 : 1;
  }
  sum.stored_claims = shard_server_.stored_claims();
  sum.open_requests = client_.open_requests();
  sum.retained_answers = client_.answers().size();
  sum.retained_bytes = client_.answers().bytes();
  sum.evicted_answers = client_.answers().evicted();
  return sum;
}

void claim_host::restore(time_ms now, const claims_snapshot& snapshot) {
  const std::map<claim_shard, shard_status> before = shards_.all();
  shards_.restore(now, snapshot);
  for (const auto& [shard, after] : shards_.all()) {
    const auto known = before.find(shard);
    if (known == before.end() || known->second.epoch != after.epoch)
      shard_server_.on_gap(after);
  }
}

void claim_host::drain(time_ms) {
  policy_.drain();
}

bool claim_host::drained() const {
  return policy_.drained() && client_.idle();
}

} // namespace sedgechute
