#pragma once

namespace sedgechute {

struct http_answer;
struct http_target;

struct log_entry;
struct log_page;
class log_client;
class http_log_client;

enum class listed_kind;
enum class listed_state;
struct host_list_entry;
struct host_listing;
class host_list_client;
class http_host_list_client;

class weight_store_client;
class http_weight_store_client;

} // namespace sedgechute
