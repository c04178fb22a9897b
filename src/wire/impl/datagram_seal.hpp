#pragma once

#include "kernel/kernel.hpp"
#include "wire/impl/datagram_key.hpp"
#include "wire/impl/replay_window.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief What a datagram is for; one sealed for one purpose does not open for another.
enum class datagram_purpose : std::uint8_t { membership = 1, control = 2 };

enum class datagram_verdict { opened, truncated, forged, replayed };

template <>
struct enum_names<datagram_verdict> {
  static constexpr auto entries =
      enum_table<datagram_verdict>({{datagram_verdict::opened, "opened"},
                                    {datagram_verdict::truncated, "truncated"},
                                    {datagram_verdict::forged, "forged"},
                                    {datagram_verdict::replayed, "replayed"}});
};

struct opened_datagram {
  datagram_verdict verdict;
  std::string_view payload; ///< into the datagram; empty unless opened
};

/// \brief Authenticates datagrams between hosts with keys that the fleet shares. Thread-safe.
///
/// A sealed datagram is purpose, sender and a number of the sender's, the payload, and a truncated
/// HMAC-SHA256 of all these. Nothing is encrypted.
class datagram_seal {
 public:
  static constexpr std::size_t overhead_bytes = 33;

  /// \param sender  this process, unlike any other: its incarnation number
  /// \param keys    as `use_keys`; none: datagrams pass as they are, for fleets without TLS
  datagram_seal(datagram_purpose purpose, std::uint64_t sender, std::vector<datagram_key> keys);
  datagram_seal(const datagram_seal&) = delete;
  datagram_seal& operator=(const datagram_seal&) = delete;
  ~datagram_seal() = default;

  /// \brief Replaces the keys: the first seals, all of them open.
  void use_keys(std::vector<datagram_key> keys);

  [[nodiscard]] std::string seal(std::string_view payload);
  [[nodiscard]] opened_datagram open(std::string_view datagram);

 private:
  using key_list = std::vector<datagram_key>;
  struct sender_state {
    replay_window window;
    std::uint64_t last_heard{0};
  };

  [[nodiscard]] std::shared_ptr<const key_list> keys() const;
  [[nodiscard]] bool first_time(std::uint64_t sender, std::uint64_t number);
  void forget_longest_unheard();

  datagram_purpose purpose_;
  std::uint64_t sender_;
  std::atomic<std::uint64_t> last_number_{0};
  mutable ordered_mutex mutex_{lock_rank::credentials};
  std::shared_ptr<const key_list> keys_;
  std::unordered_map<std::uint64_t, sender_state> senders_;
  std::uint64_t heard_{0};
};

} // namespace sedgechute
