#include "soak_hosts.hpp"

#include "relay/relay.hpp"

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace sedgechute::soak {

namespace {

constexpr time_ms grace{4000};
constexpr time_ms longest_exit{1000}; // beyond the grace
constexpr std::uint64_t longest_down_ms = 600;
constexpr std::uint64_t longest_freeze_ms = 3500;
constexpr std::uint64_t longest_replacement_ms = 4000;
constexpr std::uint64_t longest_link_fault_ms = 3000;
constexpr std::int64_t shortest_cut_ms = 1500;
constexpr std::uint64_t longest_cut_ms = 6000; // beyond it
constexpr std::int64_t longest_jump_ms = 2400; // what the product allows for, of one jump
constexpr std::uint64_t roll_ms = 700;         // between two stops of a series
constexpr time_ms question_timeout{300};
constexpr int hosts_per_net = 250;

std::string loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

link_fault any_fault(random_source& random) {
  static constexpr std::array faults{link_fault::none, link_fault::delay, link_fault::silent,
                                     link_fault::no_answers, link_fault::no_requests};
  return faults.at(random.below(faults.size()));
}

time_ms below(random_source& random, std::uint64_t bound) {
  return time_ms{static_cast<std::int64_t>(random.below(bound))};
}

} // namespace

soak_hosts::soak_hosts(const soak_shape& shape, const std::string& store, recorder& seen,
                       agenda& later, const clock& time, std::uint64_t seed)
    : shape_{shape}, store_{store}, seen_{seen}, later_{later}, time_{time}, random_{seed} {
  const bool faults = shape_.kind == soak_kind::faults;
  for (int i = 0; i < shape_.hosts; ++i) {
    host& one = *all_.emplace_back(std::make_unique<host>());
    const std::string name = "h" + std::to_string(i);
    one.number = static_cast<std::size_t>(i);
    take_addresses(one);
    one.settings = shape_.folder + "/" + name + ".json";
    one.output = shape_.folder + "/" + name;
    one.clocks = shape_.folder + "/" + name + ".clocks";
    one.paths = shape_.folder + "/" + name + ".paths";
    one.ip = "127.0." + std::to_string(1 + i / hosts_per_net) + "." +
             std::to_string(1 + i % hosts_per_net);
    one.store = std::make_unique<fault_proxy>(store_);
    if (faults)
      one.front = std::make_unique<fault_proxy>(one.callers);
    one.reached_at = one.front ? one.front->address() : one.callers;
    const auto span = static_cast<std::int64_t>(random_.below(longest_jump_ms));
    one.jump_ms = random_.below(2) == 0 ? span : -span;
    write_clocks(one);
    write_paths(one, path_state::sound);
    start(one);
  }
}

soak_hosts::~soak_hosts() {
  for (auto& one : all_)
    thaw(*one);
}

void soak_hosts::take_addresses(host& of) {
  of.callers = loopback(fleet_test::free_port());
  of.peers = loopback(fleet_test::free_port());
  of.status = loopback(fleet_test::free_port());
  of.identity = "h" + std::to_string(of.number) + '@' + of.peers;
}

soak_hosts::host& soak_hosts::any() {
  return *all_[random_.below(all_.size())];
}

void soak_hosts::write_settings(const host& of, bool changed) const {
  const auto centre = static_cast<int>(of.number) % shape_.data_centres;
  std::ofstream file{of.settings};
  file << R"({"host":"h)" << of.number << R"(","data_centre":")" << data_centre_name(centre)
       << R"(","callers":")" << of.callers << R"(","peers":")" << of.peers << R"(","status":")"
       << of.status << R"(","store":")" << of.store->address() << R"(","grace_s":)"
       << grace.count() / 1000 << R"(,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10)"
       << (changed ? R"(,"notice_s":1.2,"config_bound_ms":1500,"processor_share":0.5)" : "") << "}";
}

