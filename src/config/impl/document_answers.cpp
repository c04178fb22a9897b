#include "config/impl/document_answers.hpp"

#include <algorithm>

namespace sedgechute {
namespace {

constexpr length_range record_id_length{1, 64};
constexpr int status_accepted = 202;

/// The request as its table reads it; offsets are unsigned elsewhere.
struct raw_request {
  std::string record_id;
  std::int64_t replaces{0};
  std::int64_t based_on{0};
  std::string body;
};

/// A document has line breaks, which other texts must not have.
[[nodiscard]] value_rule<std::string> document_text_rule() {
  return {{"text", "", "1 to " + std::to_string(max_document_bytes) + " bytes", {}},
          [](const json_node& node, std::string& out, check_run& run) {
            if (!expect_type(node, json_type::text, run))
              return;
            if (node.text.empty() || node.text.size() > max_document_bytes)
              run.fault("must have 1 to " + std::to_string(max_document_bytes) + " bytes");
            else
              out = node.text;
          },
          [](const std::string& value) { return json_node::of(value); }};
}

const object_table<raw_request>& request_table() {
  static const object_table<raw_request> table{
      {make_field("record_id", &raw_request::record_id, text_rule(record_id_length),
                  "Random; the same on every repeat"),
       make_field("replaces", &raw_request::replaces, integer_rule({}), "Revision replaced",
                  presence::required),
       make_field("based_on", &raw_request::based_on, integer_rule({}), "Sequence seen"),
       make_field("body", &raw_request::body, document_text_rule(), "The document",
                  presence::required)}};
  return table;
}

[[nodiscard]] json_node number(std::uint64_t value) {
  return json_node::of(static_cast<std::int64_t>(value));
}

[[nodiscard]] json_node text(std::string_view value) {
  return json_node::of(std::string{value});
}

[[nodiscard]] json_node history_node(const relayed_document& one) {
  return json_node::object()
      .add("offset", number(one.offset))
      .add("record_id", text(one.record.record_id))
      .add("replaces", number(one.record.replaces))
      .add("verdict", text(name_of(one.verdict)))
      .add("reason", text(one.reason))
      .add("author", text(one.record.author))
      .add("published_at_ms", json_node::of(one.record.published_at.count()))
      .add("body", text(one.record.body));
}

[[nodiscard]] std::string_view state_of(const host_progress& host, document_revision wanted) {
  if (host.needs_newer_program)
    return "needs_newer_program";
  if (host.revision >= wanted)
    return "in_force";
  return host.reachable ? "behind" : "unreachable";
}

} // namespace

checked<publish_request> read_publish_request(std::string_view text) {
  check_run run{""};
  raw_request raw;
  try {
    // The document stands in it escaped, which may double its size and more.
    request_table().read(parse_json(text, {2 * max_document_bytes, max_document_depth}), raw, run);
  } catch (const error& fault) {
    run.fault(fault.why());
  }
  if (!run.problems().empty())
    return {std::nullopt, run.problems()};
  return {publish_request{raw.record_id, static_cast<document_revision>(raw.replaces),
                          static_cast<std::uint64_t>(raw.based_on), raw.body},
          {}};
}

document_record record_for(const publish_request& request, document_kind kind,
                           std::string_view name, std::string_view author, time_ms published_at) {
  document_record record;
  record.record_id = request.record_id;
  record.kind = kind;
  record.name = std::string{name};
  record.replaces = request.replaces;
  record.based_on = request.based_on;
  record.body = request.body;
  record.author = std::string{author};
  record.published_at = published_at;
  return record;
}

document_answer error_answer_for(error_kind kind, const std::string& where,
                                 const std::string& why) {
  json_node fault = json_node::object();
  fault.add("kind", text(name_of(kind)));
  fault.add("where", text(where));
  fault.add("why", text(why));
  return {answer_for(kind).http_status, json_node::object().add("error", std::move(fault))};
}

json_node outcome_node(const publish_outcome& outcome) {
  return json_node::object()
      .add("record_id", text(outcome.record_id))
      .add("offset", number(outcome.offset))
      .add("kind", text(name_of(outcome.kind)))
      .add("name", text(outcome.name))
      .add("replaces", number(outcome.replaces))
      .add("verdict", text(name_of(outcome.verdict)))
      .add("current", number(outcome.current))
      .add("reason", text(outcome.reason));
}

document_answer show_document(document_store& store, document_kind kind, std::string_view name) {
  const document_revision revision = store.revision_of(kind, name);
  if (revision == 0) {
    auto missing = error_answer_for(error_kind::unknown_path, std::string{name},
                                    "no such document is in force");
    missing.body.add("sequence", number(store.sequence()));
    return missing;
  }
  return {200, json_node::object()
                   .add("kind", text(name_of(kind)))
                   .add("name", text(name))
                   .add("revision", number(revision))
                   .add("sequence", number(store.sequence()))
                   .add("body", json_node::of(store.body_of(kind, name)))};
}

document_answer list_documents(const document_store& store, document_kind kind,
                               std::string_view after, std::size_t most) {
  std::vector<std::pair<std::string, document_revision>> names;
  if (kind == document_kind::fleet && store.fleet() != nullptr && after < fleet_document_name)
    names.emplace_back(fleet_document_name, store.fleet()->revision);
  if (kind == document_kind::contract)
    store.contracts().for_each_team([&names, after](const team_id& team, document_revision at) {
      if (team.str() > after)
        names.emplace_back(team.str(), at);
    });
  const bool more = names.size() > most;
  const std::size_t shown = std::min(most, names.size());
  std::partial_sort(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(shown), names.end());
  json_node list = json_node::array();
  for (std::size_t i = 0; i < shown; ++i)
    list.children.push_back(json_node::object()
                                .add("name", text(names[i].first))
                                .add("revision", number(names[i].second)));
  json_node body = json_node::object().add("documents", std::move(list));
  if (more && shown > 0)
    body.add("next", text(names[shown - 1].first));
  return {200, std::move(body)};
}

document_answer document_history(const document_store& store, document_kind kind,
                                 std::string_view name, std::size_t most) {
  json_node list = json_node::array();
  store.tail().for_each_newest_first([&](const relayed_document& one) {
    const bool wanted = one.record.kind == kind && one.record.name == name && !one.repeated;
    if (wanted && list.children.size() < most)
      list.children.push_back(history_node(one));
  });
  return {200, json_node::object().add("records", std::move(list))};
}

document_answer check_answer(const publish_outcome& preview) {
  return {200, json_node::object()
                   .add("verdict", text(name_of(preview.verdict)))
                   .add("reason", text(preview.reason))
                   .add("current", number(preview.current))};
}

document_answer publish_answer(document_store& store, const publish_outcome& outcome,
                               bool repeated) {
  if (outcome.verdict == publish_verdict::in_force)
    return {200, json_node::object()
                     .add("outcome", outcome_node(outcome))
                     .add("repeated", json_node::of(repeated))};
  const bool conflict = outcome.verdict == publish_verdict::conflict;
  const error_kind kind = conflict ? error_kind::publish_conflict : error_kind::invalid_document;
  document_answer answer = error_answer_for(kind, outcome.name, outcome.reason);
  answer.body.add("outcome", outcome_node(outcome));
  if (conflict)
    answer.body.add("current",
                    json_node::object()
                        .add("revision", number(store.revision_of(outcome.kind, outcome.name)))
                        .add("body", json_node::of(store.body_of(outcome.kind, outcome.name))));
  return answer;
}

document_answer pending_answer(std::string_view record_id) {
  return {status_accepted,
          json_node::object().add("record_id", text(record_id)).add("state", text("pending"))};
}

document_answer show_outcome(const document_store& store, std::string_view record_id) {
  if (const auto* outcome = store.outcome_of(record_id))
    return {200, json_node::object().add("outcome", outcome_node(*outcome))};
  return error_answer_for(error_kind::key_unknown, std::string{record_id},
                          "this record was not seen, or too long ago");
}

document_answer rollout_answer(document_revision wanted, const std::vector<host_progress>& hosts) {
  bool everywhere = true;
  json_node list = json_node::array();
  for (const auto& host : hosts) {
    const std::string_view state = state_of(host, wanted);
    everywhere = everywhere && state == "in_force";
    list.children.push_back(json_node::object()
                                .add("host", text(host.host.str()))
                                .add("data_centre", text(host.data_centre.str()))
                                .add("state", text(state))
                                .add("revision", number(host.revision))
                                .add("heard_ms", json_node::of(host.heard.count())));
  }
  return {200, json_node::object()
                   .add("revision", number(wanted))
                   .add("everywhere", json_node::of(everywhere))
                   .add("hosts", std::move(list))};
}

} // namespace sedgechute
