#include "claims/impl/delegation_policy.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms evaluation_interval{200};

std::vector<claim_shard> shards_of(const data_centre_id& data_centre,
                                   const claims_options& options) {
  std::vector<claim_shard> shards;
  for (std::uint32_t i = 0; i < options.unpinned_shards; ++i)
    shards.push_back({data_centre_id{}, false, i});
  for (std::uint32_t i = 0; i < options.shards_per_data_centre; ++i) {
    shards.push_back({data_centre, false, i});
    shards.push_back({data_centre, true, i});
  }
  return shards;
}

} // namespace

delegation_policy::delegation_policy(incarnation self, data_centre_id data_centre,
                                     const claims_options& options, const shard_map& shards,
                                     host_list& hosts, shard_server& server, std::uint64_t seed,
                                     std::vector<claims_record>& records)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}, options_{options},
      shards_{&shards}, hosts_{&hosts}, shard_server_{&server}, random_{seed}, records_{&records},
      creatable_shards_{shards_of(data_centre_, options)} {}

void delegation_policy::tick(time_ms now) {
  if (!first_evaluation_) {
    first_evaluation_ = now + options_.startup_wait;
    next_balance_ = *first_evaluation_ + options_.balance_interval;
  }
  if (now < *first_evaluation_ || now < next_evaluation_)
    return;
  next_evaluation_ = now + evaluation_interval;
  loads_.clear();
  for (const claim_shard& shard : creatable_shards_)
    if (shards_->find(shard) == nullptr)
      evaluate_unassigned(now, shard);
  for (const auto& [shard, status] : shards_->all())
    evaluate_shard(now, status);
  if (now >= next_balance_) {
    const auto interval = static_cast<std::uint64_t>(options_.balance_interval.count());
    // Randomised, so that hosts balance at different times and see the moves of the others.
    next_balance_ =
        now + time_ms{static_cast<std::int64_t>(interval / 2 + random_.below(interval))};
    balance(now);
  }
}

void delegation_policy::evaluate_unassigned(time_ms now, const claim_shard& shard) {
  if (draining_ || !is_initiator(shard, shard.data_centre))
    return;
  propose(now, shard, claim_delegation{shard, 0, self_, pick_witness(shard, self_), 0});
}

void delegation_policy::evaluate_shard(time_ms now, const shard_status& status) {
  if (same_process(status.holder, self_))
    evaluate_as_holder(now, status);
  else if (same_process(status.witness, self_))
    evaluate_as_witness(now, status);
  else
    evaluate_lost(now, status);
}

void delegation_policy::evaluate_as_holder(time_ms now, const shard_status& status) {
  if (shard_server_->has_log_gap(status.shard)) {
    propose(
        now, status.shard,
        claim_delegation{status.shard, status.epoch, self_, pick_witness(status.shard, self_), 0});
    return;
  }
  if (draining_ && hand_over(now, status))
    return;
  if (is_missing(now, status.witness, options_.replacement_wait) || !is_usable(status.witness)) {
    const incarnation witness = pick_witness(status.shard, self_);
    // A holder whose witness is lost grants nothing until it has read the record of another one. If
    // there is no other host, it continues without a witness.
    const bool alone =
        hosts_->all().size() <= 1 && is_missing(now, status.witness, options_.single_host_wait);
    if (witness != status.witness && (!witness.host.empty() || alone)) {
      propose(now, status.shard,
              claim_delegation{status.shard, status.epoch, self_, witness, status.known_since});
      return;
    }
  }
  const std::uint64_t recovered = shard_server_->recovered_since(status.shard);
  if (recovered != 0 && recovered < status.known_since) {
    propose(now, status.shard,
            claim_delegation{status.shard, status.epoch, self_, status.witness, recovered});
    return;
  }
  rotate_if_due(now, status);
}

// The missing holder may only be paused or cut off from this host, so the epoch is sealed first:
// when the holder resumes, its next claim is refused.
void delegation_policy::evaluate_as_witness(time_ms now, const shard_status& status) {
  if (!shard_server_->is_sealed(status.shard)) {
    const bool alone = hosts_->all().size() <= 1;
    if (!is_missing(now, status.holder,
                    alone ? options_.single_host_wait : options_.replacement_wait))
      return;
    shard_server_->seal(status.shard);
  }
  const incarnation witness = pick_witness(status.shard, self_);
  const std::uint64_t known_since =
      shard_server_->is_complete(status.shard) ? status.known_since : status.epoch;
  propose(now, status.shard,
          claim_delegation{status.shard, status.epoch, self_, witness, known_since});
}

