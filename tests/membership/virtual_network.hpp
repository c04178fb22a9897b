#pragma once

#include "membership/membership.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sedgechute::test {

/// \brief Members on a simulated network that loses and delays messages and cuts links, in virtual
/// time.
class virtual_network {
 public:
  virtual_network(std::size_t hosts, double loss_share, std::uint64_t seed = 1)
      : loss{loss_share}, random_{seed} {
    for (std::size_t i = 0; i < hosts; ++i)
      listed_.push_back({name(i), data_centre(i), address(i), false});
    for (std::size_t i = 0; i < hosts; ++i)
      start(i);
  }

  static host_id name(std::size_t i) { return host_id{"entry-host-" + std::to_string(i)}; }
  static std::string address(std::size_t i) { return "10.0.0." + std::to_string(i) + ":8201"; }
  static data_centre_id data_centre(std::size_t i) {
    return data_centre_id{"dc-" + std::to_string(i % 3)};
  }

  /// \brief Starts a process of host `i` with a new incarnation number.
  void start(std::size_t i) {
    if (members_.size() <= i)
      members_.resize(i + 1);
    const std::uint64_t number = random_();
    members_[i] = std::make_unique<membership>(incarnation{name(i), number}, data_centre(i),
                                               address(i), membership_options{}, number);
    members_[i]->on_host_list(now, listed_);
    index_by_address_[address(i)] = i;
  }
  void crash(std::size_t i) { members_[i].reset(); }

  void run(time_ms span) {
    for (const time_ms end = now + span; now < end; now += step)
      run_step();
  }

  /// \brief Runs until `condition` holds or `limit` has passed.
  /// \returns the time that passed
  time_ms run_until(time_ms limit, const std::function<bool()>& condition) {
    const time_ms start = now;
    while (now - start < limit && !condition())
      run(time_ms{50});
    return now - start;
  }

  [[nodiscard]] membership* at(std::size_t i) { return members_[i].get(); }

  /// \returns how many other running members show host `i` in their view
  [[nodiscard]] std::size_t seen_by(std::size_t i) {
    std::size_t count = 0;
    for (std::size_t other = 0; other < members_.size(); ++other)
      if (other != i && members_[other] && !paused.contains(other) && shows(other, i))
        ++count;
    return count;
  }
  [[nodiscard]] bool shows(std::size_t viewer, std::size_t i) {
    for (const member& m : members_[viewer]->view().members)
      if (m.who.host == name(i))
        return true;
    return false;
  }
  [[nodiscard]] bool all_complete(std::size_t wanted) {
    for (const auto& m : members_)
      if (m && m->view().members.size() != wanted)
        return false;
    return true;
  }

  double loss; ///< fraction of messages lost
  time_ms now{1000000};
  std::set<std::size_t> paused;
  std::function<bool(std::size_t, std::size_t)> cut = [](auto, auto) { return false; };
  std::function<void(std::size_t, const membership_message&)> observe = [](auto, auto&) {};

 private:
  struct in_flight {
    std::size_t from;
    std::string to;
    membership_message message;
  };
  static constexpr time_ms step{10};

  void run_step() {
    std::deque<in_flight> arriving;
    arriving.swap(network_);
    for (in_flight& sent : arriving)
      deliver(sent);
    const auto turn = static_cast<std::size_t>(now.count() / step.count());
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!members_[i] || paused.contains(i))
        continue;
      if ((turn + i) % 5 == 0)
        members_[i]->tick(now);
      collect(i);
    }
  }

  void deliver(in_flight& sent) {
    const std::size_t to = index_by_address_.at(sent.to);
    if (!members_[to] || cut(sent.from, to) || random_.unit() < loss)
      return;
    if (paused.contains(to))
      network_.push_back(std::move(sent));
    else
      members_[to]->on_message(now, sent.message);
  }

  void collect(std::size_t i) {
    for (auto& out : members_[i]->take_output()) {
      observe(i, out.message);
      network_.push_back({i, out.address, std::move(out.message)});
    }
  }

  random_source random_;
  std::vector<listed_host> listed_;
  std::vector<std::unique_ptr<membership>> members_;
  std::map<std::string, std::size_t> index_by_address_;
  std::deque<in_flight> network_;
};

} // namespace sedgechute::test
