#include "platform/platform.hpp"
#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

constexpr part_fingerprint first = 10;
constexpr part_fingerprint guilty = 20;
constexpr part_fingerprint other = 30;

generation_terms prompt_of(const std::vector<std::string>& ids) {
  generation_terms terms{"m", 100, 10, {}};
  for (const std::string& id : ids)
    terms.parts.push_back({id, 10});
  return terms;
}

void crash(part_quarantine& of, endpoint_hash incarnation,
           const std::vector<part_fingerprint>& parts, time_ms at, time_ms written = {}) {
  const cut_parts run{parts, written};
  of.note_death(incarnation, std::span{&run, 1}, at);
}

bool refuses(const part_quarantine& of, const std::vector<part_fingerprint>& parts, time_ms now) {
  return of.refusal(parts, now).has_value();
}

part_news sample_news() {
  return {{{7, 4_s, {{guilty, 1.0}, {other, most_exoneration}}}, {8, 2_s, {{guilty, 0.5}}}},
          {{first, 3_s}},
          {{other, 5_ms}}};
}

} // namespace

TEST_CASE("a part is the same in all text forms of its id, and the last part is left out") {
  const auto parts = shared_parts(prompt_of({"00aB", "1", "AB", "ffff"}), "s");
  CHECK(parts.size() == 2);
  CHECK(parts == shared_parts(prompt_of({" ab ", "01", "1234"}), "s"));
  CHECK(parts != shared_parts(prompt_of({"ab", "1", "1234"}), "another"));
  CHECK(shared_parts(prompt_of({"ab"}), "s").empty());
  CHECK(shared_parts(prompt_of({}), "s").empty());
  CHECK(shared_parts(prompt_of({"0", "000", "", "x"}), "s").size() == 1);
}

TEST_CASE("the longer a run has written, the less it is blamed for the death of its endpoint") {
  const part_policy policy;
  CHECK(blame_weight(policy, 0_ms) == 1);
  CHECK(blame_weight(policy, policy.full_blame) == 1);
  CHECK(blame_weight(policy, 250_ms) == doctest::Approx(0.5));
  CHECK(blame_weight(policy, policy.no_blame) == 0);
  CHECK(blame_weight(policy, 500_ms) < 0);
  CHECK(blame_weight(policy, 100_s) == most_exoneration);
}

TEST_CASE("five deaths refuse a part at once and are a verdict when they have settled") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 4; ++i)
    crash(of, i, {guilty}, 10_s);
  CHECK_FALSE(refuses(of, {first, guilty}, 11_s));
  crash(of, 4, {guilty}, 11_s); // the same death, found twice
  CHECK_FALSE(refuses(of, {first, guilty}, 11_s));
  crash(of, 5, {guilty}, 12_s);
  CHECK_FALSE(of.refusal(std::vector{guilty}, 12_s)->quarantined);
  CHECK_FALSE(of.refusal(std::vector{guilty}, 14_s)->quarantined); // it has not been tried
  CHECK(of.refusal(std::vector{guilty}, 15_s)->quarantined);
  CHECK_FALSE(refuses(of, {first, other}, 15_s));
  CHECK(of.quarantined(15_s) == std::vector{guilty});
}

// Guards against refusals of a part that most requests share.
TEST_CASE("an answer, or one that goes on for long, clears a part") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 6; ++i)
    crash(of, i, {first, guilty}, 10_s);
  CHECK(refuses(of, {first, guilty}, 12_s));
  CHECK_FALSE(refuses(of, {first, other}, 12_s)); // the other part may be the cause
  of.note_harmless(std::vector{first}, 12_s);
  CHECK(refuses(of, {other, guilty}, 12_s));
  crash(of, 7, {first}, 13_s);
  CHECK(of.deaths_of(first) == 0);
  CHECK(of.deaths_of(guilty) == 6);
}

TEST_CASE("the parts that were answered last are known where there are too many") {
  part_policy policy;
  policy.max_harmless = 100;
  part_quarantine of{policy};
  for (part_fingerprint part = 1; part <= 150; ++part)
    of.note_harmless(std::vector{part}, time_ms{static_cast<std::int64_t>(part)});
  CHECK_FALSE(of.is_harmless(1, 1_s));
  for (part_fingerprint part = 101; part <= 150; ++part)
    CHECK(of.is_harmless(part, 1_s));
}

