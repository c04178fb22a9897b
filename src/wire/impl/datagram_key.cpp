#include "wire/impl/datagram_key.hpp"

#include "kernel/kernel.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sedgechute {

namespace {

constexpr std::size_t least_key_bytes = 32;
constexpr std::size_t most_key_bytes = 128;
constexpr std::size_t most_keys = 8;

int digit_of(char letter) {
  constexpr std::string_view digits = "0123456789abcdef";
  const char lower =
      letter >= 'A' && letter <= 'F' ? static_cast<char>(letter - 'A' + 'a') : letter;
  const auto at = digits.find(lower);
  return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

error line_error(const std::string& file, std::size_t line, const std::string& why) {
  return {error_kind::invalid_settings, file + ": line " + std::to_string(line), why};
}

datagram_key parse_key(const std::string& file, std::size_t line, std::string_view text) {
  datagram_key key;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    const int high = digit_of(text[i]);
    const int low = digit_of(text[i + 1]);
    if (high < 0 || low < 0)
      throw line_error(file, line, "a key is written in hexadecimal digits only");
    key.push_back(static_cast<char>(high * 16 + low));
  }
  if (text.size() % 2 != 0 || key.size() < least_key_bytes || key.size() > most_key_bytes)
    throw line_error(file, line,
                     "a key has " + std::to_string(2 * least_key_bytes) + " to " +
                         std::to_string(2 * most_key_bytes) + " hexadecimal digits");
  return key;
}

} // namespace

std::vector<datagram_key> parse_datagram_keys(const std::string& file, std::string_view text) {
  std::vector<datagram_key> keys;
  std::istringstream lines{std::string{text}};
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (line.empty() || line.front() == '#')
      continue;
    datagram_key key = parse_key(file, number, line);
    if (std::find(keys.begin(), keys.end(), key) != keys.end())
      throw line_error(file, number, "this key stands in the file already");
    keys.push_back(std::move(key));
  }
  // A file that was read while it was being written must not switch authentication off.
  if (keys.empty())
    throw error{error_kind::invalid_settings, file, "holds no key"};
  if (keys.size() > most_keys)
    throw error{error_kind::invalid_settings, file,
                "holds more than " + std::to_string(most_keys) + " keys"};
  return keys;
}

std::vector<datagram_key> read_datagram_keys(const std::string& file) {
  std::ifstream in{file};
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw error{error_kind::invalid_settings, file, "cannot be read, or is empty"};
  return parse_datagram_keys(file, text.str());
}

} // namespace sedgechute
