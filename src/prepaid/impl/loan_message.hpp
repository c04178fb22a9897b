#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

enum class loan_step {
  asked,    ///< a host requests tokens
  given,    ///< a holder answers with tokens; `tokens` is 0 if it lends none
  returned, ///< the borrower returns unused tokens; has no answer
};

template <>
struct enum_names<loan_step> {
  static constexpr auto entries = enum_table<loan_step>({{loan_step::asked, "asked"},
                                                         {loan_step::given, "given"},
                                                         {loan_step::returned, "returned"}});
};

/// \brief A message between two hosts about a loan of a team's tokens.
struct loan_message {
  loan_step step{loan_step::asked};
  std::uint64_t number{}; ///< number of the request; also in its answer and its return
  std::uint64_t tokens{};
  std::string host; ///< the sender
  std::string team;

  bool operator==(const loan_message&) const = default;
};

[[nodiscard]] std::string encode_loan(const loan_message& message);
/// \returns the message, or nothing if the bytes are malformed
[[nodiscard]] std::optional<loan_message> decode_loan(std::string_view bytes);

} // namespace sedgechute
