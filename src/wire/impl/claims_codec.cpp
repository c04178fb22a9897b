#include "wire/impl/claims_codec.hpp"

namespace sedgechute {

namespace {

// Tables regained from an earlier epoch may add to the list.
constexpr int max_unfinished_on_wire = 64;

[[noreturn]] void reject(const char* field, const char* why) {
  throw error{error_kind::malformed_request, std::string{"claims."} + field, why};
}

const std::string& checked(const std::string& text, const char* field,
                           std::size_t longest = max_claims_name) {
  if (text.size() > longest)
    reject(field, "too long");
  return text;
}

const std::string& required(const std::string& text, const char* field,
                            std::size_t longest = max_claims_name) {
  if (text.empty())
    reject(field, "missing");
  return checked(text, field, longest);
}

template <typename E>
E checked_enum(int value, const char* field) {
  const auto result = static_cast<E>(value);
  if (name_of(result) == "?")
    reject(field, "unknown value");
  return result;
}

/// \brief The hosts that a message goes between. Both ends know them, so they aren't named in it.
struct parties {
  incarnation sender;
  incarnation receiver;
};

// Records of the log and checkpoints have no parties.
const parties nobody;

void put(const incarnation& who, wire::claims_incarnation* out) {
  out->set_host(who.host.str());
  out->set_number(who.number);
}

void put(const incarnation& who, const parties& between, wire::claims_incarnation* out) {
  if (who == between.sender)
    out->set_party(wire::PARTY_SENDER);
  else if (who == between.receiver)
    out->set_party(wire::PARTY_RECEIVER);
  else
    put(who, out);
}

incarnation take_any(const wire::claims_incarnation& who, const char* field,
                     const parties& between = nobody) {
  switch (who.party()) {
  case wire::PARTY_SENDER:
    return between.sender;
  case wire::PARTY_RECEIVER:
    return between.receiver;
  default:
    return {host_id{checked(who.host(), field)}, who.number()};
  }
}

incarnation take(const wire::claims_incarnation& who, const char* field,
                 const parties& between = nobody) {
  incarnation taken = take_any(who, field, between);
  if (taken.host.empty())
    reject(field, "missing");
  return taken;
}

void put(const claim_shard& shard, wire::claim_shard* out) {
  out->set_data_centre(shard.data_centre.str());
  out->set_minted(shard.minted);
  out->set_index(shard.index);
}

claim_shard take(const wire::claim_shard& shard) {
  return {data_centre_id{checked(shard.data_centre(), "shard.data_centre")}, shard.minted(),
          shard.index()};
}

void put(const claim& c, const parties& between, wire::claim* out) {
  out->set_team(c.id.team.str());
  if (const auto key = parse_stored_key(c.id.key)) {
    out->mutable_stored()->set_first(key->first);
    out->mutable_stored()->set_second(key->second);
  } else {
    out->set_key(c.id.key);
  }
  out->set_fingerprint(c.fingerprint);
  out->set_idempotent(c.idempotent);
  out->set_attempt(c.attempt);
  put(c.entry, between, out->mutable_entry());
  out->set_ticket(c.ticket);
  if (!c.peer.host.empty())
    put(c.peer, between, out->mutable_peer());
  if (!c.resume_from.host.empty())
    put(c.resume_from, between, out->mutable_resume_from());
  out->set_state(static_cast<wire::claim_state>(c.state));
  out->set_may_have_run(c.may_have_run);
  for (const incarnation& who : c.unfinished)
    put(who, between, out->add_unfinished());
}

claim_id take_id(const std::string& team, const std::string& key) {
  return {team_id{required(team, "team")}, required(key, "key", max_claims_key)};
}

claim take(const wire::claim& c, const parties& between) {
  claim out;
  out.id = take_id(c.team(),
                   c.has_stored() ? text_of({c.stored().first(), c.stored().second()}) : c.key());
  out.fingerprint = c.fingerprint();
  out.idempotent = c.idempotent();
  out.attempt = c.attempt();
  out.entry = take(c.entry(), "entry", between);
  out.ticket = c.ticket();
  out.peer = take_any(c.peer(), "peer", between);
  out.resume_from = take_any(c.resume_from(), "resume_from", between);
  out.state = checked_enum<request_state>(c.state(), "state");
  out.may_have_run = c.may_have_run();
  if (c.unfinished_size() > max_unfinished_on_wire)
    reject("claim.unfinished", "more than any sender packs");
  for (const wire::claims_incarnation& who : c.unfinished())
    out.unfinished.push_back(take(who, "unfinished", between));
  return out;
}

void put(const retained_answer& answer, wire::retained_answer* out) {
  out->set_complete(answer.complete);
  out->set_attempt(answer.attempt);
  out->set_endpoint(answer.endpoint.str());
  out->set_position(answer.position);
  out->set_status(answer.status);
  out->set_content_type(answer.content_type);
  out->set_body(answer.body);
  out->set_run_attempt(answer.run_attempt);
}

retained_answer take(const wire::retained_answer& answer) {
  return {
      answer.complete(), answer.attempt(),    endpoint_id{checked(answer.endpoint(), "endpoint")},
      answer.position(), answer.status(),     checked(answer.content_type(), "content_type"),
      answer.body(),     answer.run_attempt()};
}

struct body_writer {
  wire::claims_body& out;
  const parties& between;

