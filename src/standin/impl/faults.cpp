#include "standin/impl/faults.hpp"

namespace sedgechute::standin {

namespace {

constexpr std::int64_t all = -1;

/// A count may be given as a number, or as true for "all" and false for "none".
std::int64_t count_from(const Poco::Dynamic::Var& value) {
  if (value.isBoolean())
    return value.convert<bool>() ? all : 0;
  return value.convert<std::int64_t>();
}

outage_mode outage_from(const Poco::Dynamic::Var& value) {
  if (value.isBoolean())
    return value.convert<bool>() ? outage_mode::unavailable : outage_mode::none;
  const auto mode = value_named<outage_mode>(value.convert<std::string>());
  if (!mode)
    throw error{error_kind::invalid_parameter, "/outage", "one of none, unavailable, mute"};
  return *mode;
}

fencing_mode fencing_from(const Poco::Dynamic::Var& value) {
  const auto mode = value_named<fencing_mode>(value.convert<std::string>());
  if (!mode)
    throw error{error_kind::invalid_parameter, "/fencing", "one of refuse, ignore"};
  return *mode;
}

void set(faults& target, const std::string& name, const Poco::Dynamic::Var& value) {
  if (name == "delay_ms")
    target.delay_ms = value.convert<std::int64_t>();
  else if (name == "late_ms")
    target.late_ms = value.convert<std::int64_t>();
  else if (name == "lose_answers")
    target.lose_answers = count_from(value);
  else if (name == "duplicate")
    target.duplicate = count_from(value);
  else if (name == "cut_after_tokens")
    target.cut_after_tokens = value.convert<std::int64_t>();
  else if (name == "extra_usage")
    target.extra_usage = value.convert<std::int64_t>();
  else if (name == "restart_ms")
    target.restart_ms = value.convert<std::int64_t>();
  else if (name == "slow_factor")
    target.slow_factor = value.convert<double>();
  else if (name == "outage")
    target.outage = outage_from(value);
  else if (name == "fencing")
    target.fencing = fencing_from(value);
  else if (name == "crash_on")
    target.crash_on = value.convert<std::string>();
  else if (name == "leaving")
    target.leaving = value.convert<bool>();
  else if (name == "no_usage")
    target.no_usage = value.convert<bool>();
  else
    throw error{error_kind::invalid_parameter, "/" + name, "no fault has this name"};
}

bool take(std::int64_t& count) {
  if (count == 0)
    return false;
  if (count > 0)
    --count;
  return true;
}

} // namespace

faults fault_board::now() const {
  const std::scoped_lock lock{mutex_};
  return faults_;
}

void fault_board::merge(const Poco::JSON::Object& change) {
  const std::scoped_lock lock{mutex_};
  faults next = faults_;
  for (const auto& [name, value] : change)
    if (name != "silent") // belongs to connections: http_server keeps it
      set(next, name, value);
  faults_ = next;
}

bool fault_board::take_lost_answer() {
  const std::scoped_lock lock{mutex_};
  return take(faults_.lose_answers);
}

bool fault_board::take_duplicate() {
  const std::scoped_lock lock{mutex_};
  return take(faults_.duplicate);
}

} // namespace sedgechute::standin
