#pragma once

namespace sedgechute {

enum class json_type;
struct json_node;
struct problem;
class check_run;

template <typename V>
struct value_rule;
template <typename T>
class object_table;
template <typename T>
struct checked;

struct address;
struct hashed_key;
struct host_settings;
struct contract;
struct fleet_settings;

} // namespace sedgechute
