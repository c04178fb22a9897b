#pragma once

#include "gateway/impl/caller_api.hpp"
#include "gateway/impl/gateway.hpp"

#include <map>
#include <memory>
#include <string>

namespace sedgechute {

/// \brief Finds the plug-in that serves a caller's path.
class caller_router {
 public:
  explicit caller_router(gateway& host);

  /// \throws error `unknown_path`, or whatever the plug-in refuses with
  void serve(caller_exchange& exchange) const;

 private:
  [[nodiscard]] const caller_api* find(const std::string& path) const;

  gateway& host_;
  std::map<std::string, std::unique_ptr<caller_api>> apis_;
};

} // namespace sedgechute
