#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// In a large fleet hosts hear only of those of their own data centre. Of endpoints elsewhere they
// know too little to find a short queue, which costs about this part of the mean wait.
constexpr double unheard_part = 0.5;

// Hosts hear of each other's requests when these have nearly ended. So each host prefers endpoints
// of its own, of whose load it knows most itself, by up to this part of the mean wait.
constexpr double preference_part = 1;

// What counts of the requests that are unseen: hosts with the same figures mostly prefer different
// endpoints, and to spread further costs more than meeting another request.
constexpr double heard_unseen_part = 0.01;
constexpr double hidden_unseen_ms = 1;

// Requests that the other hosts place by the same figures, before this one learns of them.
double unseen_requests(const host_counts& hosts, double per_ms) noexcept {
  const auto heard = static_cast<double>(hosts.heard) - 1;
  const auto others = static_cast<double>(hosts.all) - 1;
  const double spacing = std::max(20.0, heard * 2.5); // of their reports; see report_pacing
  return per_ms * (std::min(heard, others) * spacing * heard_unseen_part +
                   std::max(0.0, others - heard) * hidden_unseen_ms);
}

} // namespace

wait_terms endpoint_directory::terms_of(const candidate_set& among, std::size_t index,
                                        std::uint64_t prompt_tokens, const host_counts& hosts,
                                        time_ms now) {
  const state& of = *among.states[index];
  const replica_candidate& candidate = among.candidates[index];
  const auto sent = static_cast<double>(candidate.sent_since_load);
  wait_terms met{.slots = static_cast<double>(candidate.slots)};
  met.open = estimate_load({.here = static_cast<double>(candidate.open_here),
                            .elsewhere = static_cast<double>(candidate.open_elsewhere),
                            .hidden = of.hidden_open.at(now),
                            .sent_since_report = sent},
                           hosts);
  if (prompt_tokens == 0)
    return met;
  const std::uint64_t own = prompt_tokens - std::min(prompt_tokens, among.shared_tokens);
  met.tokens = static_cast<double>(own) +
               estimate_load({.here = static_cast<double>(candidate.unread_tokens_here),
                              .elsewhere = static_cast<double>(candidate.unread_tokens_elsewhere),
                              .hidden = of.hidden_tokens.at(now),
                              .sent_since_report = 0},
                             hosts);
  return met;
}

std::optional<endpoint_directory::estimated_choice>
endpoint_directory::choose_by_estimate(const candidate_set& among, std::uint64_t prompt_tokens,
                                       estimated_service& service, time_ms now) {
  const host_counts hosts{.all = hosts_, .heard = others_.hosts() + 1};
  std::vector<choice_option> options;
  options.reserve(among.candidates.size());
  const auto estimate = [&](std::size_t i) {
    const state& of = *among.states[i];
    estimated_choice one{.chosen = i, .met = terms_of(among, i, prompt_tokens, hosts, now)};
    one.work_time = of.work_time.at(now);
    one.wait_ms = service.times.weights().wait_ms(one.met) * one.work_time *
                  of.speed.factor(one.met.fill(), service.times);
    return one;
  };
  const bool unheard = hosts.heard < hosts.all;
  const double preference =
      preference_part * service.times.mean_wait_ms() * std::sqrt(hosts.hidden_factor());
  for (std::size_t i = 0; i < among.candidates.size(); ++i) {
    const estimated_choice one = estimate(i);
    const other_costs other = other_costs_of(among.candidates[i], prompt_tokens, weights_);
    double cost = one.wait_ms + other.all;
    if (unheard && among.candidates[i].other_centre)
      cost += unheard_part * service.times.mean_wait_ms();
    if (hosts.all > 1)
      cost += preference * distance_to(*among.states[i]);
    const double factor = one.work_time * among.states[i]->speed.usual_factor();
    options.push_back(
        {.cost = cost, .step = service.times.step_ms(one.met) * factor, .fixed = other.prefix});
  }
  service.placed.note(now);
  const auto choice =
      choose_among(options, unseen_requests(hosts, service.placed.per_ms()), random_);
  if (!choice)
    return std::nullopt;
  estimated_choice made = estimate(choice->chosen);
  made.off_cheapest = choice->chosen != choice->cheapest;
  return made;
}

double endpoint_directory::distance_to(const state& of) const noexcept {
  constexpr double range = 18446744073709551616.0; // of a hash
  return static_cast<double>(mix_hash(self_hash_, of.affinity_hash)) / range;
}

void endpoint_directory::note_hidden_load(state& of, service_times& service) const {
  const endpoint_use elsewhere = others_.at(of.hash);
  of.hidden_open.note(static_cast<double>(of.load->running + of.load->waiting),
                      static_cast<double>(of.open + elsewhere.open), of.load_at);
  of.hidden_tokens.note(static_cast<double>(of.load->waiting) * service.mean_tokens(),
                        static_cast<double>(of.unread_tokens + elsewhere.unread_tokens),
                        of.load_at);
}

void endpoint_directory::note_answered(state& of, grant_id id, time_ms now) noexcept {
  for (open_id& one : of.open_ids)
    if (one.id == id)
      one.answered = now;
}

// Only whole answers count: an endpoint that fails its requests does so quickly.
void endpoint_directory::learn_speed(state& of, const placement& place, const open_id& request,
                                     time_ms now) {
  const auto found = services_.find(of.entry.service);
  if (!request.met || !request.answered || !place.sent || found == services_.end())
    return;
  service_times& service = found->second.times;
  const auto took = static_cast<double>((*request.answered - place.sent_at).count());
  const double work_time = (request.work_time + of.work_time.at(now)) / 2;
  const double usual = took / work_time;
  const double expected = service.weights().wait_ms(*request.met);
  of.speed.note(usual, expected, request.met->fill(), service);
  service.note(*request.met, usual, of.speed.usual_factor());
  service.note_request(static_cast<double>(place.prompt_tokens));
}

std::vector<std::pair<std::string, double>> endpoint_directory::speed_spreads() const {
  const std::scoped_lock lock{mutex_};
  std::vector<std::pair<std::string, double>> spreads;
  for (const auto& [service, times] : services_) {
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
