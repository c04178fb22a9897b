#pragma once

namespace sedgechute {

class latency_histogram;

enum class severity;
enum class log_field;
struct log_subject;
struct log_value;
struct log_options;
class structured_log;

enum class metric;
enum class metric_kind;
struct metric_family;
class metrics;

enum class decision_kind;
struct decision;
struct decision_filter;
class decision_events;

} // namespace sedgechute
