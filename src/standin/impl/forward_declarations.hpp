#pragma once

namespace sedgechute::standin {

enum class fencing_mode;
enum class outage_mode;
struct faults;
class fault_board;

class exchange;
class http_server;
class pacer;

struct log_options;
class log_store;
struct host_list_options;
class host_list;
struct weight_options;
class weight_store;
struct prompt;
class prefix_cache;
struct engine_options;
class engine;
struct service_options;
class plain_service;
class fleet;

} // namespace sedgechute::standin
