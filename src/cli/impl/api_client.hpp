#pragma once

#include "cli/impl/exit_code.hpp"
#include "cli/impl/options.hpp"

namespace sedgechute::cli {

/// \brief An answer of the admin API.
struct api_answer {
  int status{0};
  json_node body; ///< null when the answer is not JSON
  std::string text;
  address host;

  [[nodiscard]] bool good() const noexcept { return status >= 200 && status < 300; }
};

/// \brief Calls the admin API of the first host that can answer. Every call may be repeated, so
/// it goes on to the next host when one is silent, not ready or without the log.
class api_client {
 public:
  explicit api_client(const options& flags);

  /// \throws failure `unreachable` when no host answers
  [[nodiscard]] api_answer get(const std::string& path);
  [[nodiscard]] api_answer post(const std::string& path, const json_node& body);

 private:
  [[nodiscard]] api_answer call(const std::string& method, const std::string& path,
                                const std::string& body);
  [[nodiscard]] api_answer call_host(const address& host, const std::string& method,
                                     const std::string& path, const std::string& body) const;

  const options& flags_;
  std::size_t first_{0}; ///< the host that answered last
};

/// \returns `word` for use as one step of a path
[[nodiscard]] std::string path_step(const std::string& word);

/// \returns the exit status for an error answer
[[nodiscard]] exit_code exit_code_for(const api_answer& answer);
/// \returns the answer's error in words
[[nodiscard]] std::string describe_error(const api_answer& answer);
/// \brief Passes a good answer on.
/// \throws failure that says what an error answer means
[[nodiscard]] api_answer expect_good(api_answer answer);

} // namespace sedgechute::cli