void soak_hosts::write_clocks(const host& of) const {
  const std::array<std::int64_t, 2> ahead{of.wall_ahead_ms, of.boot_ahead_ms};
  std::fstream file{of.clocks, std::ios::in | std::ios::out | std::ios::binary};
  if (!file)
    file.open(of.clocks, std::ios::out | std::ios::binary);
  file.write(reinterpret_cast<const char*>(ahead.data()), sizeof ahead);
}

void soak_hosts::write_paths(const host& of, path_state state) const {
  const auto port = Poco::Net::SocketAddress{silent_.address()}.port();
  const path_file paths{state, port};
  std::fstream file{of.paths, std::ios::in | std::ios::out | std::ios::binary};
  if (!file)
    file.open(of.paths, std::ios::out | std::ios::binary);
  file.write(reinterpret_cast<const char*>(&paths), sizeof paths);
}

std::string soak_hosts::output_of(const host& of) {
  return of.output + "-" + std::to_string(of.lives) + ".log";
}

// A signal that comes before the program has begun ends it at once; nothing ran there yet. Its
// first line comes when it has read its settings.
bool soak_hosts::has_begun(const host& of) {
  return std::filesystem::file_size(output_of(of)) > 0;
}

// With faults, the program whose clocks can be set; it differs in nothing else.
void soak_hosts::start(host& of) {
  seen_.disturbed(of.number, time_.now());
  write_settings(of, random_.below(4) == 0);
  ++of.lives;
  std::vector<std::string> arguments{"--settings", of.settings};
  if (of.front)
    arguments.insert(arguments.end(),
                     {"--clocks", of.clocks, "--paths", of.paths, "--machine", of.ip});
  of.program = std::make_unique<fleet_test::process>(
      shape_.programs + (of.front ? "/sedgechute-soak-entry" : "/sedgechute-entry"), arguments,
      output_of(of));
  tell(of, "starts as life " + std::to_string(of.lives));
  of.frozen = false;
  of.froze_in_stop = false;
  of.stop_sent.reset();
}

void soak_hosts::freeze(host& of) {
  tell(of, "freezes");
  of.program->signal(SIGSTOP);
  of.frozen = true;
  later_.add(time_.now() + below(random_, longest_freeze_ms), [this, &of] { thaw(of); });
}

void soak_hosts::tell(const host& of, const std::string& what) {
  seen_.note(disruption{time_.now(), "h" + std::to_string(of.number) + " " + what});
}

void soak_hosts::thaw(host& of) {
  if (!of.frozen)
    return;
  tell(of, "wakes");
  if (of.program)
    of.program->signal(SIGCONT);
  of.frozen = false;
}

void soak_hosts::kill(host& of) {
  if (!of.program)
    return;
  seen_.disturbed(of.number, time_.now());
  tell(of, "is killed");
  of.program->crash();
  of.program.reset();
  later_.add(time_.now() + below(random_, longest_down_ms), [this, &of] { start(of); });
}

// The machine's clock since its start begins anew.
void soak_hosts::lose_power(host& of) {
  of.boot_ahead_ms = -boot_clock{}.now().count();
  tell(of, "loses power");
  kill(of);
  write_clocks(of);
}

void soak_hosts::replace_one() {
  host& of = any();
  if (!of.program || of.frozen || of.replaced)
    return;
  tell(of, "is replaced");
  of.replaced = std::move(of.program);
  take_addresses(of);
  start(of);
  of.front->lead_to(of.callers);
  later_.add(time_.now() + below(random_, longest_replacement_ms), [&of] { of.replaced.reset(); });
}

void soak_hosts::send_stray_datagram() {
  constexpr std::uint64_t most_bytes = 200;
  const Poco::Net::SocketAddress to{any().peers};
  std::string bytes(random_.below(most_bytes), '\0');
  for (char& one : bytes)
    one = static_cast<char>(random_());
  Poco::Net::DatagramSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.sendTo(
      bytes.data(), static_cast<int>(bytes.size()), to);
}

void soak_hosts::kill_one() {
  kill(any());
}

