#include "platform/platform.hpp"
#include "silent_address.hpp"
#include "standin/standin.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

constexpr time_ms timeout{500};
const topic_part part{"keyed.test", 0};

struct fixture {
  explicit fixture(std::size_t page_records = 500)
      : store{{.address = Poco::Net::SocketAddress{"127.0.0.1", 0}, .page_records = page_records}},
        client{store.server().address().toString(), timeout} {}

  standin::topic_store store;
  store_client client;
};

void set_faults(standin::topic_store& store, const char* name, std::int64_t value) {
  Poco::JSON::Object change;
  change.set(name, value);
  store.server().board().merge(change);
}

} // namespace

TEST_CASE("records are framed with their length, and truncated frames are refused") {
  const keyed_record record{"key", "value"};
  const std::string bytes = frame_record(record);
  CHECK(bytes.substr(0, 4) == std::string("\0\0\0\x09", 4));
  const auto read = unframe_records(bytes + frame_record({"gone", std::nullopt}));
  REQUIRE(read.has_value());
  REQUIRE(read->size() == 2);
  CHECK((*read)[0].value == "value");
  CHECK_FALSE((*read)[1].value.has_value());
  for (std::size_t length = 1; length < bytes.size(); ++length)
    CHECK_FALSE(unframe_records(bytes.substr(0, length)));
}

// Another program writes a record that is too short for its key. If it were rejected or skipped, no
// host could read past it: offsets are counted from the records before.
TEST_CASE("a record without a key has its offset, and those after it are read") {
  for (const std::string& keyless : {std::string("\0\0\0\0", 4), std::string("\0\0\0\x01\x05", 5),
                                     std::string("\0\0\0\x03\xffhi", 7)}) {
    const auto read = unframe_records(keyless + frame_record({"key", "value"}));
    REQUIRE(read.has_value());
    REQUIRE(read->size() == 2);
    CHECK((*read)[0].key.empty());
    CHECK((*read)[0].value == "");
    CHECK((*read)[1].key == "key");
    CHECK((*read)[1].value == "value");
  }
  const auto empty_key = unframe_records(std::string("\0\0\0\x02\0v", 6));
  REQUIRE(empty_key.has_value());
  CHECK(empty_key->front().value == "v");
}

TEST_CASE("what is appended can be read, from any offset") {
  fixture at;
  CHECK(at.client.append_at(part, 0, {{"a", "1"}, {"b", "2"}}) == 2);
  at.client.append(part, {{"c", "3"}});
  const keyed_page page = at.client.read(part, 1, {});
  CHECK(page.end == 3);
  REQUIRE(page.records.size() == 2);
  CHECK(page.records[0].key == "b");
  CHECK(at.client.read(part, 3, {}).records.empty());
}

TEST_CASE("an append on a condition fails when the log has grown") {
  fixture at;
  REQUIRE(at.client.append_at(part, 0, {{"a", "1"}}) == 1);
  CHECK_FALSE(at.client.append_at(part, 0, {{"a", "2"}}));
  CHECK(at.client.newest(part).records.front().value == "1");
}

TEST_CASE("the newest of each key comes over several pages") {
  fixture at{3};
  for (int i = 0; i < 10; ++i)
    at.store.put("keyed.test", "key&" + std::to_string(i), "v" + std::to_string(i));
  at.store.put("keyed.test", "key&4", std::nullopt);
  const keyed_page page = at.client.newest(part);
  CHECK(page.records.size() == 9);
  CHECK(page.end == 11);
}

// The store deletes its history while a host reads. The host is told so, and reads the newest
// record of each key.
TEST_CASE("lost history is reported, and the newest of each key is still there") {
  fixture at;
  REQUIRE(at.client.append_at(part, 0, {{"a", "1"}, {"a", "2"}}) == 2);
  at.store.forget_history();
  CHECK(at.client.read(part, 0, {}).history_lost);
  const keyed_page page = at.client.newest(part);
  REQUIRE(page.records.size() == 1);
  CHECK(page.records.front().value == "2");
  CHECK(page.end == 2);
}

TEST_CASE("a waiting read returns with the first record") {
  fixture at;
  std::thread writer{[&] {
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    at.store.put("keyed.test", "k", "v");
  }};
  const keyed_page page = at.client.read(part, 0, time_ms{10000});
  writer.join();
  CHECK(page.records.size() == 1);
}

// The first waiting read of a host used the connection of its first plain read and kept that one's
// timeout: the store counted as unavailable although there was only nothing new.
TEST_CASE("a read on a kept connection may last as long as it waits") {
  fixture at;
  REQUIRE(at.client.read(part, 0, {}).records.empty());
  CHECK(at.client.read(part, 0, timeout + time_ms{300}).records.empty());
}

TEST_CASE("refused calls and silence are errors, and the next call works again") {
  fixture at;
  for (const int status : {429, 503, 507}) {
    at.store.refuse(status);
    CHECK_THROWS_AS((void)at.client.append_at(part, 0, {{"a", "1"}}), error);
    CHECK_THROWS_AS((void)at.client.read(part, 0, {}), error);
  }
  at.store.refuse(0);
  at.store.server().close_connections();
  CHECK(at.client.read(part, 0, {}).end == 0);
}

// An attempt that began just before an outage ended waited as long for a connection as for a slow
// answer. The host learned 1.4 s late that the store was available again, and went on sending to an
// endpoint that had left.
TEST_CASE("connecting times out long before an answer would") {
  const silent_address silent;
  store_client client{silent.address(), time_ms{30000}};
  const steady_clock time;
  const time_ms began = time.now();
  CHECK_THROWS_AS((void)client.read(part, 0, {}), error);
  CHECK(time.now() - began < time_ms{10000});
}

// The answer to an append is lost. The call must report an unknown outcome and not retry: the
// condition would fail the second time, and the host would conclude that it was not granted the
// tokens.
TEST_CASE("an append whose answer is lost is not repeated") {
  fixture at;
  set_faults(at.store, "lose_answers", 1);
  CHECK_THROWS_AS((void)at.client.append_at(part, 0, {{"a", "1"}}), error);
  CHECK(at.store.conflicts() == 0);
  CHECK(at.client.newest(part).records.size() == 1);
}

TEST_CASE("hosts announce themselves once each") {
  fixture at;
  host_topic topic{at.store.server().address().toString(), timeout};
  topic.announce({"h1", "10.0.0.1:1", "dc"});
  topic.announce({"h1", "10.0.0.2:1", "dc"});
  topic.announce({"h2", "10.0.0.3:1", "other"});
  const auto hosts = topic.hosts().hosts;
  REQUIRE(hosts.size() == 2);
  CHECK(hosts[0].address == "10.0.0.2:1");
}

TEST_CASE("accounts read back from the store as they were written") {
  fixture at;
  account_topic accounts{at.store.server().address().toString(), timeout, 0};
  const account_record written{"team", "host", {1, 500, 20, 3}};
  CHECK(accounts.append_at(0, {written}) == 1);
  REQUIRE(accounts.newest().records.size() == 1);
  CHECK(accounts.newest().records.front() == written);
  CHECK(accounts.read(0).records.front() == written);
}