  void operator()(const claim_request& m) const {
    auto* body = out.mutable_request();
    put(m.wanted, between, body->mutable_wanted());
    body->set_answer_lost(m.answer_lost);
    body->set_look_up(m.look_up);
  }
  void operator()(const claim_reply& m) const {
    auto* body = out.mutable_reply();
    body->set_ticket(m.ticket);
    body->set_verdict(static_cast<wire::claim_verdict>(m.verdict));
    body->set_epoch(m.epoch);
    if (m.current)
      put(*m.current, between, body->mutable_current());
  }
  void operator()(const countersign_request& m) const {
    auto* body = out.mutable_countersign();
    body->set_epoch(m.epoch);
    put(m.subject, between, body->mutable_subject());
    body->set_serial(m.serial);
  }
  void operator()(const countersign_reply& m) const {
    auto* body = out.mutable_countersigned();
    put(m.shard, body->mutable_shard());
    body->set_epoch(m.epoch);
    body->set_result(static_cast<wire::countersign_result>(m.result));
    body->set_serial(m.serial);
    if (m.subject)
      put(*m.subject, between, body->mutable_subject());
  }
  void operator()(const claim_report& m) const {
    put(m.subject, between, out.mutable_report()->mutable_subject());
  }
  void operator()(const claim_report_ack& m) const {
    auto* body = out.mutable_report_ack();
    body->set_ticket(m.ticket);
    body->set_state(static_cast<wire::claim_state>(m.state));
    body->set_current(m.current);
  }
  void operator()(const table_part& m) const {
    auto* body = out.mutable_part();
    put(m.shard, body->mutable_shard());
    body->set_epoch(m.epoch);
    body->set_known_since(m.known_since);
    body->set_until(m.until);
    body->set_transfer(m.transfer);
    body->set_part(m.part);
    body->set_parts(m.parts);
    for (const claim& c : m.claims)
      put(c, between, body->add_claims());
  }
  void operator()(const table_part_ack& m) const {
    auto* body = out.mutable_part_ack();
    put(m.shard, body->mutable_shard());
    body->set_epoch(m.epoch);
    body->set_transfer(m.transfer);
    body->set_part(m.part);
  }
  void operator()(const epoch_seen& m) const {
    auto* body = out.mutable_seen();
    put(m.shard, body->mutable_shard());
    body->set_epoch(m.epoch);
  }
  void operator()(const replica_put& m) const {
    auto* body = out.mutable_put();
    body->set_ticket(m.ticket);
    body->set_team(m.id.team.str());
    body->set_key(m.id.key);
    put(m.answer, body->mutable_answer());
  }
  void operator()(const replica_stored& m) const { out.mutable_stored()->set_ticket(m.ticket); }
  void operator()(const replica_fetch& m) const {
    auto* body = out.mutable_fetch();
    body->set_ticket(m.ticket);
    body->set_team(m.id.team.str());
    body->set_key(m.id.key);
  }
  void operator()(const replica_reply& m) const {
    auto* body = out.mutable_fetched();
    body->set_ticket(m.ticket);
    body->set_found(m.found);
    put(m.answer, body->mutable_answer());
  }
};

claim_request take(const wire::claim_request& m, const parties& between) {
  return {take(m.wanted(), between), m.answer_lost(), m.look_up()};
}

claim_reply take(const wire::claim_reply& m, const parties& between) {
  claim_reply out{m.ticket(), checked_enum<claim_verdict>(m.verdict(), "verdict"), m.epoch(), {}};
  if (m.has_current())
    out.current = take(m.current(), between);
  return out;
}

countersign_request take(const wire::countersign_request& m, const parties& between) {
  return {m.epoch(), take(m.subject(), between), m.serial()};
}

countersign_reply take(const wire::countersign_reply& m, const parties& between) {
  countersign_reply out{take(m.shard()),
                        m.epoch(),
                        checked_enum<countersign_result>(m.result(), "result"),
                        m.serial(),
                        {}};
  if (m.has_subject())
    out.subject = take(m.subject(), between);
  return out;
}

claim_report take(const wire::claim_report& m, const parties& between) {
  return {take(m.subject(), between)};
}

claim_report_ack take(const wire::claim_report_ack& m) {
  return {m.ticket(), checked_enum<request_state>(m.state(), "state"), m.current()};
}

table_part take(const wire::table_part& m, const parties& between) {
  if (m.claims_size() > static_cast<int>(max_claims_per_part))
    reject("table_part.claims", "more than any sender packs");
  if (m.parts() > max_table_parts || m.part() >= m.parts())
    reject("table_part.part", "out of range");
  table_part out{take(m.shard()), m.epoch(), m.known_since(), m.until(),
                 m.transfer(),    m.part(),  m.parts(),       {}};
  for (const wire::claim& c : m.claims())
    out.claims.push_back(take(c, between));
  return out;
}

table_part_ack take(const wire::table_part_ack& m) {
  return {take(m.shard()), m.epoch(), m.transfer(), m.part()};
}

claims_message take_body(const wire::claims_body& m, const parties& between) {
  using body = wire::claims_body;
  switch (m.body_case()) {
  case body::kRequest:
    return take(m.request(), between);
  case body::kReply:
    return take(m.reply(), between);
  case body::kCountersign:
    return take(m.countersign(), between);
  case body::kCountersigned:
    return take(m.countersigned(), between);
  case body::kReport:
    return take(m.report(), between);
  case body::kReportAck:
    return take(m.report_ack());
  case body::kPart:
    return take(m.part(), between);
  case body::kPartAck:
    return take(m.part_ack());
  case body::kSeen:
    return epoch_seen{take(m.seen().shard()), m.seen().epoch()};
  case body::kPut:
    return replica_put{m.put().ticket(), take_id(m.put().team(), m.put().key()),
                       take(m.put().answer())};
  case body::kStored:
    return replica_stored{m.stored().ticket()};
  case body::kFetch:
    return replica_fetch{m.fetch().ticket(), take_id(m.fetch().team(), m.fetch().key())};
  case body::kFetched:
    return replica_reply{m.fetched().ticket(), m.fetched().found(), take(m.fetched().answer())};
  case body::BODY_NOT_SET:
    break;
  }
  reject("body", "missing");
}

} // namespace

wire::claims_message to_wire(const claims_envelope& envelope) {
  const parties between{envelope.from, envelope.to};
  wire::claims_message out;
  for (const claims_message& message : envelope.messages)
    std::visit(body_writer{*out.add_bodies(), between}, message);
  return out;
}

std::vector<claims_message> from_wire(const wire::claims_message& message, const incarnation& from,
                                      const incarnation& to) {
  if (message.bodies_size() > static_cast<int>(max_claims_bundle))
    reject("bodies", "more than any sender bundles");
  const parties between{from, to};
  std::vector<claims_message> out;
  for (const wire::claims_body& body : message.bodies())
    out.push_back(take_body(body, between));
  return out;
}

wire::claims_record to_wire(const claims_record& record) {
  wire::claims_record out;
  out.set_id(record.id);
  if (const auto* delegation = std::get_if<claim_delegation>(&record.body)) {
    auto* body = out.mutable_delegation();
    put(delegation->shard, body->mutable_shard());
    body->set_replaces(delegation->replaces);
    put(delegation->holder, body->mutable_holder());
    put(delegation->witness, body->mutable_witness());
    body->set_known_since(delegation->known_since);
    return out;
  }
  const auto& rotation = std::get<claim_rotation>(record.body);
  put(rotation.shard, out.mutable_rotation()->mutable_shard());
  out.mutable_rotation()->set_replaces(rotation.replaces);
  return out;
}

claims_record from_wire(const wire::claims_record& record) {
  if (record.has_delegation()) {
    const auto& body = record.delegation();
    return {record.id(),
            claim_delegation{take(body.shard()), body.replaces(), take(body.holder(), "holder"),
                             take_any(body.witness(), "witness"), body.known_since()}};
  }
  if (record.has_rotation())
    return {record.id(),
            claim_rotation{take(record.rotation().shard()), record.rotation().replaces()}};
  reject("record.body", "missing");
}

wire::claims_snapshot to_wire(const claims_snapshot& snapshot) {
  wire::claims_snapshot out;
  for (const shard_status& status : snapshot.shards) {
    auto* entry = out.add_shards();
    put(status.shard, entry->mutable_shard());
    entry->set_epoch(status.epoch);
    entry->set_mark(status.mark);
    put(status.holder, entry->mutable_holder());
    put(status.witness, entry->mutable_witness());
    entry->set_known_since(status.known_since);
    for (const std::uint64_t mark : status.rotations)
      entry->add_rotations(mark);
    entry->set_blind(status.claims_unknown);
    entry->set_blind_before(status.unknown_from);
    for (const incarnation& who : status.lost)
      put(who, entry->add_lost());
  }
  return out;
}

claims_snapshot from_wire(const wire::claims_snapshot& snapshot) {
  claims_snapshot out;
  for (const wire::shard_status& entry : snapshot.shards()) {
    shard_status status;
    status.shard = take(entry.shard());
    status.epoch = entry.epoch();
    status.mark = entry.mark();
    status.holder = take(entry.holder(), "holder");
    status.witness = take_any(entry.witness(), "witness");
    status.known_since = entry.known_since();
    status.rotations.assign(entry.rotations().begin(), entry.rotations().end());
    status.claims_unknown = entry.blind();
    status.unknown_from = entry.blind_before();
    for (const wire::claims_incarnation& who : entry.lost())
      status.lost.push_back(take(who, "lost"));
    out.shards.push_back(std::move(status));
  }
  return out;
}

} // namespace sedgechute
