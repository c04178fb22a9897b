#include "wire/wire.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::uint64_t sender = 7;
const datagram_key old_key(32, 'o');
const datagram_key new_key(32, 'n');
const std::string payload = "three members, all alive";

datagram_seal holder_of(std::vector<datagram_key> keys, std::uint64_t number = sender) {
  return datagram_seal{datagram_purpose::membership, number, std::move(keys)};
}

} // namespace

// Somebody who can reach the port of a host, but has no key, tells it that its peers are dead.
// Believed, its view empties and it takes over what others still hold. Every byte counts: a changed
// one, a missing one, another key or none must all lead to a dropped datagram.
TEST_CASE("a forged, altered or truncated datagram is dropped") {
  auto from = holder_of({new_key});
  auto to = holder_of({new_key}, 8);
  const std::string sealed = from.seal(payload);
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string altered = sealed;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK(to.open(altered).verdict == datagram_verdict::forged);
    CHECK(to.open(sealed.substr(0, i)).verdict != datagram_verdict::opened);
  }
  CHECK(to.open(payload).verdict == datagram_verdict::truncated);
  CHECK(to.open(holder_of({old_key}).seal(payload)).verdict == datagram_verdict::forged);
  datagram_seal other{datagram_purpose::control, sender, {new_key}};
  CHECK(to.open(other.seal(payload)).verdict == datagram_verdict::forged);
  const opened_datagram genuine = to.open(sealed);
  CHECK(genuine.verdict == datagram_verdict::opened);
  CHECK(genuine.payload == payload);
}

// Somebody records what a host said before it died and repeats it, so that the host seems to live
// on. A copy must be dropped, also when datagrams overtook each other on the way.
TEST_CASE("a replayed datagram is dropped, one that was overtaken is not") {
  auto from = holder_of({new_key});
  auto to = holder_of({new_key}, 8);
  std::vector<std::string> sent;
  for (std::size_t i = 0; i < 2 * replay_window::width; ++i)
    sent.push_back(from.seal(payload));
  const std::size_t last = sent.size() - 1;
  CHECK(to.open(sent[0]).verdict == datagram_verdict::opened);
  CHECK(to.open(sent[0]).verdict == datagram_verdict::replayed);
  CHECK(to.open(sent[last]).verdict == datagram_verdict::opened);
  CHECK(to.open(sent[last - replay_window::width - 1]).verdict == datagram_verdict::replayed);
  CHECK(to.open(sent[last - 1]).verdict == datagram_verdict::opened);
  CHECK(to.open(sent[last - 1]).verdict == datagram_verdict::replayed);
  CHECK(to.open(sent[last - replay_window::width + 1]).verdict == datagram_verdict::opened);
  CHECK(to.open(sent[last - replay_window::width]).verdict == datagram_verdict::replayed);
  CHECK(to.open(sent[0]).verdict == datagram_verdict::replayed);
}

// Hosts get a new key one after the other. If one that has it were not understood by one that has
// not, each rotation would split the fleet in two for as long as it lasts.
TEST_CASE("keys rotate with overlap: new behind old, new before old, old gone") {
  auto first = holder_of({old_key}, 1);
  auto second = holder_of({old_key}, 2);
  const auto understand_each_other = [&] {
    return second.open(first.seal(payload)).verdict == datagram_verdict::opened &&
           first.open(second.seal(payload)).verdict == datagram_verdict::opened;
  };
  first.use_keys({old_key, new_key});
  CHECK(understand_each_other());
  second.use_keys({old_key, new_key});
  first.use_keys({new_key, old_key});
  CHECK(understand_each_other());
  second.use_keys({new_key, old_key});
  first.use_keys({new_key});
  CHECK(understand_each_other());
  auto late = holder_of({old_key}, 3);
  CHECK(first.open(late.seal(payload)).verdict == datagram_verdict::forged);
}

TEST_CASE("a key file is whole or refused, and never shown") {
  const std::string good(64, 'a');
  const auto keys = parse_datagram_keys("keys", "# new\n" + good + "\n\n# old\r\n" +
                                                    std::string(64, 'B') + "\r\n");
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] == std::string(32, '\xaa'));
  CHECK(keys[1] == std::string(32, '\xbb'));
  const std::vector<std::string> faulty{"",         "# none\n",         std::string(62, 'a'),
                                        good + "a", good + "\n" + good, std::string(64, 'x')};
  for (const std::string& text : faulty) {
    CAPTURE(text);
    CHECK_THROWS_AS((void)parse_datagram_keys("keys", text), error);
  }
  try {
    (void)parse_datagram_keys("keys", good + "\n" + std::string(64, 'x'));
  } catch (const error& refused) {
    CHECK(std::string{refused.what()}.find("line 2") != std::string::npos);
    CHECK(std::string{refused.what()}.find("xxxx") == std::string::npos);
  }
}
