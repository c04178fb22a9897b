#pragma once

#include "promises.hpp"

#include <unordered_map>
#include <vector>

namespace sedgechute::soak {

/// \brief Finds what belongs to one attempt. The observations must outlive it.
class observation_index {
 public:
  explicit observation_index(const observations& seen);

  /// \returns null when no caller sent it
  [[nodiscard]] const sent_request* sent(const std::string& attempt) const;
  [[nodiscard]] const outcome* ended(const std::string& attempt) const;
  /// \returns what reached endpoints, in order
  [[nodiscard]] const std::vector<const arrival*>& arrivals(const std::string& attempt) const;
  [[nodiscard]] bool ran(const std::string& attempt) const;

 private:
  std::unordered_map<std::string_view, const sent_request*> sent_;
  std::unordered_map<std::string_view, const outcome*> ended_;
  std::unordered_map<std::string_view, std::vector<const arrival*>> arrivals_;
  std::vector<const arrival*> none_;
};

/// \returns whether a host and the store were undisturbed for all of the span, and before it for as
/// long as bounds need
[[nodiscard]] bool in_touch(const observations& seen, const promised_bounds& bounds,
                            std::size_t host, time_ms from, time_ms until);

} // namespace sedgechute::soak
