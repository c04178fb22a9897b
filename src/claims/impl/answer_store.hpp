#pragma once

#include "claims/impl/claim.hpp"

#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief An answer, or how far a streamed one has come.
struct retained_answer {
  bool complete{};
  std::uint32_t attempt{};
  endpoint_id endpoint;
  std::uint64_t position{}; ///< tokens passed on to the caller, while not complete
  int status{};             ///< HTTP status, once complete
  std::string content_type;
  std::string body;
  std::uint32_t run_attempt{}; ///< attempt under which the endpoint knows the run

  bool operator==(const retained_answer&) const = default;
};

/// \brief Answers and stream positions within a memory bound. When it is full, the team that uses
/// most of it loses its least recently used entry, so no team can evict the others'.
class answer_store {
 public:
  /// \param bytes  bound on everything stored, overhead included
  /// \param largest  a body longer than this is not kept
  answer_store(std::size_t bytes, std::size_t max_body_bytes)
      : capacity_{bytes}, max_body_bytes_{max_body_bytes} {}

  /// \brief Stores or advances an entry. A complete answer is never replaced by a position, nor a
  /// later attempt's by an earlier one's.
  void put(const claim_id& id, const retained_answer& answer);
  /// \returns the entry, or null; makes it the most recently used one of its team
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
