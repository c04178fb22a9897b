#include "telemetry/impl/decision_events.hpp"

#include "telemetry/impl/json_text.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::int64_t ms_a_second = 1000;
constexpr unsigned most_shift = 16;

bool matches(const decision& happened, const decision_filter& wanted) {
  return happened.sequence > wanted.after &&
         (wanted.request.empty() || wanted.request == happened.request) &&
         (wanted.team.empty() || wanted.team == happened.team) &&
         (wanted.subject.empty() || wanted.subject == happened.subject);
}

void append_member(std::string& out, std::string_view name, std::string_view text) {
  if (text.empty())
    return;
  out += ",\"";
  out += name;
  out += "\":";
  append_json_string(out, text);
}

} // namespace

void decision_events::record(decision happened) {
  const std::scoped_lock lock{mutex_};
  const bool routine = is_routine(happened.kind);
  if (routine && !keep_routine(happened))
    return;
  happened.sequence = next_sequence_++;
  std::deque<decision>& kept = routine ? routine_ : notable_;
  kept.push_back(std::move(happened));
  if (kept.size() > capacity_)
    kept.pop_front();
}

// The share kept follows the second before: it halves while too much comes and doubles again when
// much less does. Which requests are kept depends on their ids alone, so all decisions about one
// request fall together as long as the share stands.
bool decision_events::keep_routine(decision& happened) {
  const std::int64_t second = happened.at.count() / ms_a_second;
  if (second != second_) {
    const std::uint64_t passed = offered_ >> shift_;
    if (passed > per_second_ && shift_ < most_shift)
      ++shift_;
    else if (passed < per_second_ / 4 && shift_ > 0)
      --shift_;
    second_ = second;
    offered_ = 0;
  }
  ++offered_;
  const std::uint64_t share = std::uint64_t{1} << shift_;
  happened.stands_for = static_cast<std::uint32_t>(share);
  if (stable_hash(happened.request) % share == 0)
    return true;
  ++sampled_out_;
  return false;
}

std::vector<decision> decision_events::find(const decision_filter& wanted) const {
  std::vector<decision> found;
  const std::scoped_lock lock{mutex_};
  for (const std::deque<decision>* kept : {&routine_, &notable_})
    std::ranges::copy_if(*kept, std::back_inserter(found),
                         [&](const decision& one) { return matches(one, wanted); });
  std::ranges::sort(found, {}, &decision::sequence);
  if (found.size() > wanted.most)
    found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(wanted.most));
  return found;
}

std::uint64_t decision_events::sampled_out() const {
  const std::scoped_lock lock{mutex_};
  return sampled_out_;
}

std::string to_json(const decision& happened) {
  std::string out = "{\"seq\":" + std::to_string(happened.sequence) +
                    ",\"at_ms\":" + std::to_string(happened.at.count());
  append_member(out, "kind", name_of(happened.kind));
  append_member(out, "request_id", happened.request);
  append_member(out, "team", happened.team);
  append_member(out, "subject", happened.subject);
  append_member(out, "reason", happened.reason);
  out += ",\"amount\":" + std::to_string(happened.amount) +
         ",\"stands_for\":" + std::to_string(happened.stands_for);
  return out + "}";
}

} // namespace sedgechute
