#include "daemon/impl/document_service.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

void require(bool allowed, error_kind kind, const std::string& where, const std::string& why) {
  if (!allowed)
    throw error{kind, where, why};
}

bool is_non_idempotent(const pool_settings& pool, const std::string& method) {
  const auto& methods = pool.non_idempotent_methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

void grant_model(access_grant& grant, const fleet_settings& fleet, const contract& agreed,
                 const model_id& wanted) {
  const pool_settings* pool = find_pool_of(fleet, wanted);
  const model_settings* model = find_model(fleet, wanted);
  require(pool != nullptr && model != nullptr, error_kind::unknown_model, "/model",
          "no pool serves \"" + wanted.str() + "\"");
  require(allows_pool(agreed, pool->name) && allows_model(agreed, wanted), error_kind::forbidden,
          "/model", "the contract does not cover \"" + wanted.str() + "\"");
  grant.pool = pool->name;
  grant.max_output_tokens = static_cast<std::uint64_t>(model->max_output_tokens);
  if (agreed.limits.max_output_tokens > 0)
    grant.max_output_tokens = std::min(grant.max_output_tokens,
                                       static_cast<std::uint64_t>(agreed.limits.max_output_tokens));
}

void grant_service(access_grant& grant, const fleet_settings& fleet, const contract& agreed,
                   const std::string& wanted, const std::string& method) {
  const pool_settings* pool = find_pool(fleet, pool_id{wanted});
  require(pool != nullptr && pool->kind == pool_kind::service, error_kind::unknown_service, "",
          "there is no service \"" + wanted + "\"");
  require(allows_service(agreed, pool->name), error_kind::forbidden, "",
          "the contract does not cover service \"" + wanted + "\"");
  grant.pool = pool->name;
  grant.answer_timeout = pool->answer_timeout;
  grant.tokens_per_call = static_cast<std::uint64_t>(pool->tokens_per_call);
  grant.idempotent_by_default = !is_non_idempotent(*pool, method);
}

} // namespace

applied_document document_service::apply(std::uint64_t offset, const document_record& record,
                                         const committed_tokens& committed) {
  applied_document applied;
  {
    const std::scoped_lock lock{mutex_};
    applied = store_.apply(offset, record, committed);
    applying_ = record.record_id;
  }
  return applied;
}

void document_service::finish_apply() noexcept {
  {
    const std::scoped_lock lock{mutex_};
    applying_.clear();
  }
  applied_.notify_all();
}

cut_number document_service::open_cut() {
  const std::scoped_lock lock{mutex_};
  return store_.open_cut();
}

std::optional<document_snapshot> document_service::next_part(cut_number cut, std::size_t most) {
  const std::scoped_lock lock{mutex_};
  return store_.next_part(cut, most);
}

void document_service::close_cut(cut_number cut) {
  const std::scoped_lock lock{mutex_};
  store_.close_cut(cut);
}

void document_service::begin_restore() {
  arriving_.emplace();
}

void document_service::restore_part(const document_snapshot& part) {
  arriving_->add_part(part);
}

void document_service::finish_restore() {
  document_store whole = std::move(*arriving_);
  arriving_.reset();
  const std::scoped_lock lock{mutex_};
  store_.take_over(std::move(whole));
}

std::shared_ptr<const fleet_settings> document_service::fleet() const {
  const std::scoped_lock lock{mutex_};
  const fleet_ptr& fleet = store_.fleet();
  return fleet ? std::shared_ptr<const fleet_settings>{fleet, &fleet->value} : nullptr;
}

std::shared_ptr<const contract> document_service::find(const team_id& team) {
  const std::scoped_lock lock{mutex_};
  const contract_ptr agreed = store_.contract_of(team);
  return agreed ? std::shared_ptr<const contract>{agreed, &agreed->value} : nullptr;
}

std::size_t document_service::contracts() const {
  const std::scoped_lock lock{mutex_};
  return store_.contracts().size();
}