void soak_hosts::kill_many() {
  const bool power = random_.below(2) == 0;
  const bool everyone = random_.below(2) == 0;
  for (auto& one : all_) {
    if (!everyone && random_.below(2) == 0)
      continue;
    if (power)
      lose_power(*one);
    else
      kill(*one);
  }
}

void soak_hosts::stop(host& of) {
  if (!of.program)
    return;
  if (!of.stop_sent)
    of.stop_sent = time_.now();
  seen_.disturbed(of.number, time_.now());
  tell(of, "is told to stop");
  of.program->signal(SIGTERM);
}

// Signals come in series: a second one to stop, one to reload while it stops, and, with faults, a
// freeze that the first one meets or that comes after it.
void soak_hosts::stop_one() {
  host& of = any();
  const auto serve = std::count_if(all_.begin(), all_.end(),
                                   [](const auto& one) { return one->program && !one->stop_sent; });
  if (!of.program || (shape_.kind == soak_kind::planned_work && serve < 2 && !of.stop_sent))
    return;
  const std::uint64_t more = random_.below(shape_.kind == soak_kind::faults ? 5 : 3);
  if (more == 4)
    freeze(of);
  stop(of);
  if (more == 1)
    of.program->signal(SIGHUP);
  if (more == 2)
    later_.add(time_.now() + below(random_, 500), [this, &of] {
      if (of.stop_sent)
        stop(of);
    });
  if (more == 3)
    later_.add(time_.now() + below(random_, 3000), [this, &of] {
      if (of.stop_sent)
        kill(of);
    });
}

void soak_hosts::roll_stops() {
  time_ms at = time_.now();
  for (auto& one : all_) {
    host& of = *one;
    later_.add(at, [this, &of] {
      if (of.program && !of.stop_sent)
        stop(of);
    });
    at += time_ms{static_cast<std::int64_t>(roll_ms)} + below(random_, roll_ms);
  }
}

void soak_hosts::freeze_one() {
  host& of = any();
  if (of.program && !of.frozen)
    freeze(of);
}

// What the file says holds from the next start on; what is no settings file changes nothing while
// the program runs. A start finds a good file, so none is spoiled before the program has read it.
void soak_hosts::reload_one() {
  host& of = any();
  if (!of.program || !has_begun(of))
    return;
  const std::uint64_t how = random_.below(3);
  tell(of, "reloads settings of kind " + std::to_string(how));
  if (how == 2)
    std::ofstream{of.settings} << R"({"host":)";
  else
    write_settings(of, how == 1);
  of.program->signal(SIGHUP);
}

void soak_hosts::set_clock() {
  host& of = any();
  of.wall_ahead_ms = of.wall_ahead_ms == 0 ? of.jump_ms : 0;
  seen_.disturbed(of.number, time_.now());
  tell(of, "has its clock ahead by " + std::to_string(of.wall_ahead_ms) + " ms");
  write_clocks(of);
}

// Most faults of links end by themselves; the others last until another comes.
void soak_hosts::harm(fault_proxy& link, link_fault fault) {
  link.set(fault);
  if (random_.below(3) != 0)
    later_.add(time_.now() + below(random_, longest_link_fault_ms),
               [&link] { link.set(link_fault::none); });
}

void soak_hosts::harm_store_link() {
  host& of = any();
  const link_fault fault = any_fault(random_);
  tell(of, "has store link fault " + std::to_string(static_cast<int>(fault)));
  harm(*of.store, fault);
}

void soak_hosts::reset_store_link() {
  host& of = any();
  seen_.disturbed(of.number, time_.now());
  tell(of, "loses its connections to the store");
  if (random_.below(2) == 0)
    of.store->reset_connections();
  else
    of.store->silence_connections();
}

void soak_hosts::harm_callers_link() {
  host& of = any();
  const link_fault fault = any_fault(random_);
  tell(of, "has callers' link fault " + std::to_string(static_cast<int>(fault)));
  harm(*of.front, fault);
}

void soak_hosts::reset_callers_link() {
  host& of = any();
  seen_.disturbed(of.number, time_.now());
  tell(of, "loses its callers' connections");
  if (random_.below(2) == 0)
    of.front->reset_connections();
  else
    of.front->silence_connections();
}

