// Many clients that do not send the end of their requests, at a host of `sedgechuted`.

#include "process_watch.hpp"
#include "running_fleet.hpp"
#include "stalled_clients.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::stalled_client_test;
using fleet_test::running_fleet;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;
constexpr std::size_t machine_bytes = 110 * mb;
constexpr std::size_t body_bytes = 4 * mb;
constexpr std::size_t other_descriptors = 200; // of files, engines, the platform and other hosts

/// \returns whether a caller that repeats its request is answered in the end
bool answers_caller(const running_fleet& fleet) {
  constexpr int tries = 20;
  for (int i = 0; i < tries; ++i) {
    if (fleet.ask(0, "ordinary", 5).status == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{250});
  }
  return false;
}

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

/// \brief Checks that a host with room for 100 connections withstands stalled clients: it runs on
/// within its memory and its descriptors, also while its machine is suspended, and answers an
/// ordinary caller beside them and after them.
void check_withstands(std::size_t clients, const std::vector<upload>& kinds) {
  running_fleet fleet{{.hosts = 1, .engines = 1, .host_limits = R"({"connections":100})"}};
  std::vector<unfinished_request> requests;
  for (std::size_t i = 0; i < clients; ++i)
    requests.push_back(unfinished(kinds[i % kinds.size()], fleet.chat_head_lines(), body_bytes));
  const process_watch watch{fleet.host(0).id(), port_of(fleet.callers(0))};
  stalled_clients load{fleet.callers(0), requests};
  fleet.host(0).signal(SIGSTOP);
  load.wait_until_steady(); // as much as the kernel takes of a host that reads nothing
  fleet.host(0).signal(SIGCONT);
  load.wait_until_steady();
  CHECK(answers_caller(fleet));
  load.disconnect();
  CHECK_FALSE(fleet.host(0).ended());
  CHECK(answers_caller(fleet));
  CAPTURE(watch.highest_resident() / mb);
  CAPTURE(watch.highest_unread() / mb);
  CAPTURE(watch.highest_threads());
  CHECK(watch.highest_bytes() <= machine_bytes);
  CHECK(watch.highest_descriptors() <= clients + other_descriptors);
}

} // namespace

// Bodies of all connections together must be bounded, not only each one.
TEST_CASE("sedgechuted: large bodies of legal size at once, without their ends") {
  check_withstands(150, {upload::whole});
}

TEST_CASE("sedgechuted: large bodies in pieces, without their ends") {
  check_withstands(150, {upload::pieces});
}

TEST_CASE("sedgechuted: bodies in large chunks, without their ends") {
  check_withstands(150, {upload::large_chunks});
}

TEST_CASE("sedgechuted: bodies in chunks of one byte, without their ends") {
  check_withstands(150, {upload::small_chunks});
}

// Clients that have stopped sending must not hold all connections of a host.
TEST_CASE("sedgechuted: a few small chunks and then silence") {
  check_withstands(150, {upload::few_chunks});
}

TEST_CASE("sedgechuted: headers without their ends") {
  check_withstands(150, {upload::header});
}

TEST_CASE("sedgechuted: clients that wait for the interim response and send nothing") {
  check_withstands(150, {upload::expecting});
}

TEST_CASE("sedgechuted: unfinished requests of all kinds") {
  check_withstands(150, {upload::whole, upload::pieces, upload::large_chunks, upload::small_chunks,
                         upload::few_chunks, upload::header, upload::expecting});
}
