// The paths of the machine to endpoints as the soak sets them: each machine connects to endpoints
// from an address of its own, and such a connect may be refused or hang.

#include "machine_paths.hpp"

#include <absl/flags/flag.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <string>

using sedgechute::soak::path_file;
using sedgechute::soak::path_state;

namespace {

// Constant from the start: connects may come before any other object is made.
constinit std::atomic<int> paths_file{-1};
constinit std::atomic<std::uint32_t> own_address{0}; // in network byte order; 0: none

void open_paths(const std::string& path) {
  if (!path.empty())
    paths_file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
}

void set_own_address(const std::string& text) {
  in_addr parsed{};
  if (::inet_pton(AF_INET, text.c_str(), &parsed) == 1)
    own_address = parsed.s_addr;
}

bool leads_to_endpoint(const sockaddr_in& to) noexcept {
  in_addr endpoints{};
  return ::inet_pton(AF_INET, sedgechute::soak::endpoints_ip, &endpoints) == 1 &&
         to.sin_addr.s_addr == endpoints.s_addr;
}

path_file read_paths() noexcept {
  path_file now{};
  const int file = paths_file;
  if (file < 0 || ::pread(file, &now, sizeof now, 0) != static_cast<ssize_t>(sizeof now))
    return {};
  return now;
}

int plain_connect(int socket, const sockaddr* to, socklen_t length) noexcept {
  return static_cast<int>(::syscall(SYS_connect, socket, to, length));
}

void bind_to_own_address(int socket) noexcept {
  sockaddr_in from{};
  from.sin_family = AF_INET;
  from.sin_addr.s_addr = own_address;
  (void)::bind(socket, reinterpret_cast<const sockaddr*>(&from), sizeof from);
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::string, paths, "", "file with the state of the machine's paths to endpoints")
    .OnUpdate([] { open_paths(absl::GetFlag(FLAGS_paths)); });
ABSL_FLAG(std::string, machine, "", "IP number from which the machine connects to endpoints")
    .OnUpdate([] { set_own_address(absl::GetFlag(FLAGS_machine)); });
// NOLINTEND(readability-identifier-naming)

extern "C" int connect(int socket, const sockaddr* to, socklen_t length) {
  if (to->sa_family != AF_INET || length < sizeof(sockaddr_in))
    return plain_connect(socket, to, length);
  sockaddr_in address{};
  std::memcpy(&address, to, sizeof address);
  if (own_address == 0 || !leads_to_endpoint(address))
    return plain_connect(socket, to, length);
  const path_file paths = read_paths();
  if (paths.state == path_state::refuses) {
    errno = ECONNREFUSED;
    return -1;
  }
  if (paths.state == path_state::hangs) {
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(paths.silent_port);
    return plain_connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  bind_to_own_address(socket);
  return plain_connect(socket, to, length);
}
