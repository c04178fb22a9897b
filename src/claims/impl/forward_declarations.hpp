#pragma once

namespace sedgechute {

struct claim_id;
struct claim_shard;
struct claim;
struct live_host;
struct claims_options;

enum class request_state;
enum class claim_verdict;
enum class countersign_result;

struct claim_delegation;
struct claim_rotation;
struct claims_record;
struct claims_snapshot;
struct shard_status;
class shard_map;

struct retained_answer;
class answer_store;
class claim_table;
class shard_role;
class delegation_policy;
class claim_client;
class claim_host;

} // namespace sedgechute
