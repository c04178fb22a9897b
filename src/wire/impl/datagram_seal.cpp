#include "wire/impl/datagram_seal.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <mutex>

namespace sedgechute {

namespace {

constexpr std::endian order = std::endian::little;
constexpr std::size_t purpose_bytes = 1;
constexpr std::size_t header_bytes = purpose_bytes + 2 * sizeof(std::uint64_t);
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t most_senders = 4096;
static_assert(header_bytes + tag_bytes == datagram_seal::overhead_bytes);

std::array<unsigned char, EVP_MAX_MD_SIZE> tag_of(const datagram_key& key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, bytes.size(), tag.data(),
           nullptr) == nullptr)
    throw error{error_kind::internal, "datagram", "cannot be authenticated"};
  return tag;
}

} // namespace

datagram_seal::datagram_seal(datagram_purpose purpose, std::uint64_t sender,
                             std::vector<datagram_key> keys)
    : purpose_{purpose}, sender_{sender}, keys_{std::make_shared<const key_list>(std::move(keys))} {
}

void datagram_seal::use_keys(std::vector<datagram_key> keys) {
  auto fresh = std::make_shared<const key_list>(std::move(keys));
  const std::scoped_lock lock{mutex_};
  keys_ = std::move(fresh);
}

std::shared_ptr<const datagram_seal::key_list> datagram_seal::keys() const {
  const std::scoped_lock lock{mutex_};
  return keys_;
}

std::string datagram_seal::seal(std::string_view payload) {
  const auto present = keys();
  if (present->empty())
    return std::string{payload};
  std::string sealed;
  sealed.reserve(payload.size() + overhead_bytes);
  sealed.push_back(static_cast<char>(purpose_));
  append_number<order>(sealed, sender_);
  append_number<order>(sealed, ++last_number_);
  sealed.append(payload);
  const auto tag = tag_of(present->front(), sealed);
  sealed.append(reinterpret_cast<const char*>(tag.data()), tag_bytes);
  return sealed;
}

opened_datagram datagram_seal::open(std::string_view datagram) {
  const auto present = keys();
  if (present->empty())
    return {datagram_verdict::opened, datagram};
  if (datagram.size() < overhead_bytes)
    return {datagram_verdict::truncated, {}};
  const std::string_view covered = datagram.substr(0, datagram.size() - tag_bytes);
  const std::string_view tag = datagram.substr(covered.size());
  const bool authentic = std::any_of(present->begin(), present->end(), [&](const auto& key) {
    return CRYPTO_memcmp(tag_of(key, covered).data(), tag.data(), tag_bytes) == 0;
  });
  if (!authentic || covered[0] != static_cast<char>(purpose_))
    return {datagram_verdict::forged, {}};
  std::string_view rest = covered.substr(purpose_bytes);
  const auto sender = take_number<order, std::uint64_t>(rest);
  const auto number = take_number<order, std::uint64_t>(rest);
  if (!first_time(sender, number))
    return {datagram_verdict::replayed, {}};
  return {datagram_verdict::opened, rest};
}

// Failure: somebody records a genuine datagram and sends it again, to bring back what it said: a
// member that has died since, an answer to a probe that nobody answered, an order that was
// withdrawn. It shows as views that flap. The window drops every copy of what this process has had
// from that sender, and whatever is too old to tell.
// Two ways remain, and what is sent in datagrams has to bear them: a datagram meant for another
// host or for an earlier process of this one, and one of a sender that was forgotten here. Both
// are genuine words of a member, only late or misdirected, as any network may deliver them. For
// membership they are harmless: news carries versions that only rise, and an answer counts only
// with the number of the probe that is open, which starts at random in each process. Control
// messages must carry the incarnation that they are for.
bool datagram_seal::first_time(std::uint64_t sender, std::uint64_t number) {
  const std::scoped_lock lock{mutex_};
  if (senders_.size() >= most_senders && !senders_.contains(sender))
    forget_longest_unheard();
  sender_state& state = senders_[sender];
  state.last_heard = ++heard_;
  return state.window.admit(number);
}

void datagram_seal::forget_longest_unheard() {
  const auto oldest =
      std::min_element(senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.last_heard < b.second.last_heard;
      });
  senders_.erase(oldest);
}

} // namespace sedgechute
