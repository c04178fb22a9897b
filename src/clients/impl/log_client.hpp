#pragma once

#include "clients/impl/http_call.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sedgechute {

struct log_entry {
  std::uint64_t offset{};
  std::string data;
};

/// \brief What one read returned.
struct log_page {
  bool trimmed{false};   ///< the offset asked for is no longer retained; only `first` is set
  std::uint64_t first{}; ///< oldest retained offset
  std::uint64_t next{};  ///< offset to ask for next
  std::vector<log_entry> entries;
};

/// \brief The platform's append-only log, one stream.
class log_client {
 public:
  log_client() = default;
  log_client(const log_client&) = delete;
  log_client& operator=(const log_client&) = delete;
  virtual ~log_client() = default;

  /// \brief Asks for the records to be appended in this order. The call says nothing about the
  /// outcome: an answer may be lost after the effect, so a writer reads its own records back.
  /// \throws error `log_unavailable` when no answer came; the records may be there all the same
  virtual void append(std::span<const std::string> records) = 0;

  /// \brief Reads from `from` on, waiting up to `wait` when there is nothing yet.
  /// \throws error `log_unavailable`
  [[nodiscard]] virtual log_page read(std::uint64_t from, std::size_t max, time_ms wait) = 0;
};

/// \brief Binding to the log service's HTTP protocol.
class http_log_client final : public log_client {
 public:
  /// \param timeout  bound on an answer, on top of the time that a read asks to wait
  http_log_client(http_target target, std::string stream, time_ms timeout);

  void append(std::span<const std::string> records) override;
  [[nodiscard]] log_page read(std::uint64_t from, std::size_t max, time_ms wait) override;

 private:
  [[nodiscard]] std::string path() const;

  http_target target_;
  std::string stream_;
  time_ms timeout_;
};

} // namespace sedgechute
