#include "daemon/impl/peer_links.hpp"
#include "daemon/impl/peer_server.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <absl/strings/str_format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace sedgechute::slopes {

namespace {

constexpr std::chrono::milliseconds settle{300};
constexpr std::chrono::milliseconds between_rounds{20};
constexpr std::chrono::milliseconds alone{6}; // longer than messages wait for company
constexpr int first_port = 23'900;
constexpr int longest_datagram = 8192;

class counting_listener final : public peer_listener {
 public:
  void on_impostor(const std::string&) override {}
  void on_envelope(const wire::envelope&) override { ++heard; }
  wire::records_reply records_after(std::uint64_t, std::size_t) override { return {}; }
  bool state(const std::function<bool(std::string)>&) override { return false; }
  wire::burn_reply burn() override { return {}; }
  std::shared_ptr<answer_record> answer(const team_id&, const std::string&) override {
    return nullptr;
  }

  std::atomic<std::size_t> heard{0};
};

wire::envelope small_report() {
  wire::envelope message = envelope_to(host_name(1));
  *message.mutable_routing() = to_wire(routing_message{{demand_report(0, 0, 16)}, {}, {}});
  return message;
}

/// Waits until all that was sent has arrived, or gives up.
void wait_for(const counting_listener& listener, std::size_t wanted) {
  for (int i = 0; i < 200 && listener.heard < wanted; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
}

/// The same message as a datagram, as membership sends its own, with codec at both ends.
void datagrams(slope_table& table) {
  series cpu{"links", "datagram_cpu_us", "us, both ends", "datagram", {}};
  const Poco::Net::SocketAddress place{"127.0.0.1", first_port + 1};
  Poco::Net::DatagramSocket receiver{place};
  Poco::Net::DatagramSocket sender;
  const wire::envelope message = small_report();
  std::array<char, longest_datagram> buffer{};
  for (const int count : {2000, 4000, 8000}) {
    const double start = thread_cpu_us();
    for (int i = 0; i < count; ++i) {
      const std::string bytes = message.SerializeAsString();
      sender.sendTo(bytes.data(), static_cast<int>(bytes.size()), place);
      wire::envelope arrived;
      arrived.ParseFromArray(buffer.data(), receiver.receiveBytes(buffer.data(), longest_datagram));
      keep(arrived);
    }
    cpu.points.push_back({static_cast<double>(count), thread_cpu_us() - start});
  }
  table.add(cpu);
}

/// What so many messages cost that leave one by one, the pauses between them not counted.
double paced_cpu_us(peer_links& from, const wire::envelope& message, std::size_t count) {
  const auto paced = [&](bool sending) {
    const double start = process_cpu_us();
    for (std::size_t i = 0; i < count; ++i) {
      if (sending)
        from.send(host_name(1), message);
      std::this_thread::sleep_for(alone);
    }
    return process_cpu_us() - start;
  };
  const double pacing = paced(false);
  return paced(true) - pacing;
}

/// The same as calls, to compare with: in bursts, as below, threads wake up for many at a time.
void calls_alone(slope_table& table) {
  series cpu{"links", "call_alone_us", "us, both ends", "call", {}};
  const std::string address = absl::StrFormat("127.0.0.1:%d", first_port + 3);
  counting_listener listener;
  const peer_credentials plain;
  peer_server server{address, listener, plain};
  peer_links from{host_name(0), time_ms{2000}, plain};
  from.set_peers({{host_name(1), address}});
  from.send(host_name(1), small_report());
  wait_for(listener, 1);
  for (const std::size_t count : {100U, 300U, 900U})
    cpu.points.push_back({static_cast<double>(count), paced_cpu_us(from, small_report(), count)});
  table.add(cpu);
}

/// Messages one by one, each alone in its datagram, through the links of two hosts. What a message
/// costs that shares its datagram is less.
void small_messages(slope_table& table) {
  series cpu{"links", "small_message_us", "us, both ends", "message", {}};
  series bytes{"links", "small_message_overhead", "B beyond the message", "message", {}};
  const wire::envelope message = small_report();
  const Poco::Net::SocketAddress place{"127.0.0.1", first_port + 2};
  Poco::Net::DatagramSocket receiver{place};
  receiver.setReceiveTimeout(Poco::Timespan{100'000});
  Poco::Net::DatagramSocket sender;
  std::atomic<std::size_t> sent_bytes{0};
  std::atomic<std::size_t> heard{0};
  std::atomic<bool> stopping{false};
  const peer_credentials plain;
  peer_links from{host_name(0), time_ms{2000}, plain};
  peer_links to{host_name(1), time_ms{2000}, plain};
  from.set_peers({{host_name(1), place.toString()}});
  to.set_peers({{host_name(0), place.toString()}});
  from.use_datagrams({[&](const std::string&, const std::string& datagram) {
                        sent_bytes += datagram.size();
                        sender.sendTo(datagram.data(), static_cast<int>(datagram.size()), place);
                      },
                      [](const wire::envelope&) {}});
  to.use_datagrams({[&](const std::string&, const std::string& datagram) {
                      sent_bytes += datagram.size();
                      from.on_datagram(datagram);
                    },
                    [&](const wire::envelope&) { ++heard; }});
  std::thread reader{[&] {
    std::array<char, longest_datagram> buffer{};
    while (!stopping) {
      try {
        const int size = receiver.receiveBytes(buffer.data(), longest_datagram);
        to.on_datagram({buffer.data(), static_cast<std::size_t>(size)});
      } catch (const Poco::Exception&) {
        continue;
      }
    }
  }};
  for (const std::size_t count : {100U, 300U, 900U}) {
    const std::size_t before = sent_bytes;
    const auto x = static_cast<double>(count);
    cpu.points.push_back({x, paced_cpu_us(from, message, count)});
    bytes.points.push_back({x, static_cast<double>(sent_bytes - before) -
                                   x * static_cast<double>(message.ByteSizeLong())});
  }
  from.stop_datagrams();
  to.stop_datagrams();
  stopping = true;
  reader.join();
  table.add(cpu);
  table.add(bytes);
}

} // namespace

/// Both ends are in this process, so bytes of memory, time and traffic are of one sender and one
/// receiver together: what a host pays that sends as much as it gets.
void run_links(slope_table& table) {
  datagrams(table);
  small_messages(table);
  calls_alone(table);
  series memory{"links", "link_memory_bytes", "B, both ends", "link", {}};
  series cpu{"links", "call_cpu_us", "us, both ends", "call", {}};
  series bytes{"links", "call_overhead_bytes", "B beyond the message", "call", {}};
  const wire::envelope message = small_report();
  counting_listener listener;
  const std::string address = absl::StrFormat("127.0.0.1:%d", first_port);
  const peer_credentials plain;
  peer_server server{address, listener, plain};
  peer_links links{host_name(0), time_ms{2000}, plain};
  std::vector<peer_address> peers;
  const auto send_to_all = [&] {
    const std::size_t wanted = listener.heard + peers.size();
    for (const peer_address& peer : peers)
      links.send(peer.who, message);
    wait_for(listener, wanted);
    std::this_thread::sleep_for(between_rounds);
  };
  const double before = allocated_bytes();
  for (const std::size_t count : {10U, 40U, 80U, 160U}) {
    while (peers.size() < count)
      peers.push_back({host_name(peers.size() + 1), address});
    links.set_peers(peers);
    send_to_all();
    std::this_thread::sleep_for(settle);
    memory.points.push_back({static_cast<double>(count), allocated_bytes() - before});
    constexpr int rounds = 20;
    const double traffic = socket_bytes();
    const double start = process_cpu_us();
    for (int i = 0; i < rounds; ++i)
      send_to_all();
    const double calls = static_cast<double>(count) * rounds;
    cpu.points.push_back({calls, process_cpu_us() - start});
    std::this_thread::sleep_for(settle);
    bytes.points.push_back(
        {calls, socket_bytes() - traffic - calls * static_cast<double>(message.ByteSizeLong())});
  }
  for (const series& s : {memory, cpu, bytes})
    table.add(s);
}

} // namespace sedgechute::slopes
