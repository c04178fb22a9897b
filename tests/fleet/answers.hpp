#pragma once

#include <functional>
#include <string>

namespace sedgechute::fleet_test {

void sleep_ms(int span);

/// \returns how many tokens of the stand-in engine a body holds.
[[nodiscard]] int tokens_in(const std::string& body);

/// \brief Asks again and again, for up to 20 s.
/// \returns whether it came to hold
[[nodiscard]] bool eventually(const std::function<bool()>& holds);

} // namespace sedgechute::fleet_test
