#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string>

namespace sedgechute {

/// \brief Bytes that were read from a connection and are to be read again.
class reread_bytes {
 public:
  reread_bytes() = default;
  reread_bytes(const reread_bytes&) = delete;
  reread_bytes& operator=(const reread_bytes&) = delete;
  virtual ~reread_bytes() = default;

  void read_again(const std::string& bytes) {
    again_ = bytes + again_.substr(at_);
    at_ = 0;
  }

 protected:
  [[nodiscard]] bool waiting() const noexcept { return at_ < again_.size(); }

  [[nodiscard]] int take(void* buffer, int length) {
    const std::size_t count = std::min(static_cast<std::size_t>(length), again_.size() - at_);
    std::memcpy(buffer, again_.data() + at_, count);
    at_ += count;
    if (!waiting())
      clear();
    return static_cast<int>(count);
  }

 private:
  // A long-lived stream shall not hold on to the room that its header needed.
  void clear() {
    std::string{}.swap(again_);
    at_ = 0;
  }

  std::string again_;
  std::size_t at_{0};
};

} // namespace sedgechute
