#pragma once

#include <cstdint>

namespace sedgechute::soak {

/// \brief IP number of all endpoints of a run, which no other program has.
inline constexpr const char* endpoints_ip = "127.0.200.1";

/// \brief What becomes of a machine's connects to endpoints.
enum class path_state : std::uint32_t { sound, refuses, hangs };

/// \brief Content of the file that the soak writes for each machine.
struct path_file {
  path_state state{path_state::sound};
  std::uint16_t silent_port{0}; ///< on loopback; connects to it hang
};

} // namespace sedgechute::soak
