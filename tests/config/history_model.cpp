#include "history_model.hpp"

#include <array>

namespace sedgechute::testing {
namespace {

constexpr std::size_t host_count = 3;
constexpr std::size_t window = 6;
constexpr unsigned team_count = 2;
constexpr std::size_t longest_history = 60;

struct log_entry {
  std::uint64_t offset;
  document_record record;
};

/// What a team has spent at a place of the log.
[[nodiscard]] std::int64_t committed_at(std::uint64_t offset) {
  return static_cast<std::int64_t>(offset * 37 % 5) * 100;
}

struct naive_document {
  document_revision revision{0};
  std::int64_t bought{0};
  std::string pool;
};

/// The naive version: replays from the start with maps and keeps every outcome for good.
struct naive_state {
  std::map<std::string, naive_document> documents;
  std::map<std::string, publish_verdict> verdicts;
  std::uint64_t sequence{0};

  void apply(const log_entry& entry);
  [[nodiscard]] publish_verdict judge(const log_entry& entry, const naive_document& wanted);
};

[[nodiscard]] std::string body_for(const document_record& record, std::int64_t bought,
                                   const std::string& pool) {
  if (record.kind == document_kind::fleet)
    return R"({"schema":1,"data_centres":[],"pools":[{"name":")" + pool +
           R"(","kind":"engine","models":[{"name":"m"}]}]})";
  return R"({"schema":1,"team":")" + record.name + R"(","top_ups":[{"id":"a","tokens":)" +
         std::to_string(bought) +
         R"(}],"keys":[],"classes":[{"name":"c"}],"default_class":"c","pools":[")" + pool +
         R"("]})";
}

