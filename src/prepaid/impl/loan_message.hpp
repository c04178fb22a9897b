#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

enum class loan_step {
  asked,    ///< by who needs tokens
  given,    ///< by who holds them; none where `tokens` is 0
  returned, ///< by who asked: so many were not used; no answer
};

template <>
struct enum_names<loan_step> {
  static constexpr auto entries = enum_table<loan_step>({{loan_step::asked, "asked"},
                                                         {loan_step::given, "given"},
                                                         {loan_step::returned, "returned"}});
};

/// \brief What two hosts say to each other about tokens of a team.
struct loan_message {
  loan_step step{loan_step::asked};
  std::uint64_t number{}; ///< of the question; its answer, and what is returned, bear the same
  std::uint64_t tokens{};
  std::string host; ///< that sends this
  std::string team;

  bool operator==(const loan_message&) const = default;
};

[[nodiscard]] std::string encode_loan(const loan_message& message);
/// \returns nothing when the bytes are no such message
[[nodiscard]] std::optional<loan_message> decode_loan(std::string_view bytes);

} // namespace sedgechute
