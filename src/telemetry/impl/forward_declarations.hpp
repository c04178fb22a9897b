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

enum class entry_topic;
struct entry_fault;
class entry_faults;

enum class decision_kind;
struct decision;
struct decision_filter;
class decision_events;

struct good_total;
enum class burn_window;
class burn_series;
enum class burn_alert;
struct burn_row;
class burn_tracker;
struct burn_rule;

} // namespace sedgechute