void soak_hosts::cut_off_some(const loss_handler& lose_connections) {
  static constexpr std::array losses{path_loss::resets, path_loss::silence,
                                     path_loss::open_connections_stay};
  const path_loss how = losses.at(random_.below(losses.size()));
  host& first = any();
  const bool alone = random_.below(3) == 0;
  const bool whole_centre = shape_.data_centres > 1 && random_.below(2) == 0;
  const auto centre = [&](const host& of) {
    return static_cast<int>(of.number) % shape_.data_centres;
  };
  for (auto& one : all_) {
    const bool near = !alone && centre(*one) == centre(first);
    const bool chosen = one.get() == &first || (near && (whole_centre || random_.below(4) != 0));
    const auto cut =
        std::count_if(all_.begin(), all_.end(), [](const auto& other) { return other->cuts > 0; });
    if (chosen && (one->cuts > 0 || 3 * (cut + 1) <= 2 * static_cast<std::ptrdiff_t>(all_.size())))
      cut_off(*one, how, lose_connections);
  }
}

void soak_hosts::cut_off(host& of, path_loss how, const loss_handler& lose_connections) {
  tell(of, "is cut off from all endpoints in way " + std::to_string(static_cast<int>(how)));
  ++of.cuts;
  seen_.cut_off(of.number, time_.now());
  write_paths(of, how == path_loss::silence ? path_state::hangs : path_state::refuses);
  lose_connections(of.ip, how);
  later_.add(time_.now() + time_ms{shortest_cut_ms} + below(random_, longest_cut_ms), [this, &of] {
    if (--of.cuts > 0)
      return;
    tell(of, "reaches endpoints again");
    seen_.reaches_endpoints(of.number, time_.now());
    write_paths(of, path_state::sound);
  });
}

bool soak_hosts::harmed(const host& of) {
  return !of.program || of.frozen || of.store->harmed() || (of.front && of.front->harmed());
}

void soak_hosts::look_after() {
  for (auto& one : all_) {
    one->froze_in_stop = one->froze_in_stop || (one->frozen && one->stop_sent);
    if (harmed(*one))
      seen_.disturbed(one->number, time_.now());
    if (one->program)
      look_after(*one);
  }
}

void soak_hosts::look_after(host& of) {
  const std::optional<int> code = of.program->ended();
  const bool outlasted = of.stop_sent && time_.now() - *of.stop_sent > grace + longest_exit;
  if (!code && (!outlasted || of.frozen))
    return;
  if (has_begun(of) && (code || !of.froze_in_stop))
    seen_.note(process_end{of.number, code.value_or(-1), of.stop_sent.has_value()});
  kill(of);
}

void soak_hosts::ask_readiness() {
  for (auto& one : all_) {
    if (!one->program || !one->stop_sent || one->frozen)
      continue;
    const time_ms since = time_.now() - *one->stop_sent;
    const auto link = connect_to(one->status, question_timeout, time_).link;
    std::string head;
    if (!link ||
        link->write_all("GET /readyz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n",
                        time_.now() + question_timeout) != io_status::ok ||
        link->read_head(head, 4096, time_.now() + question_timeout) != io_status::ok)
      continue; // no answer is not ready either
    seen_.note(readiness{one->number, since, head.starts_with("HTTP/1.1 200")});
  }
}

bool soak_hosts::any_stops() const {
  return std::any_of(all_.begin(), all_.end(),
                     [](const auto& one) { return one->stop_sent || !one->program; });
}

void soak_hosts::heal() {
  for (auto& one : all_) {
    one->store->set(link_fault::none);
    one->front->set(link_fault::none);
    one->wall_ahead_ms = 0;
    write_clocks(*one);
    one->cuts = 0;
    seen_.reaches_endpoints(one->number, time_.now());
    write_paths(*one, path_state::sound);
    one->replaced.reset();
    if (one->program)
      one->program->crash();
    start(*one);
  }
}

} // namespace sedgechute::soak