// Holder and witness are only believed lost, so the new epoch lacks the claims that they granted
// and may still grant. Only a host of their data centre may begin such an epoch: for other data
// centres they may merely be cut off, and their own would lose its holder for no reason. The new
// holder needs a witness, and `empty_epoch_interval` must pass between such epochs. Otherwise two
// parts of a data centre that reach the log but not each other would keep taking the shard from
// each other. Once both are proven to have ended, any host may begin the epoch.
void delegation_policy::evaluate_lost(time_ms now, const shard_status& status) {
  const bool both_missing = is_missing(now, status.holder, options_.pair_replacement_wait) &&
                            is_missing(now, status.witness, options_.pair_replacement_wait);
  if (!both_missing || draining_)
    return;
  const time_ms age = epoch_age(now, status);
  const bool ended = both_ended(now, status);
  const bool is_empty_epoch = status.claims_unknown && status.known_since == status.epoch;
  if (!ended && is_empty_epoch && age < options_.empty_epoch_interval)
    return;
  data_centre_id among = status.shard.data_centre;
  const data_centre_id* last = hosts_->last_data_centre(status.holder.host);
  if (among.empty() && !ended && last != nullptr)
    among = *last;
  const incarnation witness = pick_witness(status.shard, self_);
  if (is_initiator(status.shard, among) && (ended || !witness.host.empty()))
    propose(now, status.shard, claim_delegation{status.shard, status.epoch, self_, witness, 0});
}

bool delegation_policy::both_ended(time_ms now, const shard_status& status) const {
  const auto ended = [&](const incarnation& who) {
    return who.host.empty() || shards_->has_ended(now, who);
  };
  return ended(status.holder) && ended(status.witness);
}

time_ms delegation_policy::epoch_age(time_ms now, const shard_status& status) {
  seen_number& seen = epochs_[status.shard];
  if (seen.number != status.epoch)
    seen = {status.epoch, now};
  return now - seen.since;
}

void delegation_policy::rotate_if_due(time_ms now, const shard_status& status) {
  seen_number& seen = marks_[status.shard];
  if (seen.number != status.mark)
    seen = {status.mark, now};
  if (status.shard.minted && now - seen.since >= options_.rotation_period)
    propose(now, status.shard, claim_rotation{status.shard, status.mark});
}

bool delegation_policy::hand_over(time_ms now, const shard_status& status) {
  if (!is_usable(status.witness) || !shard_server_->witness_is_complete(status.shard))
    return false;
  const incarnation witness = pick_witness(status.shard, status.witness);
  propose(now, status.shard,
          claim_delegation{status.shard, status.epoch, status.witness,
                           witness.host.empty() ? self_ : witness, status.known_since});
  return true;
}

// Moves one shard at a time to hosts with fewer of them, such as those that started later.
void delegation_policy::balance(time_ms now) {
  if (draining_)
    return;
  for (const auto& [shard, status] : shards_->all()) {
    if (status.holder != self_ || !is_usable(status.witness) ||
        !shard_server_->witness_is_complete(shard))
      continue;
    const load theirs = load_of(status.witness);
    if (theirs.holds + 1 < load_of(self_).holds) {
      propose(now, shard,
              claim_delegation{shard, status.epoch, status.witness, self_, status.known_since});
      return;
    }
    const incarnation less_loaded = less_loaded_witness(theirs.sum());
    if (!less_loaded.host.empty()) {
      propose(now, shard,
              claim_delegation{shard, status.epoch, self_, less_loaded, status.known_since});
      return;
    }
  }
}

// The choice of a witness changes with the loads, that is, with every record read. While the
// witness of the previous proposal is usable, that proposal is repeated, which saves log records.
delegation_policy::record_body delegation_policy::reuse_witness(const proposal& earlier,
                                                                const record_body& wanted) const {
  const auto* before = std::get_if<claim_delegation>(&earlier.record.body);
  const auto* now = std::get_if<claim_delegation>(&wanted);
  if (before == nullptr || now == nullptr || !is_usable(before->witness))
    return wanted;
  claim_delegation same = *now;
  same.witness = before->witness;
  return same == *before ? record_body{same} : wanted;
}

