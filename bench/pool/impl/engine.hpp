#pragma once

#include "pool/impl/engine_sheet.hpp"
#include "pool/impl/part_memory.hpp"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace sedgechute::pool {

struct prompt_piece {
  part_key key{};
  std::uint32_t tokens{};
};

/// \brief One request at an engine.
struct engine_run {
  std::uint32_t request{};
  int urgency{};                    ///< 0 comes first
  std::vector<prompt_piece> pieces; ///< of the whole prompt, in order
  std::uint32_t prompt_tokens{};
  std::uint32_t output_tokens{1};

  std::uint64_t order{};      ///< in which it came
  std::uint32_t made{};       ///< tokens of the answer
  std::size_t used_pieces{};  ///< leading pieces that it uses as kept parts
  std::uint64_t own_tokens{}; ///< held beside these
  std::uint64_t to_read{};    ///< also what it had made before it was preempted
};

/// \brief What an engine has done in a step.
struct engine_word {
  enum class what { first_token, event, end, read_piece, kept_piece, preempted };

  what said{};
  std::uint32_t request{};
  std::size_t piece{};
};

struct engine_load {
  std::uint32_t running{};
  std::uint32_t waiting{};

  bool operator==(const engine_load&) const = default;
};

/// \brief An engine that works in steps: each makes a token of every answer that has its prompt
/// read, and reads a chunk of the prompts of others.
class engine {
 public:
  /// \param slowness  times the sheet's times
  engine(const engine_sheet& sheet, double slowness)
      : sheet_{sheet}, slowness_{slowness}, memory_{sheet.memory_tokens} {}

  /// \returns false when its queue is full or the request is larger than its memory
  [[nodiscard]] bool accept(engine_run run);
  /// \brief The caller has left.
  /// \returns whether the request was there
  bool cancel(std::uint32_t request);

  /// \brief Begins a step.
  /// \returns how long it takes; 0: there is nothing to do
  [[nodiscard]] double begin_step(std::vector<engine_word>& words);
  void end_step(std::vector<engine_word>& words);

  /// \brief Keeps parts that came from another engine.
  void store(const std::vector<prompt_piece>& pieces, std::size_t count);
  /// \returns how many leading pieces are kept
  [[nodiscard]] std::size_t kept_pieces(const std::vector<prompt_piece>& pieces) const;
  [[nodiscard]] std::uint64_t kept_tokens(const std::vector<prompt_piece>& pieces) const;

  [[nodiscard]] engine_load load() const noexcept;
  /// \brief Prompt tokens that are still to be read before a newcomer of this urgency is read.
  [[nodiscard]] std::uint64_t unread_before(int urgency) const;
  [[nodiscard]] const part_memory& memory() const noexcept { return memory_; }
  [[nodiscard]] const engine_sheet& sheet() const noexcept { return sheet_; }
  [[nodiscard]] double slowness() const noexcept { return slowness_; }
  [[nodiscard]] std::uint64_t tokens_made() const noexcept { return tokens_made_; }
  [[nodiscard]] std::uint64_t tokens_read() const noexcept { return tokens_read_; }

 private:
  using place = std::pair<int, std::uint64_t>; ///< urgency, then order of coming

  void admit(std::vector<engine_word>& words);
  [[nodiscard]] bool start(engine_run& run, std::vector<engine_word>& words);
  bool preempt_one(const place& for_whom, std::vector<engine_word>& words);
  void free_memory(engine_run& run);
  void hold_next_tokens(std::vector<engine_word>& words);
  [[nodiscard]] bool is_read(const place& at) const;
  [[nodiscard]] double plan_reading();
  void read(engine_run& run, std::uint64_t tokens, std::vector<engine_word>& words);
  void make_token(engine_run& run, std::vector<engine_word>& words) const;

  engine_sheet sheet_;
  double slowness_;
  part_memory memory_;
  std::map<place, engine_run> waiting_;
  std::map<place, engine_run> running_;
  std::vector<place> readers_;                         ///< in the order of their admission
  std::vector<std::pair<place, std::uint64_t>> chunk_; ///< who reads how much in this step
  std::vector<place> making_;                          ///< who makes a token in this step
  std::uint64_t orders_{0};
  std::uint64_t tokens_made_{0};
  std::uint64_t tokens_read_{0};
};

} // namespace sedgechute::pool
