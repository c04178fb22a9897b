#pragma once

#include "claims/impl/stored_key.hpp"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Maps names that occur in many claims to small consecutive numbers, to save memory.
template <typename Name>
class name_interner {
 public:
  /// \returns the number of `name`, assigned on first use
  [[nodiscard]] std::uint32_t intern(const Name& name) {
    const auto [place, is_new] =
        numbers_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
    if (is_new)
      names_.push_back(name);
    return place->second;
  }
  /// \returns the number of `name`, or null if it has none
  [[nodiscard]] const std::uint32_t* find(const Name& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? nullptr : &found->second;
  }
  [[nodiscard]] const Name& name_of(std::uint32_t number) const { return names_[number]; }

 private:
  struct hash {
    std::size_t operator()(const team_id& id) const noexcept { return stable_hash(id.str()); }
    std::size_t operator()(const incarnation& who) const noexcept {
      return mix_hash(stable_hash(who.host.str()), who.number);
    }
  };
  std::unordered_map<Name, std::uint32_t, hash> numbers_;
  std::deque<Name> names_;
};

/// \brief Names and counts of claims, shared by all claim tables of a host.
struct claim_pool {
  name_interner<team_id> teams;
  name_interner<incarnation> hosts;
  std::vector<std::size_t> claims_by_team; ///< indexed by the team's number
  std::size_t claims{0};
};

/// \brief Fields of a claim that are set only from the second attempt on.
struct earlier_attempts {
  std::uint32_t resume_from{};
  std::vector<std::uint32_t> unfinished;
};

/// \brief A claim without its key, in compact form: a host stores some hundred thousand of them.
struct packed_claim {
  std::uint64_t fingerprint{};
  std::uint64_t ticket{};
  std::unique_ptr<earlier_attempts> earlier; ///< null if there were none
  std::uint32_t touched_s{}; ///< local time of the last change, rounded up to whole seconds
  std::uint32_t team{};
  std::uint32_t entry{};
  std::uint32_t peer{};
  std::uint32_t attempt{};
  std::uint8_t state{}; ///< a `request_state`
  bool idempotent{};
  bool may_have_run{};
};

[[nodiscard]] packed_claim pack(const claim& unpacked, time_ms touched, claim_pool& pool);
/// \param key  text of the key, which the packed form lacks
[[nodiscard]] claim unpack(const packed_claim& packed, std::string key, const claim_pool& pool);
[[nodiscard]] time_ms touched_at(const packed_claim& packed) noexcept;
[[nodiscard]] request_state state_of(const packed_claim& packed) noexcept;

} // namespace sedgechute
