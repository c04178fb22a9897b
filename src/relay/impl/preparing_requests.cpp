#include "relay/impl/preparing_requests.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

// At the limit, teams below an equal share of it are still accepted, up to twice the limit, so that
// a team that fills the host does not lock out the others.
bool exceeds_share(const preparation_load& load, std::size_t most) noexcept {
  if (load.total < most)
    return false;
  return load.total >= 2 * most || load.of_team * std::max<std::size_t>(load.teams, 1) >= most;
}

std::size_t max_preparing(double processor_share) noexcept {
  constexpr double a_core = 400;
  constexpr std::size_t least = 8;
  return std::max(least, static_cast<std::size_t>(a_core * processor_share));
}

preparing_requests::guard::guard(preparing_requests& in, std::string team)
    : in_{&in}, team_{std::move(team)} {}

preparing_requests::guard::guard(guard&& other) noexcept
    : in_{std::exchange(other.in_, nullptr)}, team_{std::move(other.team_)} {}

preparing_requests::guard& preparing_requests::guard::operator=(guard&& other) noexcept {
  if (this != &other) {
    end();
    in_ = std::exchange(other.in_, nullptr);
    team_ = std::move(other.team_);
  }
  return *this;
}

preparing_requests::guard::~guard() {
  end();
}

void preparing_requests::guard::end() noexcept {
  if (preparing_requests* const in = std::exchange(in_, nullptr))
    in->leave(team_);
}

void preparing_requests::guard::assign_team(std::string_view team) {
  if (in_ != nullptr && team != team_)
    *this = in_->begin(team);
}

preparing_requests::guard preparing_requests::begin(std::string_view team) {
  std::string name{team};
  const std::scoped_lock lock{mutex_};
  ++by_team_[name];
  ++total_;
  return {*this, std::move(name)};
}

void preparing_requests::leave(const std::string& team) noexcept {
  const std::scoped_lock lock{mutex_};
  --total_;
  const auto at = by_team_.find(team);
  if (at != by_team_.end() && --at->second == 0)
    by_team_.erase(at);
}

std::size_t preparing_requests::total() const {
  const std::scoped_lock lock{mutex_};
  return total_;
}

preparation_load preparing_requests::load(std::string_view team) const {
  const std::scoped_lock lock{mutex_};
  const auto at = by_team_.find(std::string{team});
  const bool known = at != by_team_.end();
  return {total_, known ? at->second : 0, by_team_.size() + (known ? 0 : 1)};
}

} // namespace sedgechute
