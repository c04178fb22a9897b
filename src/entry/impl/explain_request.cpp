#include "entry/impl/explain_request.hpp"

#include "config/config.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <vector>

namespace sedgechute {

namespace {

// Beliefs of a host: only the newest line of each counts when a request comes.
constexpr std::array<std::string_view, 12> belief_events{
    "config_in_force",        "account_written",      "earlier_life_written_off",
    "store_reachable",        "store_unreachable",    "budget_log_reachable",
    "budget_log_unreachable", "endpoint_unreachable", "endpoint_reachable",
    "endpoint_gone",          "endpoint_restarted",   "stopping"};

struct log_entry {
  std::string text; ///< as it came
  std::string event;
  std::string host;
  std::string request;
  std::string team;
  std::string endpoint;
};

std::string text_of(const json_node& node, std::string_view name) {
  const json_node* at = node.find(name);
  return at != nullptr && at->type == json_type::text ? at->text : "";
}

std::optional<log_entry> parse_line(const std::string& line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos)
    return std::nullopt;
  try {
    const json_node node = parse_json(std::string_view{line}.substr(begin));
    return log_entry{line,
                     text_of(node, "event"),
                     text_of(node, "host"),
                     text_of(node, "request_id"),
                     text_of(node, "team"),
                     text_of(node, "endpoint")};
  } catch (const error&) {
    return std::nullopt; // a line of another program, or one that was cut off
  }
}

bool is_belief(const log_entry& entry) {
  return std::find(belief_events.begin(), belief_events.end(), entry.event) != belief_events.end();
}

/// Whether two lines say the same kind of thing of the same subject, so that the later one holds.
std::string belief_key(const log_entry& entry) {
  std::string kind = entry.event;
  for (const std::string_view ending : {"_unreachable", "_reachable", "_gone"})
    if (kind.ends_with(ending))
      kind.resize(kind.size() - ending.size());
  return entry.host + ' ' + kind + ' ' + entry.team + ' ' + entry.endpoint;
}

bool concerns(const log_entry& belief, const log_entry& of) {
  return belief.host == of.host && (belief.team.empty() || belief.team == of.team) &&
         (belief.endpoint.empty() || belief.endpoint == of.endpoint);
}

} // namespace

std::size_t explain_request(std::istream& lines, const std::string& request, std::ostream& out) {
  std::map<std::string, log_entry> beliefs;
  std::size_t named = 0;
  for (std::string line; std::getline(lines, line);) {
    const auto entry = parse_line(line);
    if (!entry)
      continue;
    if (is_belief(*entry))
      beliefs.insert_or_assign(belief_key(*entry), *entry);
    if (entry->request != request)
      continue;
    if (entry->event == "request_ended")
      for (const auto& [key, belief] : beliefs)
        if (concerns(belief, *entry))
          out << "known  " << belief.text << '\n';
    out << "did    " << entry->text << '\n';
    ++named;
  }
  return named;
}

} // namespace sedgechute
