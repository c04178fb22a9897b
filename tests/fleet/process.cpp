#include "process.hpp"

#include "kernel/kernel.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <csignal>
#include <fcntl.h>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-identifier-naming)

namespace sedgechute::fleet_test {

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the program inherits stays open when whoever started it closes it, and its other
  // end never learns of that.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0)
    throw std::runtime_error{"cannot start " + program};
}

process::~process() {
  crash();
}

void process::signal(int number) const {
  if (!ended_)
    ::kill(pid_, number);
}

std::optional<int> process::ended() {
  int status = 0;
  if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
    ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return ended_;
}

int process::wait(int most_ms) {
  constexpr int step_ms = 20;
  for (int waited = 0; waited <= most_ms; waited += step_ms) {
    if (const std::optional<int> code = ended())
      return *code;
    ::usleep(step_ms * 1000);
  }
  return -1;
}

void process::crash() {
  if (ended_)
    return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  ::waitpid(pid_, &status, 0);
  ended_ = 128 + SIGKILL;
}

// Below the ports that Linux hands out by itself: one of those may be given to any socket that is
// opened between this look and the start of the program that is to listen there.
std::uint16_t free_port() {
  constexpr std::uint16_t first = 10000;
  constexpr std::uint16_t ports = 22000;
  static std::set<std::uint16_t> given; // those handed out before are perhaps not bound yet
  static random_source random = random_source::from_system();
  for (;;) {
    const auto port = static_cast<std::uint16_t>(first + random.below(ports));
    if (!given.insert(port).second)
      continue;
    try {
      const Poco::Net::ServerSocket probe{Poco::Net::SocketAddress{"127.0.0.1", port}};
      return port;
    } catch (const Poco::Net::NetException&) {
      continue; // something listens there
    }
  }
}

} // namespace sedgechute::fleet_test
