#pragma once

#include "claims/impl/claim.hpp"

#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief A complete answer, or the position of a streamed one that is still running.
struct retained_answer {
  bool complete{};
  std::uint32_t attempt{};
  endpoint_id endpoint;
  std::uint64_t position{}; ///< tokens sent to the caller, while not complete
  int status{};             ///< HTTP status, once complete
  std::string content_type;
  std::string body;
  std::uint32_t run_attempt{}; ///< attempt number under which the endpoint started the run

  bool operator==(const retained_answer&) const = default;
};

/// \brief Stores answers and stream positions within a memory bound. When full, it evicts the least
/// recently used entry of the team that uses the most memory, so that a team with many answers
/// cannot evict those of other teams.
class answer_store {
 public:
  /// \param bytes  bound on the memory of all entries, including overhead
  /// \param max_body_bytes  answers with a longer body are not stored
  answer_store(std::size_t bytes, std::size_t max_body_bytes)
      : capacity_{bytes}, max_body_bytes_{max_body_bytes} {}

  /// \brief Inserts or updates an entry. A position never replaces a complete answer, and an
  /// earlier attempt never replaces a later one.
  void put(const claim_id& id, const retained_answer& answer);
  /// \returns the entry, or null; marks it as the most recently used entry of its team
  [[nodiscard]] const retained_answer* find(const claim_id& id);

  [[nodiscard]] std::size_t bytes() const noexcept { return used_; }
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  [[nodiscard]] std::size_t evicted() const noexcept { return evicted_; }

 private:
  struct entry {
    retained_answer answer;
    std::size_t bytes{};
    std::list<const claim_id*>::iterator place;
  };
  struct team_share {
    std::size_t bytes{};
    std::list<const claim_id*> recent; ///< most recently used first; keys of `entries_`
  };

  void charge(const team_id& team, std::size_t added, std::size_t removed);
  void evict_one();

  std::size_t capacity_;
  std::size_t max_body_bytes_;
  std::size_t used_{0};
  std::size_t evicted_{0};
  std::unordered_map<claim_id, entry, claim_id_hash> entries_;
  std::map<team_id, team_share> teams_;
  std::set<std::pair<std::size_t, team_id>> teams_by_bytes_;
};

} // namespace sedgechute
