#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <fstream>

using namespace sedgechute;

namespace {

struct fixture {
  explicit fixture(std::size_t most_kept = 1000)
      : log{{.host = "faults-test", .file = file, .repeats = 100}}, faults{log, figures,
                                                                           most_kept} {}
  fixture(const fixture&) = delete;
  fixture& operator=(const fixture&) = delete;
  ~fixture() { Poco::File{file}.remove(); }

  [[nodiscard]] double counted(std::string_view topic) {
    return figures.counter_at(metric::unusable_entries, {topic}).Value();
  }

  [[nodiscard]] std::vector<std::string> lines() const {
    std::ifstream in{file};
    std::vector<std::string> all;
    for (std::string line; std::getline(in, line);)
      all.push_back(line);
    return all;
  }

  std::string file{Poco::TemporaryFile::tempName()};
  structured_log log;
  metrics figures{"faults-test"};
  entry_faults faults;
};

} // namespace

TEST_CASE("an unusable entry is reported once, with its topic, key and reason") {
  fixture at;
  for (int i = 0; i < 10; ++i)
    at.faults.note(entry_topic::hosts, "h1", "has no address");
  CHECK(at.counted("hosts") == 1);
  REQUIRE(at.lines().size() == 1);
  const std::string line = at.lines().front();
  for (const char* part : {R"("event":"entry_unusable")", R"("document":"hosts")",
                           R"("entry":"h1")", R"("reason":"has no address")"})
    CHECK(line.find(part) != std::string::npos);
}

TEST_CASE("an entry is reported again for another reason, in another topic, and when it was good") {
  fixture at;
  at.faults.note(entry_topic::hosts, "h1", "a");
  at.faults.note(entry_topic::hosts, "h1", "b");
  at.faults.note(entry_topic::accounts, "h1", "b");
  at.faults.clear(entry_topic::hosts, "h1");
  at.faults.clear(entry_topic::hosts, "h2");
  at.faults.note(entry_topic::hosts, "h1", "b");
  CHECK(at.counted("hosts") == 3);
  CHECK(at.counted("accounts") == 1);
  at.faults.clear(entry_topic::accounts);
  at.faults.note(entry_topic::accounts, "h1", "b");
  CHECK(at.counted("accounts") == 2);
  CHECK(at.lines().size() == 5);
}

// A writer fills a topic with entries of ever new keys, of any bytes and length. Lines and memory
// are bounded; the count is not.
TEST_CASE("any number of unusable entries costs a bounded number of lines") {
  fixture at{50};
  for (int i = 0; i < 3000; ++i)
    at.faults.note(entry_topic::endpoints, std::to_string(i) + std::string(1000, '\xff'),
                   std::string(1000, '\x01'));
  CHECK(at.counted("endpoints") == 3000);
  CHECK(at.lines().size() <= 400); // 100 in each second that this takes
  for (const std::string& line : at.lines())
    CHECK(line.size() < 2500);
}
