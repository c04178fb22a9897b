#pragma once

#include "clients/impl/http_call.hpp"

#include <optional>
#include <string>

namespace sedgechute {

class weight_store_client {
 public:
  weight_store_client() = default;
  weight_store_client(const weight_store_client&) = delete;
  weight_store_client& operator=(const weight_store_client&) = delete;
  virtual ~weight_store_client() = default;

  /// \returns the size of a version's weights in bytes, or nothing while the store's rate limit
  /// is reached.
  /// \throws error `log_unavailable` when the platform does not answer
  [[nodiscard]] virtual std::optional<std::uint64_t> size_of(const model_id& model,
                                                             const std::string& version) = 0;
};

class http_weight_store_client final : public weight_store_client {
 public:
  http_weight_store_client(http_target target, time_ms timeout);
  [[nodiscard]] std::optional<std::uint64_t> size_of(const model_id& model,
                                                     const std::string& version) override;

 private:
  http_target target_;
  time_ms timeout_;
};

} // namespace sedgechute
