#include "claims/impl/packed_claim.hpp"

namespace sedgechute {

packed_claim pack(const claim& unpacked, time_ms touched, claim_pool& pool) {
  packed_claim packed;
  packed.key = unpacked.id.key;
  packed.fingerprint = unpacked.fingerprint;
  packed.ticket = unpacked.ticket;
  packed.touched = touched;
  packed.team = pool.teams.number_of(unpacked.id.team);
  packed.entry = pool.hosts.number_of(unpacked.entry);
  packed.peer = pool.hosts.number_of(unpacked.peer);
  packed.resume_from = pool.hosts.number_of(unpacked.resume_from);
  packed.attempt = unpacked.attempt;
  packed.state = unpacked.state;
  packed.idempotent = unpacked.idempotent;
  packed.may_have_run = unpacked.may_have_run;
  for (const incarnation& who : unpacked.unfinished)
    packed.unfinished.push_back(pool.hosts.number_of(who));
  return packed;
}

claim unpack(const packed_claim& packed, const claim_pool& pool) {
  claim unpacked;
  unpacked.id = {pool.teams.name_of(packed.team), packed.key};
  unpacked.fingerprint = packed.fingerprint;
  unpacked.ticket = packed.ticket;
  unpacked.entry = pool.hosts.name_of(packed.entry);
  unpacked.peer = pool.hosts.name_of(packed.peer);
  unpacked.resume_from = pool.hosts.name_of(packed.resume_from);
  unpacked.attempt = packed.attempt;
  unpacked.state = packed.state;
  unpacked.idempotent = packed.idempotent;
  unpacked.may_have_run = packed.may_have_run;
  for (const std::uint32_t who : packed.unfinished)
    unpacked.unfinished.push_back(pool.hosts.name_of(who));
  return unpacked;
}

} // namespace sedgechute
