#include "load/impl/process_watch.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace sedgechute::load {

namespace {

constexpr double kb_a_mb = 1024.0;

double cpu_of(int pid) {
  std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
  std::string text;
  std::getline(file, text);
  const std::size_t name_end = text.rfind(')'); // the name may hold spaces
  if (name_end == std::string::npos)
    return 0;
  std::istringstream fields{text.substr(name_end + 1)};
  std::string skipped;
  constexpr int fields_before_user_time = 11;
  for (int i = 0; i < fields_before_user_time; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb_of(int pid) {
  std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
  for (std::string line; std::getline(file, line);)
    if (line.rfind("VmRSS:", 0) == 0)
      return std::stod(line.substr(6)) / kb_a_mb;
  return 0;
}

double cpu_of_all(const std::vector<int>& pids) {
  double sum = 0;
  for (const int pid : pids)
    sum += cpu_of(pid);
  return sum;
}

} // namespace

process_watch::process_watch(std::vector<int> pids)
    : pids_{std::move(pids)}, cpu_at_start_{cpu_of_all(pids_)} {}

void process_watch::look() {
  for (const int pid : pids_)
    most_mb_ = std::max(most_mb_, resident_mb_of(pid));
}

double process_watch::cpu_seconds() const {
  return cpu_of_all(pids_) - cpu_at_start_;
}

} // namespace sedgechute::load
