#include "answers.hpp"

#include <cctype>
#include <chrono>
#include <thread>

namespace sedgechute::fleet_test {

void sleep_ms(int span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

// Each token of the stand-in reads FINGERPRINT:NUMBER; the fingerprint has 16 hexadecimal digits.
int tokens_in(const std::string& body) {
  int count = 0;
  for (std::size_t i = body.find(':'); i != std::string::npos; i = body.find(':', i + 1))
    if (i >= 16 && body.find_first_not_of("0123456789abcdef", i - 16) >= i && i + 1 < body.size() &&
        std::isdigit(static_cast<unsigned char>(body[i + 1])) != 0)
      ++count;
  return count;
}

bool eventually(const std::function<bool()>& holds) {
  constexpr int most_tries = 200;
  constexpr int pause_ms = 100;
  for (int i = 0; i < most_tries; ++i) {
    if (holds())
      return true;
    sleep_ms(pause_ms);
  }
  return false;
}

} // namespace sedgechute::fleet_test
