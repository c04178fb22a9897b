#pragma once

#include "gateway/impl/answer.hpp"

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace sedgechute {

/// \brief The answer under one key while it is given and for a while after, so that a retry gets
/// the same one. Thread-safe.
class answer_record final : public answer_sink {
 public:
  /// \param total  counts the bytes of all records of a table, of this one for as long as it lives
  explicit answer_record(std::size_t most_bytes,
                         std::shared_ptr<std::atomic<std::size_t>> total = nullptr);
  answer_record(const answer_record&) = delete;
  answer_record& operator=(const answer_record&) = delete;
  ~answer_record() override;

  [[nodiscard]] bool event(const stream_event& event) override;
  void complete(const answer_summary& summary) override;
  void fail(const refusal& refused) override;
  [[nodiscard]] bool delivered() const noexcept override;
  [[nodiscard]] bool gone() noexcept override { return false; }

  /// \brief Plays the answer to `sink` from its first event, waiting for more until it ends.
  /// \returns false when the answer grew past its bound and is no longer whole, or the sink's
  /// receiver went; nothing final was passed to the sink then
  [[nodiscard]] bool play(answer_sink& sink) const;

  [[nodiscard]] bool ended() const;
  /// \returns whether every event is still here.
  [[nodiscard]] bool whole() const;
  /// \returns the text of all events together.
  [[nodiscard]] std::string content() const;
  [[nodiscard]] std::size_t bytes() const;

 private:
  enum class state { open, complete, failed };

  void resize(std::size_t bytes);

  mutable ordered_mutex mutex_{lock_rank::requests};
  mutable std::condition_variable_any changed_;
  std::size_t most_bytes_;
  std::shared_ptr<std::atomic<std::size_t>> total_;
  std::size_t bytes_{0};
  bool overflowed_{false};
  std::vector<stream_event> events_;
  state state_{state::open};
  answer_summary summary_;
  refusal refused_;
};

/// \brief The host's retained answers by team and key, within a bound on their bytes. The oldest
/// ended answers of the team that holds most go first, so one team cannot push out another's.
class answer_table {
 public:
  /// \param most_bytes         of all answers
  /// \param most_answer_bytes  of one; a longer one cannot be played again
  answer_table(std::size_t most_bytes, std::size_t most_answer_bytes)
      : most_bytes_{most_bytes}, most_answer_bytes_{most_answer_bytes} {}

  [[nodiscard]] std::shared_ptr<answer_record> create(const team_id& team, const std::string& key);
  /// \returns the record, or null.
  [[nodiscard]] std::shared_ptr<answer_record> find(const team_id& team,
                                                    const std::string& key) const;
  /// \brief Drops an answer that is kept elsewhere from now on.
  void erase(const team_id& team, const std::string& key, const answer_record& record);
  /// \brief Evicts until the bound holds again; called when an answer ends.
  void trim();

 private:
  struct entry {
    std::string key;
    std::shared_ptr<answer_record> record;
  };
  struct team_answers {
    std::list<entry> by_age;
    std::map<std::string, std::list<entry>::iterator> by_key;
  };

  [[nodiscard]] bool evict_one();

  const std::size_t most_bytes_;
  const std::size_t most_answer_bytes_;
  const std::shared_ptr<std::atomic<std::size_t>> total_{
      std::make_shared<std::atomic<std::size_t>>(0)};
  mutable ordered_mutex mutex_{lock_rank::answers};
  std::map<team_id, team_answers> teams_;
};

} // namespace sedgechute
