#include "kernel/impl/latch_pipe.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace sedgechute {

latch_pipe::latch_pipe() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::system_error{errno, std::generic_category(), "pipe"};
  read_end_ = ends[0];
  write_end_ = ends[1];
}

latch_pipe::~latch_pipe() {
  ::close(read_end_);
  ::close(write_end_);
}

// The byte is never read, so that every wait sees it. A full pipe holds one already.
void latch_pipe::open() noexcept {
  const char byte = 0;
  (void)!::write(write_end_, &byte, 1);
}

} // namespace sedgechute
