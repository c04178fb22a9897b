#include "caller.hpp"
#include "standin/standin.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::standin;

namespace {

const std::string records = "/v1/streams/fleet/records";

} // namespace

TEST_CASE("the log hands out offsets, forgets the oldest records and says so") {
  log_store log{{.address = any_port, .retain_records = 2}};
  const auto address = log.server().address();
  const reply first = call(address, "POST", records, R"({"records":["YQ==","Yg=="]})");
  CHECK(first.json()->getValue<int>("first_offset") == 1);
  CHECK(call(address, "POST", records, R"({"records":["Yw=="]})")
            .json()
            ->getValue<int>("first_offset") == 3);
  const reply gone = call(address, "GET", records + "?from=1&max=10&wait_ms=0");
  CHECK(gone.status == 410);
  CHECK(gone.json()->getValue<int>("first") == 2);
  const auto kept = call(address, "GET", records + "?from=2&max=1&wait_ms=0").json();
  CHECK(kept->getValue<int>("next") == 3);
  CHECK(kept->getArray("records")->getObject(0)->getValue<std::string>("data") == "Yg==");
}

TEST_CASE("a reader at the end of the log waits for the next record") {
  log_store log{{.address = any_port}};
  const auto address = log.server().address();
  reply got;
  std::thread reader{[&] { got = call(address, "GET", records + "?from=1&max=10&wait_ms=30000"); }};
  (void)call(address, "POST", records, R"({"records":["YQ=="]})");
  reader.join();
  CHECK(got.json()->getArray("records")->size() == 1);
}

// An operator's publish seems to fail, he sends it again, and it takes effect twice unless the
// writer knows it by its record id: the append happened, only its answer got lost.
TEST_CASE("an append whose answer is lost has taken effect") {
  log_store log{{.address = any_port}};
  const auto address = log.server().address();
  (void)call(address, "POST", "/admin/faults", R"({"lose_answers":1})");
  CHECK_THROWS_AS((void)call(address, "POST", records, R"({"records":["YQ=="]})"), Poco::Exception);
  const auto read = call(address, "GET", records + "?from=1&max=10&wait_ms=0").json();
  CHECK(read->getArray("records")->size() == 1);
}

TEST_CASE("in an outage every call is refused, and afterwards nothing is missing") {
  log_store log{{.address = any_port}};
  const auto address = log.server().address();
  (void)call(address, "POST", records, R"({"records":["YQ=="]})");
  (void)call(address, "POST", "/admin/faults", R"({"outage":true})");
  CHECK(call(address, "GET", records + "?from=1").status == 503);
  CHECK(call(address, "POST", records, R"({"records":["Yg=="]})").status == 503);
  (void)call(address, "POST", "/admin/faults", R"({"outage":false})");
  const auto read = call(address, "GET", records + "?from=1&max=10").json();
  CHECK(read->getArray("records")->size() == 1);
}

TEST_CASE("the host list replaces entries by name and drops those that are gone") {
  host_list list{{.address = any_port}};
  const auto address = list.server().address();
  (void)call(address, "PUT", "/v1/hosts",
             R"({"hosts":[{"name":"a","state":"live"},{"name":"b","state":"live"}]})");
  (void)call(address, "PUT", "/v1/hosts",
             R"({"hosts":[{"name":"a","state":"leaving"},{"name":"b","state":"gone"}]})");
  const auto hosts = call(address, "GET", "/v1/hosts").json()->getArray("hosts");
  REQUIRE(hosts->size() == 1);
  CHECK(hosts->getObject(0)->getValue<std::string>("state") == "leaving");
}

TEST_CASE("a lagging host list still shows what was true before") {
  host_list list{{.address = any_port, .lag_ms = 3'600'000}};
  const auto address = list.server().address();
  (void)call(address, "PUT", "/v1/hosts", R"({"hosts":[{"name":"a","state":"live"}]})");
  CHECK(call(address, "GET", "/v1/hosts").json()->getArray("hosts")->size() == 0);
}

TEST_CASE("the weight store refuses beyond its rate and says when to come back") {
  weight_store store{{.address = any_port, .per_minute = 1}};
  const auto address = store.server().address();
  CHECK(call(address, "GET", "/v1/weights/lens-writer/3").status == 200);
  CHECK(call(address, "GET", "/v1/weights/lens-writer/3").status == 429);
}

// A box misses its van, or two boxes travel: the order was placed, the answer got lost, and a
// service that keeps no keys places it again when asked again.
TEST_CASE("a plain service counts what ran even when its answer is lost") {
  plain_service service{{.address = any_port, .work_ms = 0}};
  const auto address = service.server().address();
  (void)call(address, "POST", "/admin/faults", R"({"lose_answers":1})");
  CHECK_THROWS_AS((void)call(address, "POST", "/orders/7", "{}", "r1"), Poco::Exception);
  CHECK(call(address, "POST", "/orders/7", "{}", "r1").status == 200);
  const auto stats = call(address, "GET", "/admin/stats").json();
  CHECK(stats->getObject("requests")->getObject("r1")->getValue<int>("runs") == 2);
}

TEST_CASE("a fleet starts every endpoint of a hosts file by its pool") {
  Poco::JSON::Parser parser;
  const auto file = parser
                        .parse(R"({
    "standins": {"log": "127.0.0.1:0", "hosts": "127.0.0.1:0",
                 "pools": {"lm": {"model": "m"}, "orders": {"service": "orders"}}},
    "hosts": [{"name":"h","kind":"entry","address":"127.0.0.1:1","data_centre":"d"},
              {"name":"lm-1","kind":"endpoint","address":"127.0.0.1:0","pool":"lm"},
              {"name":"o-1","kind":"endpoint","address":"127.0.0.1:0","pool":"orders"}]})")
                        .extract<Poco::JSON::Object::Ptr>();
  fleet all;
  all.start(*file);
  CHECK(all.size() == 4);
}
