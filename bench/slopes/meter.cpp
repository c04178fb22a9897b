#include "slopes/meter.hpp"

#include <linux/tcp.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <ctime>
#include <fstream>
#include <string>

namespace sedgechute::slopes {

namespace {

constexpr int most_descriptors = 4096;

double cpu_us(clockid_t which) {
  timespec now{};
  clock_gettime(which, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double status_bytes(const std::string& field) {
  std::ifstream status{"/proc/self/status"};
  std::string word;
  while (status >> word)
    if (word == field) {
      double kilobytes = 0.0;
      status >> kilobytes;
      return kilobytes * 1024.0;
    }
  return 0.0;
}

} // namespace

double allocated_bytes() {
  const auto figures = mallinfo2();
  return static_cast<double>(figures.uordblks + figures.hblkhd);
}

double thread_cpu_us() {
  return cpu_us(CLOCK_THREAD_CPUTIME_ID);
}

double process_cpu_us() {
  return cpu_us(CLOCK_PROCESS_CPUTIME_ID);
}

void reset_peak() {
  malloc_trim(0);
  std::ofstream{"/proc/self/clear_refs"} << "5";
}

double resident_bytes() {
  return status_bytes("VmRSS:");
}

double peak_bytes() {
  return status_bytes("VmHWM:");
}

double socket_bytes() {
  double sum = 0.0;
  for (int descriptor = 3; descriptor < most_descriptors; ++descriptor) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
      sum += static_cast<double>(info.tcpi_bytes_received);
  }
  return sum;
}

} // namespace sedgechute::slopes