TEST_CASE("a short whole answer clears the parts of its prompt") {
  structured_log log{{.host = "part-quarantine-test", .file = "/dev/null"}};
  content_guard guard{{}, log};
  const endpoint_id sound{"sound"};
  const auto end = [&](const endpoint_id& endpoint, endpoint_hash life, content_fingerprint content,
                       const std::vector<part_fingerprint>& parts, send_outcome outcome) {
    guard.note_end({content, endpoint, life, 10_s, parts}, outcome, 10100_ms);
  };
  end(sound, 99, 1, {first}, send_outcome::answered);
  for (endpoint_hash i = 1; i <= 5; ++i) {
    const endpoint_id endpoint{"e" + std::to_string(i)};
    end(endpoint, i, 100 + i, {first, guilty}, send_outcome::failed);
    guard.note_lost(endpoint, i, loss_source::refused, 10200_ms);
  }
  CHECK(guard.refusal(200, std::vector{other, guilty}, 12_s).has_value());
  CHECK_FALSE(guard.refusal(201, std::vector{first, other}, 12_s).has_value());
}

TEST_CASE("a run that went on beyond the moment of a crash exonerates its part") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, {guilty}, 10_s);
  crash(of, 6, {guilty}, 10_s, 600_ms);
  CHECK_FALSE(refuses(of, {guilty}, 12_s));
}

TEST_CASE("other hosts are told when a later run exonerates a part") {
  part_quarantine of;
  crash(of, 1, {guilty}, 10_s);
  CHECK(of.take_news().deaths.size() == 1);
  crash(of, 1, {guilty}, 10_s);
  CHECK(of.take_news().deaths.empty());
  crash(of, 1, {guilty}, 10_s, 600_ms);
  const part_news news = of.take_news();
  REQUIRE(news.deaths.size() == 1);
  CHECK(news.deaths.front().blamed.front().weight < 0);
}

TEST_CASE("deaths under a part that has crashed more endpoints do not count for others") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 7; ++i)
    crash(of, i, {guilty}, 10_s);
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, {other}, 10_s);
  CHECK(refuses(of, {guilty}, 12_s));
  CHECK_FALSE(refuses(of, {other}, 12_s));
}

// Guards against a wrong verdict that stands since nobody sends the part any more.
TEST_CASE("one request at a time tries a part that is refused, and its answer clears the part") {
  part_quarantine of;
  const std::vector parts{first, guilty};
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, parts, 10_s);
  of.note_harmless(std::vector{first}, 10_s);
  CHECK_FALSE(of.begin_trial(parts, 10900_ms)); // the deaths have not settled
  CHECK_FALSE(of.begin_trial(std::vector{other}, 11_s));
  CHECK(of.begin_trial(parts, 11_s) == guilty);
  CHECK(of.take_news().trials.size() == 1);
  CHECK_FALSE(of.begin_trial(parts, 11500_ms));
  of.note_harmless(parts, 12_s);
  CHECK_FALSE(refuses(of, parts, 12_s));
}

TEST_CASE("a part whose trial has failed is tried again after a minute, and then later") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, {guilty}, 10_s);
  REQUIRE(of.begin_trial(std::vector{guilty}, 11_s));
  crash(of, 6, {guilty}, 11500_ms);
  CHECK(of.refusal(std::vector{guilty}, 11500_ms)->quarantined);
  CHECK_FALSE(of.begin_trial(std::vector{guilty}, 69_s));
  REQUIRE(of.begin_trial(std::vector{guilty}, 70_s));
  crash(of, 7, {guilty}, 71_s);
  CHECK_FALSE(of.begin_trial(std::vector{guilty}, 1200_s));
  CHECK(of.begin_trial(std::vector{guilty}, 1211_s));
}

TEST_CASE("a trial that was cut while it wrote has not failed") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, {guilty}, 10_s);
  REQUIRE(of.begin_trial(std::vector{guilty}, 11_s));
  crash(of, 6, {guilty}, 11500_ms, 380_ms);
  CHECK(of.begin_trial(std::vector{guilty}, 16_s));
}

TEST_CASE("a request with two suspects tries neither") {
  part_quarantine of;
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(of, i, {guilty}, 10_s);
  crash(of, 9, {other}, 10_s);
  CHECK_FALSE(of.begin_trial(std::vector{guilty, other}, 12_s));
  CHECK(of.begin_trial(std::vector{first, guilty}, 12_s));
}

// Guards against a fleet in which each host ends an endpoint to find out the same.
TEST_CASE("few of many hosts try a part at first, and none while another one does") {
  int trying = 0;
  constexpr std::uint64_t hosts = 300;
  for (std::uint64_t host = 0; host < hosts; ++host) {
    part_quarantine of;
    of.set_hosts(mix_hash(host, 1), hosts);
    for (endpoint_hash i = 1; i <= 5; ++i)
      crash(of, i, {guilty}, 10_s);
    trying += of.begin_trial(std::vector{guilty}, 11100_ms) ? 1 : 0;
    of.merge({{}, {}, {{guilty, 10_ms}}}, 14_s);
    CHECK_FALSE(of.begin_trial(std::vector{guilty}, 14_s));
    CHECK(of.begin_trial(std::vector{guilty}, 30_s));
  }
  CHECK(trying < 10);
}

