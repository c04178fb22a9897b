#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>

namespace sedgechute {

wait_terms endpoint_directory::terms_of(const candidate_set& among, std::size_t index,
                                        std::uint64_t prompt_tokens,
                                        const host_counts& hosts) const {
  const std::uint64_t own = prompt_tokens - std::min(prompt_tokens, among.shared_tokens);
  return wait_terms_of(among.candidates[index], own, hosts, weights_);
}

std::optional<endpoint_directory::estimated_choice>
endpoint_directory::choose_by_estimate(const candidate_set& among, std::uint64_t prompt_tokens,
                                       const service_times& service, time_ms now) {
  const host_counts hosts{.all = hosts_, .heard = others_.hosts() + 1};
  std::vector<choice_option> options;
  options.reserve(among.candidates.size());
  const auto estimate = [&](std::size_t i) {
    const state& of = *among.states[i];
    estimated_choice one{.chosen = i, .met = terms_of(among, i, prompt_tokens, hosts)};
    one.work_time = of.work_time.at(now);
    one.wait_ms = service.weights().wait_ms(one.met) * one.work_time *
                  of.speed.factor(one.met.fill(), service);
    return one;
  };
  for (std::size_t i = 0; i < among.candidates.size(); ++i) {
    const estimated_choice one = estimate(i);
    const other_costs other = other_costs_of(among.candidates[i], prompt_tokens, weights_);
    options.push_back({.cost = one.wait_ms + other.all,
                       .free = one.met.slots - one.met.open,
                       .fixed = other.prefix});
  }
  const auto choice = choose_among(options, hosts.all, random_);
  if (!choice)
    return std::nullopt;
  estimated_choice made = estimate(choice->chosen);
  made.off_cheapest = choice->chosen != choice->cheapest;
  return made;
}

void endpoint_directory::note_answered(state& of, grant_id id, time_ms now) noexcept {
  for (open_id& one : of.open_ids)
    if (one.id == id)
      one.answered = now;
}

// Only whole answers count: an endpoint that fails its requests does so quickly.
void endpoint_directory::learn_speed(state& of, const placement& place, const open_id& request,
                                     time_ms now) {
  const auto found = service_times_.find(of.entry.service);
  if (!request.met || !request.answered || !place.sent || found == service_times_.end())
    return;
  service_times& service = found->second;
  const auto took = static_cast<double>((*request.answered - place.sent_at).count());
  const double work_time = (request.work_time + of.work_time.at(now)) / 2;
  const double usual = took / work_time;
  const double expected = service.weights().wait_ms(*request.met);
  of.speed.note(usual, expected, request.met->fill(), service);
  service.note(*request.met, usual, of.speed.usual_factor());
}

std::vector<std::pair<std::string, double>> endpoint_directory::speed_spreads() const {
  const std::scoped_lock lock{mutex_};
  std::vector<std::pair<std::string, double>> spreads;
  for (const auto& [service, times] : service_times_) {
    double least = 0;
    double most = 0;
    for (const auto& [id, known] : endpoints_) {
      if (known.entry.service != service || known.speed.answers() == 0)
        continue;
      const double factor = known.speed.usual_factor();
      least = least == 0 ? factor : std::min(least, factor);
      most = std::max(most, factor);
    }
    spreads.emplace_back(service, least > 0 ? most / least : 1);
  }
  return spreads;
}

} // namespace sedgechute
