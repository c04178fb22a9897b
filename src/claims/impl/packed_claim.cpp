#include "claims/impl/packed_claim.hpp"

#include <utility>

namespace sedgechute {

namespace {

constexpr std::int64_t ms_per_s = 1000;

} // namespace

packed_claim pack(const claim& unpacked, time_ms touched, claim_pool& pool) {
  packed_claim packed;
  packed.fingerprint = unpacked.fingerprint;
  packed.ticket = unpacked.ticket;
  packed.touched_s = static_cast<std::uint32_t>((touched.count() + ms_per_s - 1) / ms_per_s);
  packed.team = pool.teams.intern(unpacked.id.team);
  packed.entry = pool.hosts.intern(unpacked.entry);
  packed.peer = pool.hosts.intern(unpacked.peer);
  packed.attempt = unpacked.attempt;
  packed.state = static_cast<std::uint8_t>(unpacked.state);
  packed.idempotent = unpacked.idempotent;
  packed.may_have_run = unpacked.may_have_run;
  if (unpacked.resume_from.host.empty() && unpacked.unfinished.empty())
    return packed;
  packed.earlier = std::make_unique<earlier_attempts>();
  packed.earlier->resume_from = pool.hosts.intern(unpacked.resume_from);
  for (const incarnation& who : unpacked.unfinished)
    packed.earlier->unfinished.push_back(pool.hosts.intern(who));
  return packed;
}

claim unpack(const packed_claim& packed, std::string key, const claim_pool& pool) {
  claim unpacked;
  unpacked.id = {pool.teams.name_of(packed.team), std::move(key)};
  unpacked.fingerprint = packed.fingerprint;
  unpacked.ticket = packed.ticket;
  unpacked.entry = pool.hosts.name_of(packed.entry);
  unpacked.peer = pool.hosts.name_of(packed.peer);
  unpacked.attempt = packed.attempt;
  unpacked.state = state_of(packed);
  unpacked.idempotent = packed.idempotent;
  unpacked.may_have_run = packed.may_have_run;
  if (packed.earlier == nullptr)
    return unpacked;
  unpacked.resume_from = pool.hosts.name_of(packed.earlier->resume_from);
  for (const std::uint32_t who : packed.earlier->unfinished)
    unpacked.unfinished.push_back(pool.hosts.name_of(who));
  return unpacked;
}

request_state state_of(const packed_claim& packed) noexcept {
  return static_cast<request_state>(packed.state);
}

time_ms touched_at(const packed_claim& packed) noexcept {
  return time_ms{packed.touched_s * ms_per_s};
}

} // namespace sedgechute
