#include "report.hpp"

#include <algorithm>
#include <iomanip>

namespace sedgechute::bench {

namespace {

constexpr auto chat = static_cast<std::size_t>(work_class::interactive);

const run_record* find(std::span<const run_record> records, const std::string& who, double load,
                       fault trouble, way_of_routing way) {
  const auto found = std::ranges::find_if(records, [&](const run_record& r) {
    return r.setting.who.name == who && r.setting.load == load && r.setting.trouble == trouble &&
           r.way == way;
  });
  return found == records.end() ? nullptr : &*found;
}

void print_target(std::ostream& out, const std::string& what, double measured, double wanted) {
  out << (measured <= wanted ? "reached  " : "MISSED   ") << what << ": " << std::setprecision(4)
      << measured << " (at most " << wanted << ")\n";
}

void print_user_targets(std::ostream& out, std::span<const run_record> records,
                        const std::string& who) {
  using enum way_of_routing;
  const auto at = [&](double load, way_of_routing way, fault trouble = fault::none) {
    return find(records, who, load, trouble, way);
  };
  const auto p99 = [](const run_record* r) { return r->figures.classes[chat].p99_ms; };
  if (at(0.9, fleet) != nullptr) {
    print_target(out, who + ": chat p99 at 0.9 over the oracle's",
                 p99(at(0.9, fleet)) / p99(at(0.9, oracle)), 1.3);
    print_target(out, who + ": chat p99 at 0.9 over round robin's",
                 p99(at(0.9, fleet)) / p99(at(0.9, naive)), 0.5);
    print_target(out, who + ": oracle's cache hits over ours",
                 at(0.9, oracle)->figures.cache_hits / at(0.9, fleet)->figures.cache_hits,
                 1.0 / 0.9);
  }
  for (const double load : {1.2, 3.0})
    if (at(load, fleet) != nullptr)
      print_target(out, who + ": worst share error at " + std::to_string(load).substr(0, 3),
                   at(load, fleet)->figures.share_error, 0.02);
  if (at(3.0, fleet) != nullptr && at(1.0, fleet) != nullptr)
    print_target(out, who + ": goodput at 1 over that at 3",
                 at(1.0, fleet)->figures.goodput / at(3.0, fleet)->figures.goodput, 1.0 / 0.95);
  for (const fault trouble : {fault::flood, fault::huge_prompts})
    if (at(0.7, fleet, trouble) != nullptr)
      print_target(
          out, who + ": others' chat p99 with " + std::string{name_of(trouble)} + " over without",
          at(0.7, fleet, trouble)->other_chat_p99_ms / at(0.7, fleet)->other_chat_p99_ms, 1.1);
  for (const fault trouble : {fault::flood, fault::huge_prompts})
    if (at(0.7, fleet, trouble) != nullptr)
      print_target(
          out, who + ": the same, from 10 s after " + std::string{name_of(trouble)},
          at(0.7, fleet, trouble)->settled_chat_p99_ms / at(0.7, fleet)->settled_chat_p99_ms, 1.1);
  if (at(0.7, fleet, fault::poison) != nullptr)
    print_target(out, who + ": replicas lost to poison",
                 at(0.7, fleet, fault::poison)->figures.crashes, 2);
  std::size_t lost = 0;
  std::size_t wrong = 0;
  for (const run_record& r : records)
    if (r.setting.who.name == who && r.way == fleet) {
      lost += r.figures.lost + r.figures.answered_twice;
      wrong += r.wrongly_quarantined;
    }
  print_target(out, who + ": requests lost or answered twice", static_cast<double>(lost), 0);
  print_target(out, who + ": innocent contents quarantined", static_cast<double>(wrong), 0);
}

void json_class(std::ostream& out, const class_summary& c) {
  out << "{\"p50_ms\":" << c.p50_ms << ",\"p95_ms\":" << c.p95_ms << ",\"p99_ms\":" << c.p99_ms
      << ",\"answered\":" << c.answered << ",\"refused\":" << c.refused << ",\"cut\":" << c.cut
      << "}";
}

void json_run(std::ostream& out, const run_record& r) {
  const summary& f = r.figures;
  out << "{\"users\":\"" << r.setting.who.name << "\",\"way\":\"" << r.way
      << "\",\"load\":" << r.setting.load << ",\"fault\":\"" << r.setting.trouble << '"';
  for (std::size_t c = 0; c < work_class_count; ++c) {
    out << ",\"" << static_cast<work_class>(c) << "\":";
    json_class(out, f.classes[c]);
  }
  out << ",\"goodput\":" << f.goodput << ",\"share_error\":" << f.share_error
      << ",\"share_error_own\":" << f.share_error_own << ",\"cache_hits\":" << f.cache_hits
      << ",\"retries_per_request\":" << f.tries << ",\"lost\":" << f.lost
      << ",\"answered_twice\":" << f.answered_twice << ",\"crashes\":" << f.crashes
      << ",\"detected_ms\":" << r.detected_ms << ",\"recovered_ms\":" << r.recovered_ms
      << ",\"other_chat_p99_ms\":" << r.other_chat_p99_ms
      << ",\"settled_chat_p99_ms\":" << r.settled_chat_p99_ms
      << ",\"wrongly_quarantined\":" << r.wrongly_quarantined << "}";
}

} // namespace

void print(std::ostream& out, const run_record& r) {
  const summary& f = r.figures;
  out << std::fixed << std::setprecision(0) << std::left << std::setw(13) << r.setting.who.name
      << std::setw(7) << name_of(r.way) << std::setprecision(1) << r.setting.load << ' '
      << std::setw(13) << name_of(r.setting.trouble) << std::right << std::setprecision(0);
  for (const class_summary& c : f.classes)
    out << " |" << std::setw(6) << c.p50_ms << std::setw(7) << c.p95_ms << std::setw(7) << c.p99_ms
        << std::setw(6) << c.refused << '/' << c.answered + c.refused + c.cut;
  out << " | good " << f.goodput << " hits " << std::setprecision(3) << f.cache_hits << " share "
      << f.share_error << '/' << f.share_error_own << " tries " << f.tries << " cut "
      << f.classes[0].cut + f.classes[1].cut + f.classes[2].cut << " lost " << f.lost;
  if (r.way == way_of_routing::fleet)
    out << std::setprecision(0) << " told " << r.bytes_per_s << " B/s " << r.messages_per_s
        << " msg/s";
  if (r.setting.trouble != fault::none)
    out << std::setprecision(0) << " crashes " << f.crashes << " detected " << r.detected_ms
        << " recovered " << r.recovered_ms << " others' chat " << r.other_chat_p99_ms << " wrong "
        << r.wrongly_quarantined;
  out << std::endl;
}

void print(std::ostream& out, const kernel_times& k) {
  out << std::fixed << std::setprecision(0) << "choose among 2500: " << k.choose_short_ns
      << " ns, long prompt " << k.choose_long_ns << " ns; start and end " << k.start_ns
      << " ns; enqueue, dequeue and settle with 830 teams: " << k.queue_ns << " ns; plan "
      << k.plan_us << " us; review " << k.review_us << " us; table " << k.table_bytes << " bytes\n";
}

void print_targets(std::ostream& out, std::span<const run_record> records,
                   const kernel_times& kernels) {
  std::vector<std::string> seen;
  for (const run_record& r : records)
    if (std::ranges::find(seen, r.setting.who.name) == seen.end()) {
      seen.push_back(r.setting.who.name);
      print_user_targets(out, records, r.setting.who.name);
    }
  print_target(out, "choose among 2500, ns", kernels.choose_short_ns, 5000);
  print_target(out, "choose among 2500 with a long prompt, ns", kernels.choose_long_ns, 5000);
  print_target(out, "enqueue, dequeue and settle with 830 teams, ns", kernels.queue_ns, 1000);
}

void print_json(std::ostream& out, std::span<const run_record> records,
                const kernel_times& kernels) {
  out << std::defaultfloat << std::setprecision(6) << "{\"runs\":[";
  const char* separator = "";
  for (const run_record& r : records) {
    out << separator;
    json_run(out, r);
    separator = ",";
  }
  out << "],\"kernels\":{\"choose_ns\":" << kernels.choose_short_ns
      << ",\"choose_long_ns\":" << kernels.choose_long_ns
      << ",\"start_end_ns\":" << kernels.start_ns << ",\"queue_ns\":" << kernels.queue_ns
      << ",\"plan_us\":" << kernels.plan_us << ",\"review_us\":" << kernels.review_us
      << ",\"table_bytes\":" << kernels.table_bytes << "}}" << std::endl;
}

} // namespace sedgechute::bench
