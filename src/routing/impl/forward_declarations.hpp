#pragma once

#include <cstdint>

namespace sedgechute {

enum class work_class;
struct team_limits;
class token_bucket;
class slot_heap;

struct queued_work;
struct work_grant;
struct admission;
struct queue_figures;
struct queue_policy;
class fair_queue;

struct team_demand;
struct team_grant;
enum class share_scope : std::uint8_t;
struct share_report;
struct share_plan;
struct share_policy;
struct share_inputs;
class share_table;

enum class endpoint_role;
enum class endpoint_state;
enum class choice_reason;
enum class attempt_outcome;
struct endpoint_info;
struct load_report;
struct route_need;
struct route_choice;
struct route_attempt;
struct attempt_end;
struct choice_policy;
struct health_policy;
struct endpoint_health;
class load_estimate;
struct endpoint_use;
struct prefix_place;
struct use_report;
struct queue_head;
struct start_policy;
class prefix_table;
class endpoint_index;
class endpoint_table;

enum class attempt_stage;
enum class retry_action;
struct retry_policy;
class retry_budget;
struct failed_attempt;
struct retry_decision;
struct hedge_policy;
struct hedge_case;

enum class stall_stage;
enum class stall_step;
enum class probe_result;
struct stall_policy;
struct stall_watch;
struct stall_decision;

enum class content_standing;
struct quarantine_policy;
struct death_evidence;
struct acquittal;
struct quarantine_record;
struct quarantine_news;
class quarantine_table;

struct routing_message;

struct pool_claim;
struct pool_decider;
class pool_claims;

enum class order_action;
enum class order_state;
enum class order_answer;
struct loadable;
struct engine_order;
struct order_record;
struct engine_view;
struct item_goal;
struct pool_goal;
struct item_demand;
struct planner_policy;
class order_planner;

} // namespace sedgechute