/// Reads back what `body_for` wrote, by plain search in the text.
[[nodiscard]] naive_document naive_read(const document_record& record) {
  naive_document read;
  const std::string& body = record.body;
  const bool fleet = record.kind == document_kind::fleet;
  const std::string mark = fleet ? R"("pools":[{"name":")" : R"("pools":[")";
  const auto pool = body.find(mark) + mark.size();
  read.pool = body.substr(pool, body.find('"', pool) - pool);
  if (!fleet)
    read.bought = std::stoll(body.substr(body.find("tokens\":") + 8));
  return read;
}

publish_verdict naive_state::judge(const log_entry& entry, const naive_document& wanted) {
  const auto& record = entry.record;
  if (record.based_on > sequence || sequence - record.based_on >= window)
    return publish_verdict::expired;
  if (record.replaces != documents[record.name].revision)
    return publish_verdict::conflict;
  const naive_document fleet = documents[std::string{fleet_document_name}];
  bool fits = true;
  if (record.kind == document_kind::contract)
    fits = fleet.revision != 0 && wanted.pool == fleet.pool &&
           wanted.bought >= committed_at(entry.offset);
  else
    for (const auto& [name, document] : documents)
      fits = fits && (name == fleet_document_name || document.revision == 0 ||
                      document.pool == wanted.pool);
  return fits ? publish_verdict::in_force : publish_verdict::invalid;
}

void naive_state::apply(const log_entry& entry) {
  const auto& record = entry.record;
  if (!verdicts.contains(record.record_id)) {
    naive_document wanted = naive_read(record);
    const publish_verdict verdict = judge(entry, wanted);
    verdicts[record.record_id] = verdict;
    wanted.revision = entry.offset;
    if (verdict == publish_verdict::in_force)
      documents[record.name] = wanted;
  }
  ++sequence;
}

struct test_host {
  document_store store{window};
  std::size_t next{0}; ///< index of the next log entry to read
  std::map<std::string, document_revision> seen;
};

/// A checkpoint that a host is giving part by part while it replays on.
struct open_checkpoint {
  unsigned host{0};
  bool trims{false};
  cut_number cut{0};
  document_snapshot whole;
  std::vector<document_snapshot> parts;
};

class history {
 public:
  explicit history(mutation fault) : fault_{fault}, hosts_(host_count) {}

  void play(const history_step& step);
  void finish();
  [[nodiscard]] history_faults faults() const { return faults_; }

 private:
  void publish(const history_step& step);
  void repeat(const history_step& step);
  void read(test_host& host, unsigned count);
  void relay(const history_step& step);
  void checkpoint(const history_step& step);
  void advance_checkpoint();
  void finish_checkpoint();
  void restart(test_host& host);
  void check(test_host& host);
  void check_document(test_host& host, document_kind kind, const std::string& name,
                      const naive_document& wanted);
  void append(document_record record);
  [[nodiscard]] const naive_state& naive_at(std::uint64_t offset) const;

  mutation fault_;
  std::vector<test_host> hosts_;
  std::vector<log_entry> log_;
  std::vector<document_record> written_;
  std::size_t retained_{0}; ///< entries before this index are gone from the log
  std::optional<open_checkpoint> open_checkpoint_;
  std::vector<document_snapshot> checkpoint_; ///< parts of the last whole one
  std::size_t checkpoint_next_{0};
  std::map<std::uint64_t, naive_state> naive_{{0, {}}};
  std::uint64_t next_offset_{1};
  history_faults faults_;
};

const naive_state& history::naive_at(std::uint64_t offset) const {
  return std::prev(naive_.upper_bound(offset))->second;
}

void history::append(document_record record) {
  // Ledger records share the stream, so offsets of documents have gaps.
  next_offset_ += 1 + record.body.size() % 3;
  log_.push_back({next_offset_, std::move(record)});
  naive_state next = naive_.rbegin()->second;
  next.apply(log_.back());
  naive_[next_offset_] = std::move(next);
}

void history::publish(const history_step& step) {
  const test_host& host = hosts_[step.a % host_count];
  document_record record;
  record.record_id = "r" + std::to_string(written_.size());
  record.kind = step.b % 4 == 0 ? document_kind::fleet : document_kind::contract;
  record.name = record.kind == document_kind::fleet ? std::string{fleet_document_name}
                                                    : "team" + std::to_string(step.b % team_count);
  record.replaces = host.store.revision_of(record.kind, record.name);
  record.based_on = host.store.sequence();
  record.body =
      body_for(record, std::int64_t{100} * (step.c % 6 + 1), step.c % 5 == 0 ? "lm2" : "lm");
  written_.push_back(record);
  append(std::move(record));
}

void history::repeat(const history_step& step) {
  if (!written_.empty())
    append(written_[step.a % written_.size()]);
}

void history::read(test_host& host, unsigned count) {
  for (; count > 0 && host.next < log_.size(); --count) {
    log_entry entry = log_[host.next++];
    const std::string record_id = entry.record.record_id;
    if (fault_ == mutation::ignores_replaced_revision)
      entry.record.replaces = host.store.revision_of(entry.record.kind, entry.record.name);
    if (fault_ == mutation::forgets_record_ids)
      entry.record.record_id += "@" + std::to_string(entry.offset);
    const auto done = host.store.apply(entry.offset, entry.record, [this, &entry](const team_id&) {
      return fault_ == mutation::skips_budget_check ? 0 : committed_at(entry.offset);
    });
    const publish_verdict wanted = naive_.rbegin()->second.verdicts.at(record_id);
    const bool late_copy = done.outcome.verdict == publish_verdict::expired;
    if (done.outcome.verdict != wanted && !late_copy)
      ++faults_.lost;
  }
}

void history::relay(const history_step& step) {
  const test_host& from = hosts_[step.a % host_count];
  test_host& to = hosts_[step.b % host_count];
  auto passed = from.store.tail().after(to.store.last_offset(), 1 + step.c % 4);
  if (fault_ == mutation::drops_relayed_records && passed.size() > 1)
    passed.erase(passed.begin());
  if (fault_ == mutation::accepts_gaps && passed.size() > 1)
    std::swap(passed.front(), passed.back());
  for (auto& one : passed) {
    if (fault_ == mutation::accepts_gaps || fault_ == mutation::drops_relayed_records)
      one.previous = to.store.last_offset();
    const relay_result result = to.store.accept(one);
    if (result != relay_result::applied)
      ++faults_.lost;
    check(to);
  }
}

void history::checkpoint(const history_step& step) {
  test_host& host = hosts_[step.a % host_count];
  if (open_checkpoint_ || host.store.last_offset() == 0 ||
      (!checkpoint_.empty() && checkpoint_.front().last_offset >= host.store.last_offset()))
    return;
  open_checkpoint_.emplace();
  open_checkpoint_->host = static_cast<unsigned>(step.a % host_count);
  open_checkpoint_->trims = step.b % 2 == 0;
  open_checkpoint_->cut = host.store.open_cut();
  open_checkpoint_->whole = host.store.snapshot();
}

void history::advance_checkpoint() {
  if (!open_checkpoint_)
    return;
  try {
    document_store& store = hosts_[open_checkpoint_->host].store;
    if (auto part = store.next_part(open_checkpoint_->cut, 2))
      open_checkpoint_->parts.push_back(std::move(*part));
    else
      finish_checkpoint();
  } catch (const error&) {
    open_checkpoint_.reset(); // the host started again, and the checkpoint is never whole
  }
}

void history::finish_checkpoint() {
  const open_checkpoint done = *std::exchange(open_checkpoint_, std::nullopt);
  hosts_[done.host].store.close_cut(done.cut);
  document_store filled{window};
  for (const document_snapshot& part : done.parts)
    filled.add_part(part);
  if (filled.snapshot() != done.whole)
    ++faults_.half_applied;
  checkpoint_ = done.parts;
  checkpoint_next_ = 0;
  while (checkpoint_next_ < log_.size() && log_[checkpoint_next_].offset <= done.whole.last_offset)
    ++checkpoint_next_;
  if (done.trims)
    retained_ = std::max(retained_, checkpoint_next_);
}

void history::restart(test_host& host) {
  host = test_host{};
  if (checkpoint_.empty())
    return;
  document_store filled{window};
  for (const document_snapshot& part : checkpoint_)
    filled.add_part(part);
  host.store.take_over(std::move(filled));
  host.next = fault_ == mutation::skips_after_restore ? log_.size() : checkpoint_next_;
}

void history::check_document(test_host& host, document_kind kind, const std::string& name,
                             const naive_document& wanted) {
  const document_revision revision = host.store.revision_of(kind, name);
  if (revision < host.seen[name])
    ++faults_.reverted;
  host.seen[name] = revision;
  if (revision < wanted.revision)
    ++faults_.lost;
  else if (revision > wanted.revision)
    ++faults_.half_applied;
  if (revision == 0 || revision != wanted.revision)
    return;
  document_record shown;
  shown.kind = kind;
  shown.body = host.store.body_of(kind, name);
  naive_document read;
  if (kind == document_kind::fleet) {
    read.pool = host.store.fleet()->value.pools.front().name.str();
  } else {
    const auto agreed = host.store.contract_of(team_id{name});
    read.bought = bought_tokens(agreed->value);
    read.pool = agreed->value.pools.front().str();
    if (agreed->revision != revision)
      ++faults_.half_applied;
  }
  if (read.bought != wanted.bought || read.pool != wanted.pool || shown.body.empty())
    ++faults_.half_applied;
}

void history::check(test_host& host) {
  naive_state wanted = naive_at(host.store.last_offset());
  check_document(host, document_kind::fleet, std::string{fleet_document_name},
                 wanted.documents[std::string{fleet_document_name}]);
  for (unsigned team = 0; team < team_count; ++team) {
    const std::string name = "team" + std::to_string(team);
    check_document(host, document_kind::contract, name, wanted.documents[name]);
  }
}

void history::play(const history_step& step) {
  advance_checkpoint();
  test_host& host = hosts_[step.a % host_count];
  switch (step.kind) {
  case step_kind::publish:
    publish(step);
    break;
  case step_kind::repeat:
    repeat(step);
    break;
  case step_kind::read:
    // A host that fell behind what the log retains must start again from the checkpoint.
    if (host.next < retained_)
      restart(host);
    read(host, 1 + step.b % 8);
    break;
  case step_kind::relay:
    relay(step);
    break;
  case step_kind::checkpoint:
    checkpoint(step);
    break;
  case step_kind::restart:
    restart(host);
    break;
  }
  check(host);
}

void history::finish() {
  for (auto& host : hosts_) {
    if (host.next < retained_)
      restart(host);
    read(host, static_cast<unsigned>(log_.size()));
    check(host);
    const auto& last = naive_.rbegin()->second;
    for (const auto& [name, document] : last.documents)
      if (host.store.revision_of(name == fleet_document_name ? document_kind::fleet
                                                             : document_kind::contract,
                                 name) != document.revision)
        ++faults_.lost;
    if (host.store.digest() != hosts_.front().store.digest())
      ++faults_.half_applied;
  }
}

} // namespace

std::vector<history_step> random_history(std::uint64_t seed) {
  constexpr std::array kinds{step_kind::publish, step_kind::publish, step_kind::publish,
                             step_kind::repeat,  step_kind::read,    step_kind::read,
                             step_kind::relay,   step_kind::relay,   step_kind::checkpoint,
                             step_kind::restart};
  random_source random{seed};
  std::vector<history_step> steps(1 + random.below(longest_history));
  for (auto& step : steps) {
    step.kind = kinds[random.below(kinds.size())];
    step.a = static_cast<unsigned>(random.below(1000));
    step.b = static_cast<unsigned>(random.below(1000));
    step.c = static_cast<unsigned>(random.below(1000));
  }
  return steps;
}

history_faults play_history(const std::vector<history_step>& steps, mutation fault) {
  history played{fault};
  try {
    for (const auto& step : steps)
      played.play(step);
    played.finish();
  } catch (const error&) {
    history_faults faults = played.faults();
    ++faults.lost;
    return faults;
  }
  return played.faults();
}

} // namespace sedgechute::testing