TEST_CASE("evidence on parts reaches other hosts unchanged, and invalid bytes are refused") {
  const auto messages = encode_part_news(sample_news(), 1);
  REQUIRE(messages.size() == 1);
  const auto news = decode_part_news(messages.front());
  REQUIRE(news.has_value());
  CHECK(news->harmless.front().part == first);
  CHECK(news->harmless.front().age == 3_s);
  REQUIRE(news->trials.size() == 1);
  CHECK(news->trials.front().part == other);
  CHECK(news->trials.front().age == 5_ms);
  REQUIRE(news->deaths.size() == 2);
  CHECK(news->deaths.front().incarnation == 7);
  CHECK(news->deaths.front().blamed.at(0).weight == 1);
  CHECK(news->deaths.front().blamed.at(1).weight == most_exoneration);
  CHECK(news->deaths.back().blamed.front().weight == doctest::Approx(0.5));
  for (std::size_t length = 0; length < messages.front().size(); ++length) {
    const auto cut = decode_part_news(messages.front().substr(0, length));
    CHECK((!cut || cut->harmless.size() + cut->deaths.size() + cut->trials.size() < 4));
  }
  std::string heavy = encode_part_news({{{7, 4_s, {{guilty, 1.0}}}}, {}}, 1).front();
  heavy.back() = '\xff';
  CHECK(decode_part_news(heavy)->deaths.front().blamed.front().weight == 1);
  CHECK_FALSE(decode_part_news("\x02").has_value());
  CHECK_FALSE(decode_part_news("\x01\x09").has_value());
}

TEST_CASE("a host learns from another one which part crashes endpoints and which are harmless") {
  part_quarantine here;
  part_quarantine there;
  for (endpoint_hash i = 1; i <= 5; ++i)
    crash(there, i, {first, guilty}, 10_s);
  here.note_harmless(std::vector{first}, 10_s);
  here.merge(there.take_news(), 10100_ms);
  CHECK(refuses(here, {guilty, other}, 12_s));
  there.merge(here.take_news(), 10200_ms);
  CHECK(there.deaths_of(first) == 0);
}

// Guards against a fleet that forgets a crashing part when all hosts start again.
TEST_CASE("the record of a part is read as it was written, and deleted once it is harmless") {
  const time_ms wall{1'790'000'000'000};
  part_quarantine of;
  crash(of, 1, {guilty}, 10_s);
  CHECK(of.due_records(10_s).empty());
  crash(of, 2, {guilty}, 11_s, 250_ms);
  const auto due = of.due_records(11_s);
  REQUIRE(due.size() == 1);
  const std::string text = encode_part(due.front(), wall);
  const part_record read = parse_part(part_key(guilty), text, wall + 60_s);
  CHECK(read.part == guilty);
  REQUIRE(read.deaths.size() == 2);
  CHECK(read.deaths.at(0).age == 61_s);
  CHECK(read.deaths.at(1).weight == doctest::Approx(0.5));
  CHECK(parse_part(part_key(guilty), text, wall + 4000_s).deaths.empty());
  of.note_recorded(due);
  CHECK(of.due_records(11_s).empty());
  of.note_harmless(std::vector{guilty}, 12_s);
  REQUIRE(of.due_records(12_s).size() == 1);
  CHECK(of.due_records(12_s).front().deaths.empty());
  for (const char* bad : {"", "x", "2", "1 zz 3 4", "1 5 4001 4", "1 5", "1 5 100"})
    CHECK_THROWS_AS((void)parse_part(part_key(guilty), bad, wall), error);
  CHECK_THROWS_AS((void)parse_part(quarantine_key(guilty), text, wall), error);
}

TEST_CASE("a page of the log holds contents and parts, and names those that have ended") {
  const time_ms wall{1'790'000'000'000};
  const part_record record{guilty, {{1, 1.0, 5_s}, {2, 1.0, 4_s}}};
  keyed_page page;
  page.records = {{part_key(guilty), encode_part(record, wall)},
                  {part_key(other), encode_part(record, wall - 4000_s)},
                  {part_key(first), std::nullopt},
                  {"part-short", "1"}};
  const quarantine_page read = read_quarantines(page, wall);
  REQUIRE(read.parts.size() == 3);
  CHECK(read.ended_parts == std::vector{other});
  CHECK(read.faults.size() == 1);
  CHECK(read.news.empty());
}
