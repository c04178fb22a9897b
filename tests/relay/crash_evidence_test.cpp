#include "platform/platform.hpp"
#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

const endpoint_id endpoint{"e1"};
constexpr endpoint_hash life = 7;
constexpr content_fingerprint content = 0xabc;

quarantine_news sample_news() {
  quarantine_news news;
  news.records.push_back({content, 3, false, 3000_s, {endpoint}});
  news.deaths.push_back({content, endpoint, life, 90_ms, 4_s});
  news.acquittals.push_back({99, 2_s});
  return news;
}

} // namespace

// Guards against quarantines of harmless requests while connections break on the way.
TEST_CASE("a broken connection to an endpoint that is not found dead is no evidence") {
  crash_evidence evidence;
  CHECK_FALSE(evidence.note_cut(endpoint, life, {content, 90_ms}, 10_s));
  CHECK(evidence.note_lost(endpoint, life, loss_source::refused, 13_s).empty());
  CHECK_FALSE(evidence.note_cut(endpoint, life + 1, {content, 90_ms}, 20_s));
  evidence.note_alive(endpoint, life + 1, 20500_ms);
  CHECK(evidence.note_lost(endpoint, life + 1, loss_source::refused, 21_s).empty());
}

TEST_CASE("a broken connection counts in either order of the cut and the proof of the death") {
  crash_evidence evidence;
  CHECK_FALSE(evidence.note_cut(endpoint, life, {content, 90_ms}, 10_s));
  CHECK(evidence.note_lost(endpoint, life, loss_source::refused, 11_s).size() == 1);
  CHECK(evidence.note_cut(endpoint, life, {content, 90_ms}, 11500_ms));
}

// Guards against a crash that looks like the end of an answer without a length.
TEST_CASE("an answer that ended with its connection is whole once its endpoint answers again") {
  crash_evidence evidence;
  const broken_run unframed{{content, 90_ms}, {}, {}, true};
  CHECK_FALSE(evidence.note_cut(endpoint, life, unframed, 10_s));
  CHECK(evidence.note_alive(endpoint, life, 9_s).empty());
  CHECK(evidence.note_alive(endpoint, life, 11_s).size() == 1);
  CHECK(evidence.note_lost(endpoint, life, loss_source::refused, 12_s).empty());
  CHECK_FALSE(evidence.note_cut(endpoint, life + 1, unframed, 20_s));
  CHECK(evidence.note_lost(endpoint, life + 1, loss_source::refused, 21_s).size() == 1);
}

TEST_CASE("the list proves a death some seconds after the cut") {
  crash_evidence evidence;
  CHECK_FALSE(evidence.note_cut(endpoint, life, {content, 90_ms}, 10_s));
  evidence.expire(14_s);
  CHECK(evidence.note_lost(endpoint, life, loss_source::unlisted, 14_s).size() == 1);
}

TEST_CASE("news about contents reach other hosts unchanged, and invalid bytes are refused") {
  const auto messages = encode_quarantine_news(sample_news(), 1);
  REQUIRE(messages.size() == 1);
  const auto news = decode_quarantine_news(messages.front());
  REQUIRE(news.has_value());
  CHECK(news->records.front().version == 3);
  CHECK(news->deaths.front().endpoint == endpoint);
  CHECK(news->deaths.front().age == 4_s);
  CHECK(news->acquittals.front().content == 99);
  for (std::size_t length = 0; length + 1 < messages.front().size(); ++length) {
    const auto cut = decode_quarantine_news(messages.front().substr(0, length));
    CHECK((!cut || cut->records.size() + cut->acquittals.size() + cut->deaths.size() < 3));
  }
}

TEST_CASE("news that do not fit into their datagrams leave out single deaths, not verdicts") {
  quarantine_news news;
  for (std::uint64_t i = 0; i < 1000; ++i)
    news.deaths.push_back({i, endpoint, life, 90_ms, 4_s});
  news.records.push_back({content, 3, false, 3000_s, {endpoint}});
  const auto messages = encode_quarantine_news(news, 2);
  CHECK(messages.size() == 2);
  CHECK(decode_quarantine_news(messages.front())->records.size() == 1);
}

// Guards against a fleet that forgets its quarantines when all hosts start again.
TEST_CASE("recorded quarantines are read as they were written, less the time that has passed") {
  const time_ms wall{1'790'000'000'000};
  const std::string text = encode_quarantine(sample_news(), wall);
  const quarantine_news read = parse_quarantine(quarantine_key(content), text, wall + 60_s);
  REQUIRE(read.records.size() == 1);
  CHECK(read.records.front().remaining == 2940_s);
  REQUIRE(read.deaths.size() == 1);
  CHECK(read.deaths.front().life == life);
  CHECK(read.deaths.front().age == 64_s);
  CHECK(parse_quarantine(quarantine_key(content), text, wall + 4000_s).empty());
  for (const char* bad :
       {"", "x", "2 1 0 5", "1 1 7 5", "1 -1 0 5", "1 1 0 5 e1", "1 1 0 5 e1 zz 3"})
    CHECK_THROWS_AS((void)parse_quarantine(quarantine_key(content), bad, wall), error);
  CHECK_THROWS_AS((void)parse_quarantine("short", text, wall), error);
}
