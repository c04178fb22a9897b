#include "soak_endpoints.hpp"

#include <array>
#include <sstream>

namespace sedgechute::soak {

namespace {

constexpr std::uint64_t heartbeat_ms = 1200; // between two writes of an entry
constexpr std::size_t max_written = 8;       // entries that are kept of an id
constexpr std::uint64_t longest_lapse_ms = 1500;
constexpr std::uint64_t longest_delay_ms = 3000; // of a write
constexpr std::size_t slots = 16;

} // namespace

void soak_endpoints::list(endpoint& of, bool draining) {
  std::ostringstream text;
  text << R"({"Service":")" << of.service << R"(","Address":")" << of.link->address()
       << R"(","Zone":")" << data_centre_name(of.data_centre) << R"(","Version":")" << of.build
       << R"(","Slots":)" << (refusals_borne_by(of) ? brittle_slots : slots)
       << R"(,"ColdRemainingMs":0,"Sequence":)" << ++of.sequence << R"(,"State":")"
       << (draining ? "draining" : "ready") << R"(","born":)" << of.started.count() << "}";
  if (!draining)
    note_leaving(of, false); // from before the list says so
  store_.put("keyed.servers", of.id, text.str());
  of.listed_draining = draining;
  if (of.written.size() == max_written)
    of.written.erase(of.written.begin());
  of.written.push_back(text.str());
  if (draining)
    note_leaving(of, true);
}

void soak_endpoints::unlist(endpoint& of) {
  store_.put("keyed.servers", of.id, std::nullopt);
  of.listed_draining.reset();
  note_leaving(of, true);
}

// An endpoint that is down writes nothing; its entry goes when its lease ends.
void soak_endpoints::renew_entry(endpoint& of) {
  if (!of.listed_draining)
    store_.put("keyed.servers", of.id, std::nullopt);
  else if (of.program)
    list(of, *of.listed_draining);
}

void soak_endpoints::note_leaving(endpoint& of, bool leaves) {
  if (!leaves)
    of.left_list = stays;
  else if (of.left_list == stays)
    of.left_list = time_.now().count();
}

void soak_endpoints::spoil_entry() {
  static constexpr std::array spoiled{"", "no entry", R"({"Service":"app"})",
                                      R"({"Service":7,"Address":"x"})"};
  endpoint& of = any();
  if (!of.program || of.leaving)
    return;
  of.leaving = true;
  tell(of, "has its entry spoiled");
  const std::string text = spoiled.at(random_.below(spoiled.size()));
  if (text.empty()) {
    unlist(of);
  } else {
    store_.put("keyed.servers", of.id, text);
    of.listed_draining.reset();
    note_leaving(of, true);
  }
  const auto span = static_cast<std::int64_t>(random_.below(longest_lapse_ms));
  later_.add(time_.now() + time_ms{span}, [this, &of] {
    of.leaving = false;
    list(of, false);
  });
}

// A late write that takes a leaving back breaks a promise, so all endpoints that leave have one.
void soak_endpoints::write_late() {
  for (auto& one : all_)
    if (one->program && one->left_list != stays)
      write_late(*one);
  write_late(any());
}

void soak_endpoints::write_late(endpoint& of) {
  if (of.written.empty())
    return;
  const std::string& late = of.written[random_.below(of.written.size())];
  const auto after = static_cast<std::int64_t>(random_.below(longest_delay_ms));
  later_.add(time_.now() + time_ms{after}, [this, &of, id = of.id, late] {
    if (of.id != id)
      return;
    tell(of, "has a write executed late");
    store_.put("keyed.servers", id, late);
    const auto until_next = static_cast<std::int64_t>(random_.below(heartbeat_ms));
    later_.add(time_.now() + time_ms{until_next}, [this, &of, id] {
      if (of.id == id)
        renew_entry(of);
    });
  });
}

} // namespace sedgechute::soak
