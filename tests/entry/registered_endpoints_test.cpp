// Which entries of the list of endpoints name an endpoint to use, over the real decoder.

#include "entry/entry.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sedgechute;

namespace {

using name_set = std::set<std::string>;

std::string entry_text(const std::string& service, const std::string& state = "ready",
                       std::uint64_t sequence = 1) {
  return R"({"Service":")" + service +
         R"(","Address":"10.0.0.9:8080","Zone":"dc","Version":"v1",)" + R"("Slots":4,"State":")" +
         state + R"(","ColdRemainingMs":0,"Sequence":)" + std::to_string(sequence) + "}";
}

config_ptr config_of(std::uint64_t version, const name_set& services) {
  auto config = std::make_shared<fleet_config>();
  config->version = version;
  for (const std::string& name : services)
    config->add_service({.name = name});
  return config;
}

struct fixture {
  void take(const std::vector<keyed_record>& records, bool all = false) {
    list.apply(read_endpoints({records, 0, false}), all, time.now());
    list.drop_lapsed();
  }

  [[nodiscard]] name_set listed() const {
    name_set names;
    for (const endpoint_id& id : endpoints.ids())
      names.insert(id.str());
    return names;
  }

  /// \returns the endpoints to which requests for a service may go
  [[nodiscard]] name_set used(const std::string& service) {
    placement_request request{service, nullptr, {}};
    name_set names;
    while (const auto place = endpoints.place(request)) {
      names.insert(place->endpoint.str());
      request.avoid.push_back(place->incarnation);
      endpoints.release(*place, send_outcome::caller_left, false);
    }
    return names;
  }

  /// \returns how many entries of endpoints were reported as unusable
  [[nodiscard]] double reported() {
    return figures.counter_at(metric::unusable_entries, {"endpoints"}).Value();
  }

  manual_clock time;
  structured_log log{{.host = "list-test", .file = "/dev/null"}};
  metrics figures{"list-test"};
  entry_faults faults{log, figures};
  endpoint_directory endpoints{data_centre_id{"dc"}, choice_weights{}, time};
  registered_endpoints list{endpoints, settle_time(time_ms{1500}), faults, log};
};

} // namespace

// Another program overwrites the entry of an endpoint. Requests went on to the address that stood
// there before, which may be anybody's by now.
TEST_CASE(
    "an entry that becomes unreadable ends the use of its endpoint until a good one is back") {
  fixture at;
  at.take({{"e1", entry_text("s")}, {"e2", entry_text("s")}});
  for (const char* bad : {"garbage", "{}", "\xff", ""}) {
    at.take({{"e1", bad}});
    CHECK(at.used("s") == name_set{"e2"});
    at.take({{"e1", entry_text("s")}});
    CHECK(at.used("s") == name_set{"e1", "e2"});
  }
  at.take({{"e1", entry_text("s", "failing")}, {"e2", entry_text("s")}});
  CHECK(at.used("s") == name_set{"e2"});
}

// The store was away, and entries that are missing are given time to come back. One that is there
// and cannot be read is not waited for.
TEST_CASE("an unreadable entry is not taken for one that lapsed while the store was away") {
  fixture at;
  at.take({{"e1", entry_text("s")}, {"e2", entry_text("s")}});
  at.list.apply(read_endpoints({{{"e1", "garbage"}, {"e2", std::nullopt}}, 0, false}), true,
                at.time.now());
  CHECK(at.used("s") == name_set{"e2"});
  at.list.drop_lapsed();
  CHECK(at.used("s").empty());
}

TEST_CASE("all entries read anew end the use of those that are not among them") {
  fixture at;
  at.take({{"e1", entry_text("s")}, {"e2", entry_text("s")}, {"e3", entry_text("s")}});
  at.take({{"e2", entry_text("s")}, {"e3", "garbage"}}, true);
  CHECK(at.listed() == name_set{"e2"});
}

// A faulty writer repeats its entry every second, and hosts read lists anew. The log of each host
// would be full of it.
TEST_CASE("an unreadable entry is reported once, and again when it was good in between") {
  fixture at;
  for (int i = 0; i < 5; ++i)
    at.take({{"e1", "garbage"}, {"e2", entry_text("s")}}, i == 3);
  CHECK(at.reported() == 1);
  at.take({{"e1", entry_text("s", "failing")}});
  CHECK(at.reported() == 2); // for another reason
  at.take({{"e1", entry_text("s")}});
  at.list.check_services(config_of(1, {"s"}));
  at.take({{"e1", entry_text("s", "failing")}});
  CHECK(at.reported() == 3);
  at.take({{"e1", std::nullopt}});
  at.take({{"e1", entry_text("s", "failing")}});
  CHECK(at.reported() == 4);
}