// The result of an append isn't reliable, because it may be lost after the record was stored. The
// same record is appended repeatedly until the shard's status read back from the log has changed.
void delegation_policy::propose(time_ms now, const claim_shard& shard, const record_body& wanted) {
  const auto found = proposals_.find(shard);
  const record_body body =
      found == proposals_.end() ? wanted : reuse_witness(found->second, wanted);
  const bool same = found != proposals_.end() && found->second.record.body == body;
  if (same && now < found->second.next_append)
    return;
  proposal& current = proposals_[shard];
  if (!same)
    current.record = {random_(), body};
  current.next_append = now + options_.append_interval;
  records_->push_back(current.record);
}

std::vector<const live_host*>
delegation_policy::possible_witnesses(const incarnation& holder) const {
  const live_host* of_holder = hosts_->find(holder);
  const data_centre_id& wanted = of_holder == nullptr ? data_centre_ : of_holder->data_centre;
  std::vector<const live_host*> here;
  std::vector<const live_host*> elsewhere;
  for (const live_host& host : hosts_->all()) {
    if (host.who == holder || host.leaving || (draining_ && host.who == self_))
      continue;
    (host.data_centre == wanted ? here : elsewhere).push_back(&host);
  }
  return here.empty() ? elsewhere : here;
}

// After the loss of a host, many holders choose a new witness at the same time. If all chose the
// least loaded host, it would get every shard. Instead, rendezvous hashing of the shard's name
// yields two hosts, and the less loaded one is chosen. This balances nearly as well as choosing
// among all hosts, and different shards compare different hosts.
incarnation delegation_policy::pick_witness(const claim_shard& shard, const incarnation& holder) {
  const std::uint64_t name = stable_hash(shard_name(shard));
  std::vector<const live_host*> possible = possible_witnesses(holder);
  const auto weighs_less = [&](const live_host* a, const live_host* b) {
    return mix_hash(name, a->who.number) < mix_hash(name, b->who.number);
  };
  constexpr std::size_t choices = 2;
  const std::size_t count = std::min(choices, possible.size());
  const auto last = possible.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(possible.begin(), last, possible.end(), weighs_less);
  const auto best = std::min_element(possible.begin(), last, [&](const auto* a, const auto* b) {
    return load_of(a->who).sum() < load_of(b->who).sum();
  });
  return best == last ? incarnation{} : (*best)->who;
}

// Chooses the less loaded of two random candidates. If it were the least loaded of all, every
// holder with a heavily loaded witness would give it a shard within seconds. It would then be the
// most loaded one, and shards would keep moving.
incarnation delegation_policy::less_loaded_witness(std::size_t than) {
  std::vector<const live_host*> possible = possible_witnesses(self_);
  constexpr std::size_t margin = 2; // a move must not make the new witness the more loaded one
  std::erase_if(possible,
                [&](const auto* host) { return load_of(host->who).sum() + margin >= than; });
  if (possible.empty())
    return {};
  const live_host* const a = possible[random_.below(possible.size())];
  const live_host* const b = possible[random_.below(possible.size())];
  return load_of(a->who).sum() < load_of(b->who).sum() ? a->who : b->who;
}

bool delegation_policy::is_initiator(const claim_shard& shard, const data_centre_id& among) const {
  if (!among.empty() && among != data_centre_)
    return false;
  std::vector<host_id> candidates;
  for (const live_host& host : hosts_->all())
    if (!host.leaving && (among.empty() || host.data_centre == among))
      candidates.push_back(host.who.host);
  const auto chosen = rendezvous(shard_name(shard), candidates, 1);
  return !chosen.empty() && chosen.front() == self_.host;
}

bool delegation_policy::is_missing(time_ms now, const incarnation& who, time_ms wait) {
  return who.host.empty() || hosts_->missing_for(now, who) >= wait;
}

bool delegation_policy::is_usable(const incarnation& who) const {
  const live_host* host = hosts_->find(who);
  return host != nullptr && !host->leaving;
}

delegation_policy::load delegation_policy::load_of(const incarnation& who) {
  if (loads_.empty())
    for (const auto& [shard, status] : shards_->all()) {
      ++loads_[status.holder].holds;
      ++loads_[status.witness].witnesses;
    }
  const auto found = loads_.find(who);
  return found == loads_.end() ? load{} : found->second;
}

bool delegation_policy::drained() const {
  if (hosts_->all().size() <= 1)
    return true;
  return std::none_of(shards_->all().begin(), shards_->all().end(), [&](const auto& entry) {
    return entry.second.holder == self_ || entry.second.witness == self_;
  });
}

} // namespace sedgechute
