#include "cli/impl/random_bytes.hpp"

#include "cli/impl/exit_code.hpp"

#include <Poco/RandomStream.h>

namespace sedgechute::cli {

std::vector<std::uint8_t> random_bytes(std::size_t count) {
  std::vector<std::uint8_t> bytes(count);
  Poco::RandomInputStream source;
  source.read(reinterpret_cast<char*>(bytes.data()), static_cast<std::streamsize>(count));
  if (source.gcount() != static_cast<std::streamsize>(count))
    throw failure{exit_code::failed, "no random bytes from the operating system"};
  return bytes;
}

} // namespace sedgechute::cli
