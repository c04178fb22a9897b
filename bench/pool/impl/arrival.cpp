#include "pool/impl/arrival.hpp"

#include "kernel/kernel.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <numeric>

namespace sedgechute::pool {

namespace {

constexpr double ms_a_second = 1000;

std::uint32_t whole_length(const token_length& law, random_source& random) {
  const double size = std::sqrt(-2 * std::log(1 - random.unit()));
  const double normal = size * std::cos(2 * std::numbers::pi * random.unit());
  const double variance = std::log1p(law.spread * law.spread); // of the logarithm
  const double drawn = law.mean * std::exp(std::sqrt(variance) * normal - variance / 2);
  return static_cast<std::uint32_t>(std::lround(std::clamp(drawn, 1.0, law.most)));
}

std::vector<double> sums_of(const std::vector<double>& parts) {
  std::vector<double> sums(parts.size());
  std::partial_sum(parts.begin(), parts.end(), sums.begin());
  return sums;
}

std::uint32_t pick(const std::vector<double>& sums, random_source& random) {
  const auto at = std::upper_bound(sums.begin(), sums.end(), random.unit() * sums.back());
  return static_cast<std::uint32_t>(
      std::min<std::ptrdiff_t>(at - sums.begin(), std::ssize(sums) - 1));
}

/// \brief Draws requests one after the other.
class generator {
 public:
  generator(const deployment& of, const traffic& how)
      : of_{of}, how_{how}, random_{mix_hash(how.seed, stable_hash(of.name))}, teams_{sums_of(
                                                                                   of.team_parts)} {
    draw_kinds();
    place_callers();
  }

  std::vector<arrival> all() {
    std::vector<arrival> made;
    const double most = rates_.back() * how_.load * (1 + of_.swing) * std::max(1.0, how_.surge);
    const double gap = ms_a_second / most * of_.clump;
    for (double at = next(gap); at < how_.duration_ms; at += next(gap))
      add_clump(at, most, made);
    std::stable_sort(made.begin(), made.end(),
                     [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    return made;
  }

 private:
  double next(double mean) { return -mean * std::log(1 - random_.unit()); }

  void draw_kinds() {
    std::vector<double> rates;
    for (std::size_t i = 0; i < of_.kinds.size(); ++i)
      rates.push_back(of_.kinds[i].per_s *
                      (how_.kind_factors.empty() ? 1 : how_.kind_factors.at(i)));
    rates_ = sums_of(rates);
    for (const traffic_kind& kind : of_.kinds) {
      std::vector<double> parts;
      for (std::uint32_t i = 1; i <= kind.shared.back().choices; ++i)
        parts.push_back(std::pow(i, -kind.shared.back().skew));
      subjects_.push_back(sums_of(parts));
    }
  }

  // The balancer deals callers to the hosts of their zone, not requests.
  void place_callers() {
    std::uint32_t first = 0;
    for (const zone& at : of_.zones) {
      for (std::uint32_t i = 0; i < at.callers; ++i)
        callers_.push_back(first + static_cast<std::uint32_t>(random_.below(at.hosts)));
      first += at.hosts;
    }
  }

  // Drawn at the highest rate and then thinned out to the rate of the moment.
  void add_clump(double at, double most, std::vector<arrival>& made) {
    const auto caller = callers_[random_.below(callers_.size())];
    double when = at;
    do {
      const std::uint32_t team = pick(teams_, random_);
      if (random_.unit() * most < rate_at(when, team) && when < how_.duration_ms)
        made.push_back(one(when, team, caller));
      when += next(of_.clump_gap_ms);
    } while (random_.unit() > 1 / of_.clump);
  }

  [[nodiscard]] double rate_at(double at, std::uint32_t team) const {
    const double wave = std::sin(2 * std::numbers::pi * at / of_.swing_period_ms);
    double rate = rates_.back() * how_.load * (1 + of_.swing * wave);
    const bool surges = at >= how_.surge_from_ms && at < how_.surge_until_ms &&
                        (how_.surging_teams == 0 || team < how_.surging_teams);
    return surges ? rate * how_.surge : rate;
  }

  arrival one(double at, std::uint32_t team, std::uint32_t host) {
    arrival made;
    made.at_ms = at;
    made.team = team;
    made.host = host;
    made.kind = pick(rates_, random_);
    const traffic_kind& kind = of_.kinds[made.kind];
    made.terms.model = "m";
    const std::uint32_t subject = pick(subjects_[made.kind], random_);
    for (std::size_t level = 0; level < kind.shared.size(); ++level) {
      const bool last = level + 1 == kind.shared.size();
      const std::uint32_t choice = last ? subject : subject % kind.shared[level].choices;
      const std::string id = kind.name + std::to_string(level) + '-' + std::to_string(choice);
      add_part(made, id, shared_length(id, kind.shared[level].tokens));
    }
    add_part(made, "r" + std::to_string(requests_++), whole_length(kind.own_tokens, random_));
    made.output_tokens = whole_length(kind.events, random_) * of_.sheet.event_tokens;
    made.terms.prompt_tokens = made.prompt_tokens;
    made.terms.most_output_tokens = made.output_tokens;
    return made;
  }

  // A shared part has one length, whoever sends it.
  std::uint32_t shared_length(const std::string& id, const token_length& law) {
    const auto [at, first] = lengths_.try_emplace(id);
    if (first) {
      random_source own{mix_hash(how_.seed, stable_hash(id))};
      at->second = whole_length(law, own);
    }
    return at->second;
  }

  static void add_part(arrival& to, const std::string& id, std::uint32_t tokens) {
    const part_key before = to.pieces.empty() ? 0 : to.pieces.back().key;
    to.pieces.push_back({mix_hash(before, stable_hash(id)), tokens});
    to.terms.parts.push_back({id, tokens});
    to.prompt_tokens += tokens;
  }

  const deployment& of_;
  const traffic& how_;
  random_source random_;
  std::vector<double> teams_;
  std::vector<double> rates_;
  std::vector<std::vector<double>> subjects_; ///< of each kind: its last shared parts
  std::vector<std::uint32_t> callers_;        ///< the host of each
  std::map<std::string, std::uint32_t> lengths_;
  std::uint64_t requests_{0};
};

} // namespace

std::vector<arrival> make_arrivals(const deployment& of, const traffic& how) {
  return generator{of, how}.all();
}

} // namespace sedgechute::pool
