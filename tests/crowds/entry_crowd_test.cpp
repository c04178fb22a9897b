// Many clients that do not send the end of their requests, at an entry host.

#include "entry_program.hpp"
#include "process_watch.hpp"
#include "stalled_clients.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::stalled_client_test;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;
constexpr std::size_t machine_bytes = 64 * mb;
constexpr std::size_t body_bytes = 4 * mb;
constexpr std::size_t other_descriptors = 200; // of files, endpoints, the store and single callers
constexpr std::size_t idle_threads = 40;       // of a host without requests

// A small machine: 64 MB and 80 requests open at once.
const std::string small_machine = R"("grace_s":4,"memory_mb":64,"processor_share":0.05)";

std::string configuration() {
  std::string text = entry_program::with_route(2, "more");
  text.pop_back();
  return text + R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
                R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

std::string head_lines(std::size_t client) {
  return "POST /unsafe/1 HTTP/1.1\r\nHost: f\r\nAttempt-Id: u" + std::to_string(client) +
         "\r\nDeadline-Ms: 9000\r\nAuthorization: Token k\r\n";
}

std::vector<unfinished_request> clients(std::size_t count, const std::vector<upload>& kinds) {
  std::vector<unfinished_request> all;
  for (std::size_t i = 0; i < count; ++i)
    all.push_back(unfinished(kinds[i % kinds.size()], head_lines(i), body_bytes));
  return all;
}

/// \brief A host with one endpoint.
struct running_host {
  explicit running_host(const std::string& settings = small_machine)
      : endpoint{answers("ok")}, host{settings, log_reader::reads, configuration()} {
    host.add_endpoint("e1", endpoint.address());
    REQUIRE(host.ready());
  }

  /// \returns whether a caller that repeats its request is answered in the end
  [[nodiscard]] bool answers_caller(const std::string& attempt) const {
    constexpr int tries = 20;
    for (int i = 0; i < tries; ++i) {
      if (host.ask("safe", attempt + "-" + std::to_string(i)).first == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds{250});
    }
    return false;
  }

  scripted_endpoint endpoint;
  entry_program host;
};

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

struct load_terms {
  std::size_t clients;
  std::vector<upload> kinds;
  bool at_hosts_port{false};
};

/// \brief Checks that a host withstands stalled clients: it runs on within its memory and its
/// descriptors, also while its machine is suspended, and answers an ordinary caller beside them and
/// after them.
void check_withstands(const load_terms& terms) {
  const running_host tested;
  const std::string address = terms.at_hosts_port ? tested.host.peers() : tested.host.callers();
  const process_watch watch{tested.host.id(), port_of(address)};
  stalled_clients load{address, clients(terms.clients, terms.kinds)};
  tested.host.signal(SIGSTOP);
  load.wait_until_steady(); // as much as the kernel takes of a host that reads nothing
  tested.host.signal(SIGCONT);
  load.wait_until_steady();
  CHECK(tested.answers_caller("beside"));
  load.disconnect();
  CHECK(tested.host.runs());
  CHECK(tested.answers_caller("after"));
  CAPTURE(watch.highest_resident() / mb);
  CAPTURE(watch.highest_unread() / mb);
  CAPTURE(watch.highest_threads());
  CHECK(watch.highest_bytes() <= machine_bytes);
  CHECK(watch.highest_descriptors() <= terms.clients + other_descriptors);
}

} // namespace

// Bodies that a host has refused or not read yet must not pile up in its sockets.
TEST_CASE("entry: large bodies of legal size at once, without their ends") {
  check_withstands({.clients = 100, .kinds = {upload::whole}});
}

TEST_CASE("entry: large bodies in pieces, without their ends") {
  check_withstands({.clients = 100, .kinds = {upload::pieces}});
}

TEST_CASE("entry: bodies in large chunks, without their ends") {
  check_withstands({.clients = 60, .kinds = {upload::large_chunks}});
}

TEST_CASE("entry: bodies in chunks of one byte, without their ends") {
  check_withstands({.clients = 400, .kinds = {upload::small_chunks}});
}

// Clients that have stopped sending must not hold all open requests of a host.
TEST_CASE("entry: a few small chunks and then silence") {
  check_withstands({.clients = 200, .kinds = {upload::few_chunks}});
}

TEST_CASE("entry: headers without their ends") {
  check_withstands({.clients = 200, .kinds = {upload::header}});
}

// An interim response must not let a client hold a thread.
TEST_CASE("entry: clients that wait for the interim response and send nothing") {
  check_withstands({.clients = 200, .kinds = {upload::expecting}});
}

TEST_CASE("entry: unfinished requests of all kinds") {
  check_withstands(
      {.clients = 300,
       .kinds = {upload::whole, upload::pieces, upload::large_chunks, upload::small_chunks,
                 upload::few_chunks, upload::header, upload::expecting}});
}

// The port of other hosts must be bounded as the one of callers is.
TEST_CASE("entry: unfinished requests of all kinds at the port for other hosts") {
  check_withstands({.clients = 300,
                    .kinds = {upload::whole, upload::large_chunks, upload::small_chunks,
                              upload::few_chunks, upload::expecting},
                    .at_hosts_port = true});
}

// A pool whose threads have all ended must start new ones.
TEST_CASE("entry: requests are served after more clients than threads have left") {
  const running_host tested{R"("grace_s":4,"processor_share":0.25)"};
  const process_watch watch{tested.host.id(), port_of(tested.host.callers())};
  stalled_clients load{tested.host.callers(), clients(1000, {upload::small_chunks})};
  load.wait_until_steady();
  load.disconnect();
  for (int i = 0; i < 300 && watch.threads() > idle_threads; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(tested.host.runs());
  CAPTURE(watch.highest_threads());
  CHECK(tested.answers_caller("after"));
}

// A body of the largest legal size must be served by a host that has nothing else to do.
TEST_CASE("entry: a single body of legal size is served in calm") {
  const running_host tested;
  const steady_clock time;
  const time_ms until = time.now() + time_ms{20000};
  const auto send = [&](const std::string& head, const std::string& body) {
    const auto link = connect_to(tested.host.callers(), time_ms{1000}, time).link;
    REQUIRE(link);
    std::string text;
    REQUIRE(link->write_all(head, body, until) == io_status::ok);
    REQUIRE(link->read_head(text, 8192, until) == io_status::ok);
    const auto answer = parse_response_head(text);
    REQUIRE(answer);
    CHECK(answer->status == 200);
  };
  const unfinished_request stated = unfinished(upload::whole, head_lines(1), body_bytes);
  send(stated.head, *stated.body + "b");
  const unfinished_request large = unfinished(upload::large_chunks, head_lines(2), body_bytes);
  send(large.head, *large.body + "\n0\r\n\r\n");
  const unfinished_request small = unfinished(upload::small_chunks, head_lines(3), body_bytes);
  send(small.head, *small.body + "\n0\r\n\r\n");
}