// The endpoints of a new service register before the configuration that describes it. They must
// serve it from that moment on, although nothing more is heard of them.
TEST_CASE("an entry of a service that no configuration describes is kept until one does") {
  fixture at;
  at.take({{"e1", entry_text("s")}, {"e2", entry_text("new")}});
  at.list.check_services(nullptr);
  CHECK(at.reported() == 0); // nothing is known of any service yet
  at.list.check_services(config_of(1, {"s"}));
  at.list.check_services(config_of(1, {"s"}));
  CHECK(at.reported() == 1);
  at.list.check_services(config_of(2, {"s", "new"}));
  CHECK(at.reported() == 1);
  CHECK(at.used("new") == name_set{"e2"});
  at.list.check_services(config_of(3, {"s"}));
  CHECK(at.reported() == 2);
}

namespace {

/// \returns a number below `end`, each as often: ranges of the library begin small
int drawn_below(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

/// \returns an entry that no endpoint wrote, of a kind drawn at random
std::string bad_text() {
  const std::string whole = entry_text("s1");
  const auto spoil = [&](const std::string& from, const std::string& to) {
    return std::string{whole}.replace(whole.find(from), from.size(), to);
  };
  switch (drawn_below(8)) {
  case 0:
    return whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size()));
  case 1:
    return std::string{whole}.insert(*rc::gen::inRange<std::size_t>(0, whole.size() + 1), "\xff");
  case 2: {
    const auto field = *rc::gen::element<std::string>(
        "Service", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "Sequence");
    return spoil("\"" + field + "\"", "\"Other\"");
  }
  case 3:
    return spoil("ready", *rc::gen::element<std::string>("failing", "READY", "", "gone"));
  case 4:
    return spoil("4,", *rc::gen::element<std::string>("\"4\",", "0,", "[],", "null,", "1.5,"));
  case 5:
    return spoil("10.0.0.9:8080", *rc::gen::element<std::string>("a.b:1", "10.0.0.9", "1:2:3"));
  case 6:
    return spoil("{", R"({"State":"ready",)");
  default:
    return "?" + *rc::gen::arbitrary<std::string>();
  }
}

/// What the list should say of one entry; nothing where it names no endpoint.
using model = std::map<std::string, std::pair<std::string, std::string>>;

/// \param sequence  of the entry if it is a good one
keyed_record random_record(const std::vector<std::string>& keys, model& known,
                           std::uint64_t sequence) {
  const std::string key = *rc::gen::elementOf(keys);
  const bool is_id = !key.empty() && key.find_first_of(" \n\r\xff") == std::string::npos;
  const int kind = drawn_below(12);
  known.erase(key);
  if (kind == 0)
    return {key, std::nullopt};
  if (kind < 5)
    return {key, bad_text()};
  const auto service = *rc::gen::element<std::string>("s1", "s2", "unknown");
  const auto state = *rc::gen::element<std::string>("ready", "ready", "draining");
  if (is_id)
    known[key] = {service, state};
  return {key, entry_text(service, state, sequence)};
}

name_set ready_of(const model& known, const std::string& service) {
  name_set names;
  for (const auto& [id, said] : known)
    if (said == std::pair<std::string, std::string>{service, "ready"})
      names.insert(id);
  return names;
}

} // namespace

TEST_CASE("of good and bad entries in any order exactly the good ones are in use") {
  const bool holds = rc::check([] {
    fixture at;
    std::vector<std::string> keys{"", "not an id", "i\r\nX: y", "i\xff"};
    for (const auto& name : *rc::gen::container<std::vector<std::string>>(
             6, rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('!', '~')))))
      keys.push_back(name);
    const config_ptr config = config_of(1, {"s1", "s2"});
    model known;
    std::uint64_t sequence = 0;
    const int pages = 1 + drawn_below(7);
    for (int page = 0; page < pages; ++page) {
      std::vector<keyed_record> records;
      const int count = drawn_below(12);
      for (int i = 0; i < count; ++i)
        records.push_back(random_record(keys, known, ++sequence));
      at.take(records);
      if (*rc::gen::arbitrary<bool>())
        at.list.check_services(config);
      name_set all;
      for (const auto& [id, said] : known)
        all.insert(id);
      RC_ASSERT(at.listed() == all);
      for (const char* service : {"s1", "s2"})
        RC_ASSERT(at.used(service) == ready_of(known, service));
    }
  });
  CHECK(holds);
}
