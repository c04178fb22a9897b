#pragma once

namespace sedgechute {

/// \brief Something that happens once, for threads that wait in `poll`: its descriptor can be read
/// from then on. Thread-safe.
class latch_pipe {
 public:
  /// \throws std::system_error when no descriptors are left
  latch_pipe();
  latch_pipe(const latch_pipe&) = delete;
  latch_pipe& operator=(const latch_pipe&) = delete;
  ~latch_pipe();

  void open() noexcept;
  [[nodiscard]] int descriptor() const noexcept { return read_end_; }

 private:
  int read_end_{-1};
  int write_end_{-1};
};

} // namespace sedgechute
