#pragma once

#include "daemon/impl/admin_api.hpp"

namespace sedgechute {

/// \brief Authenticates operators and finds the plug-in that serves their call.
class admin_router {
 public:
  explicit admin_router(admin_context host);

  void serve(caller_exchange& exchange);

 private:
  [[nodiscard]] const operator_settings& authenticate(const caller_exchange& exchange) const;

  admin_context host_;
  std::map<std::string, std::unique_ptr<admin_api>> apis_;
};

} // namespace sedgechute
