#pragma once

#include "config/impl/problem.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief The faults found so far in one document, and the place being checked.
class check_run {
 public:
  explicit check_run(std::string file) : file_{std::move(file)} {}

  /// \brief Goes into a member or element for the life of the object.
  class step {
   public:
    step(check_run& run, std::string_view name);
    step(check_run& run, std::size_t index);
    step(const step&) = delete;
    step& operator=(const step&) = delete;
    ~step();

   private:
    check_run& run_;
    std::size_t length_;
  };

  /// \brief Notes a fault at the present place.
  void fault(std::string reason, std::string nearest = {});
  /// \brief Notes a fault at `below`, a pointer relative to the present place such as "/keys/2".
  void fault_at(std::string_view below, std::string reason, std::string nearest = {});

  [[nodiscard]] const std::vector<problem>& problems() const noexcept { return problems_; }
  [[nodiscard]] const std::string& pointer() const noexcept { return pointer_; }

 private:
  std::string file_;
  std::string pointer_;
  std::vector<problem> problems_;
};

} // namespace sedgechute
