#include "process.hpp"

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

std::uint16_t free_port() {
  // A port handed out before is not bound yet and might be found free again.
  static std::set<std::uint16_t> given;
  for (;;) {
    const Poco::Net::ServerSocket probe{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const std::uint16_t port = probe.address().port();
    if (given.insert(port).second)
      return port;
  }
}

} // namespace sedgechute::fleet_test
