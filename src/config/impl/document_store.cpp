#include "config/impl/document_store.hpp"

#include "config/impl/document_semantics.hpp"

namespace sedgechute {
namespace {

[[nodiscard]] bool is_newer_schema(std::string_view body) {
  try {
    const json_node root = parse_json(body);
    const json_node* schema = root.find("schema");
    return schema != nullptr && schema->type == json_type::integer &&
           schema->integer > current_schema;
  } catch (const error&) {
    return false;
  }
}

[[nodiscard]] publish_outcome outcome_for(std::uint64_t offset, const document_record& record,
                                          publish_verdict verdict, std::string reason) {
  publish_outcome outcome;
  outcome.record_id = record.record_id;
  outcome.offset = offset;
  outcome.kind = record.kind;
  outcome.name = record.name;
  outcome.replaces = record.replaces;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

} // namespace

document_revision document_store::revision_of(document_kind kind, std::string_view name) const {
  if (kind == document_kind::contract)
    return contracts_.revision_of(name);
  return fleet_ == nullptr || name != fleet_document_name ? 0 : fleet_->revision;
}

document_store::judgement document_store::judge(const document_record& record,
                                                const committed_tokens& committed) const {
  judgement result;
  const document_revision current = revision_of(record.kind, record.name);
  // A copy of a record may lie in the network or with an operator for any time. Its outcome is
  // remembered for the window only; a copy that comes later could otherwise take effect although
  // its first copy did not, and bring back what was decided against.
  if (record.based_on > sequence_ || sequence_ - record.based_on >= outcomes_.size()) {
    result.verdict = publish_verdict::expired;
    result.reason = "written too long ago; look at the revision in force and publish again";
  } else if (record.replaces != current) {
    result.verdict = publish_verdict::conflict;
    result.reason = "replaces revision " + std::to_string(record.replaces) + ", but " +
                    std::to_string(current) + " is in force";
  } else if (is_newer_schema(record.body)) {
    result.verdict = publish_verdict::unreadable;
    result.reason = "its schema is newer than this program";
  } else if (record.kind == document_kind::contract) {
    judge_contract(record, committed, result);
  } else {
    judge_fleet(record, result);
  }
  return result;
}

void document_store::judge_contract(const document_record& record,
                                    const committed_tokens& committed, judgement& result) const {
  auto checked = check_contract("", record.body);
  if (!checked) {
    result.reason = to_text(checked.problems);
    return;
  }
  const contract& agreed = *checked.value;
  if (agreed.team.str() != record.name)
    result.reason = "/team: is not \"" + record.name + "\", the name it is published under";
  else if (fleet_ == nullptr)
    result.reason = "there are no fleet settings yet; publish them first";
  else
    result.reason = misfit(agreed, fleet_->value);
  if (result.reason.empty())
    result.reason = contracts_.clash(agreed);
  if (result.reason.empty())
    result.reason = share_misfit(contracts_.share_sum_with(agreed), fleet_->value);
  const std::int64_t bought = bought_tokens(agreed);
  const std::int64_t taken = committed ? committed(agreed.team) : 0;
  if (result.reason.empty() && bought < taken)
    result.reason = "/top_ups: " + std::to_string(bought) + " tokens bought, but " +
                    std::to_string(taken) + " are spent or handed out already";
  if (!result.reason.empty())
    return;
  result.verdict = publish_verdict::in_force;
  result.agreed = std::move(checked.value);
}

void document_store::judge_fleet(const document_record& record, judgement& result) const {
  auto checked = check_fleet_settings("", record.body);
  if (!checked) {
    result.reason = to_text(checked.problems);
    return;
  }
  if (record.name != fleet_document_name)
    result.reason = "fleet settings are published under the name \"fleet\"";
  else
    result.reason = share_misfit(contracts_.share_sum(), *checked.value);
  contracts_.for_each_terms([&result, &checked](const contract& terms) {
    if (!result.reason.empty())
      return;
    const std::string reason = misfit(terms, *checked.value);
    if (!reason.empty())
      result.reason = "a contract in force would no longer fit: " + reason;
  });
  if (!result.reason.empty())
    return;
  result.verdict = publish_verdict::in_force;
  result.fleet = std::move(checked.value);
}

std::uint64_t document_store::record_hash_of(document_kind kind, std::string_view name) const {
  if (kind == document_kind::contract)
    return contracts_.record_hash_of(name);
  return name == fleet_document_name ? fleet_record_hash_ : 0;
}

std::optional<publish_outcome>
document_store::earlier_outcome(const document_record& record) const {
  if (const auto* earlier = outcomes_.find(record.record_id))
    return *earlier;
  const document_revision current = revision_of(record.kind, record.name);
  if (current == 0 || record_hash_of(record.kind, record.name) != stable_hash(record.record_id))
    return std::nullopt;
  // The record in force is known by its hash for as long as it is, also after its outcome is gone.
  publish_outcome outcome = outcome_for(current, record, publish_verdict::in_force, {});
  outcome.current = current;
  return outcome;
}

publish_outcome document_store::preview(const document_record& record,
                                        const committed_tokens& committed) const {
  if (auto earlier = earlier_outcome(record))
    return *std::move(earlier);
  judgement result = judge(record, committed);
  publish_outcome outcome = outcome_for(0, record, result.verdict, std::move(result.reason));
  outcome.current = revision_of(record.kind, record.name);
  return outcome;
}

applied_document document_store::apply(std::uint64_t offset, const document_record& record,
                                       const committed_tokens& committed) {
  if (offset <= last_offset_)
    return known(record, offset);
  if (const auto earlier = earlier_outcome(record)) {
    applied_document repeat{*earlier, true, false, nullptr, nullptr};
    advance(offset, record, repeat.outcome, true);
    return repeat;
  }
  return enforce(offset, record, judge(record, committed));
}

// The host was cut off from the log and got this record from a peer. It is past it by now, and
// must not go back; the ledger still needs what the record decided at this place of the log.
applied_document document_store::known(const document_record& record, std::uint64_t offset) const {
  const auto earlier = earlier_outcome(record);
  const auto* passed = tail_.at(offset);
  if (!earlier && passed == nullptr)
    throw error{error_kind::internal,
                "record " + record.record_id + " at " + std::to_string(offset),
                "lies before " + std::to_string(last_offset_) +
                    " and its outcome is no longer kept; restore the ledger from a checkpoint"};
  applied_document result;
  result.relayed = true;
  result.outcome =
      earlier ? *earlier : outcome_for(offset, record, passed->verdict, passed->reason);
  result.repeated = result.outcome.offset != offset || (passed != nullptr && passed->repeated);
  if (result.repeated || result.outcome.verdict != publish_verdict::in_force)
    return result;
  if (record.kind == document_kind::contract) {
    if (auto read = check_contract("", record.body))
      result.agreed = std::make_shared<const revised<contract>>(
          revised<contract>{offset, std::move(*read.value)});
  } else if (auto read = check_fleet_settings("", record.body)) {
    result.fleet = std::make_shared<const revised<fleet_settings>>(
        revised<fleet_settings>{offset, std::move(*read.value)});
  }
  return result;
}

applied_document document_store::enforce(std::uint64_t offset, const document_record& record,
                                         judgement result) {
  applied_document done;
  done.outcome = outcome_for(offset, record, result.verdict, std::move(result.reason));
  const std::uint64_t record_hash = stable_hash(record.record_id);
  if (result.agreed) {
    keep_image(record.name);
    contracts_.put(offset, record_hash, *result.agreed);
    done.agreed = contracts_.find(record.name);
  } else if (result.fleet) {
    fleet_ = std::make_shared<const revised<fleet_settings>>(
        revised<fleet_settings>{offset, std::move(*result.fleet)});
    fleet_record_hash_ = record_hash;
    done.fleet = fleet_;
  }
  unreadable_ = unreadable_ || result.verdict == publish_verdict::unreadable;
  done.outcome.current = revision_of(record.kind, record.name);
  outcomes_.add(done.outcome);
  advance(offset, record, done.outcome, false);
  return done;
}

void document_store::advance(std::uint64_t offset, const document_record& record,
                             const publish_outcome& outcome, bool repeated) {
  tail_.add({record, offset, last_offset_, outcome.verdict, outcome.reason, repeated});
  last_offset_ = offset;
  ++sequence_;
}

relay_result document_store::accept(const relayed_document& relayed) {
  if (relayed.offset <= last_offset_) {
    const auto* own = tail_.at(relayed.offset);
    const bool same = own == nullptr || (own->record.record_id == relayed.record.record_id &&
                                         own->verdict == relayed.verdict);
    return same ? relay_result::known : relay_result::diverged;
  }
  if (relayed.previous != last_offset_)
    return relay_result::gap;
  if (const auto earlier = earlier_outcome(relayed.record)) {
    if (earlier->verdict != relayed.verdict)
      return relay_result::diverged;
    advance(relayed.offset, relayed.record, *earlier, true);
    return relay_result::applied;
  }
  judgement own = judge(relayed.record, {});
  if (own.verdict == publish_verdict::in_force && relayed.verdict == publish_verdict::invalid) {
    // Only the budget, which isn't checked here, can make that difference.
    own = {};
    own.reason = relayed.reason;
  }
  const bool newer_here = own.verdict == publish_verdict::unreadable;
  if (own.verdict != relayed.verdict && !newer_here)
    return relay_result::diverged;
  enforce(relayed.offset, relayed.record, std::move(own));
  return relay_result::applied;
}

const publish_outcome* document_store::outcome_of(std::string_view record_id) const {
  return outcomes_.find(record_id);
}

contract_ptr document_store::contract_of(const team_id& team) {
  return contracts_.find(team.str());
}

contract_ptr document_store::authenticate(std::string_view bearer) {
  return contracts_.authenticate(bearer);
}

std::string document_store::body_of(document_kind kind, std::string_view name) {
  if (kind == document_kind::contract) {
    const auto agreed = contracts_.find(name);
    return agreed == nullptr ? "" : to_text(contract_table().write(agreed->value));
  }
  if (fleet_ == nullptr || name != fleet_document_name)
    return {};
  return to_text(fleet_settings_table().write(fleet_->value));
}

std::uint64_t document_store::digest() const {
  std::uint64_t hash = mix_hash(contracts_.digest(), outcomes_.digest());
  hash = mix_hash(hash, last_offset_);
  hash = mix_hash(hash, sequence_);
  if (fleet_ == nullptr)
    return hash;
  return mix_hash(mix_hash(hash, fleet_->revision), fleet_record_hash_);
}

} // namespace sedgechute