void document_service::for_each_contract(const std::function<void(const contract&)>& visit) {
  std::vector<team_id> teams;
  {
    const std::scoped_lock lock{mutex_};
    store_.contracts().for_each_team(
        [&](const team_id& team, document_revision) { teams.push_back(team); });
  }
  for (const team_id& team : teams)
    if (const auto agreed = find(team))
      visit(*agreed);
}

publish_outcome document_service::preview(const document_record& record,
                                          const committed_tokens& committed) const {
  const std::scoped_lock lock{mutex_};
  return store_.preview(record, committed);
}

std::optional<publish_outcome> document_service::wait_for_outcome(const std::string& record_id,
                                                                  time_ms most) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{most.count()};
  std::unique_lock lock{mutex_};
  for (;;) {
    const publish_outcome* outcome =
        record_id == applying_ ? nullptr : store_.outcome_of(record_id);
    if (outcome != nullptr)
      return *outcome;
    if (applied_.wait_until(lock, deadline) == std::cv_status::timeout)
      return std::nullopt;
  }
}

document_revision document_service::revision_of(document_kind kind, const std::string& name) const {
  const std::scoped_lock lock{mutex_};
  return store_.revision_of(kind, name);
}

std::string document_service::body_of(document_kind kind, const std::string& name) {
  const std::scoped_lock lock{mutex_};
  return store_.body_of(kind, name);
}

document_answer
document_service::answer(const std::function<document_answer(document_store&)>& compose) {
  const std::scoped_lock lock{mutex_};
  return compose(store_);
}

std::uint64_t document_service::sequence() const {
  const std::scoped_lock lock{mutex_};
  return store_.sequence();
}

std::uint64_t document_service::digest() const {
  const std::scoped_lock lock{mutex_};
  return store_.digest();
}

bool document_service::needs_newer_program() const {
  const std::scoped_lock lock{mutex_};
  return store_.needs_newer_program();
}

contract_ptr document_service::entry_for(const std::string& bearer) {
  const std::scoped_lock lock{mutex_};
  contract_ptr agreed = store_.authenticate(bearer);
  require(agreed != nullptr, error_kind::unauthenticated, "", "");
  return agreed;
}

team_id document_service::authenticate(const std::string& bearer) {
  return entry_for(bearer)->value.team;
}

access_grant document_service::admit(const access_request& request) {
  const contract_ptr found = entry_for(request.bearer);
  const std::shared_ptr<const fleet_settings> settings = fleet();
  require(settings != nullptr, error_kind::not_ready, "", "no fleet settings are in force");
  const contract& agreed = found->value;
  require(agreed.status == contract_status::active, error_kind::forbidden, "",
          "the contract is cancelled");
  const request_class* kind = find_class(agreed, request.class_name);
  require(kind != nullptr, error_kind::invalid_parameter, "X-Sedgechute-Class",
          "the contract has no class \"" + request.class_name + "\"");
  access_grant grant;
  grant.team = agreed.team;
  grant.contract_revision = found->revision;
  grant.class_name = kind->name;
  grant.priority = static_cast<int>(kind->priority);
  grant.deadline = kind->deadline;
  grant.first_token_objective = kind->first_token;
  grant.objective = kind->objective;
  grant.idempotent_by_default = agreed.idempotent_by_default;
  if (request.service.empty())
    grant_model(grant, *settings, agreed, request.model);
  else
    grant_service(grant, *settings, agreed, request.service, request.method);
  return grant;
}

std::vector<model_id> document_service::models(const std::string& bearer) {
  const contract_ptr found = entry_for(bearer);
  const std::shared_ptr<const fleet_settings> settings = fleet();
  std::vector<model_id> models;
  if (!settings)
    return models;
  for (const pool_settings& pool : settings->pools)
    for (const model_settings& model : pool.models)
      if (allows_pool(found->value, pool.name) && allows_model(found->value, model.name))
        models.push_back(model.name);
  return models;
}

} // namespace sedgechute
