#pragma once

namespace sedgechute {

class time_ms;
class clock;
class steady_clock;
class manual_clock;

enum class error_kind;
enum class run_outcome;
struct error_answer;
class error;

template <typename Tag>
class identifier;

class random_source;

enum class lock_rank;
class ordered_mutex;
class worker_pool;

template <typename Plugin>
class registry;

} // namespace sedgechute
