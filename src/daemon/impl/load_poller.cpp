#include "daemon/impl/load_poller.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

constexpr time_ms poll_timeout{500};
constexpr std::int64_t silent_rounds = 4;
constexpr std::uint64_t far_every = 5;      ///< rounds between batches to other data centres
constexpr std::uint64_t full_every = 10;    ///< rounds between batches that name what is loaded
constexpr std::int64_t ms_per_endpoint = 4; ///< of a round, for each endpoint of the data centre

std::vector<std::string> names_in(const Object& object, const std::string& field) {
  std::vector<std::string> names;
  const auto array = object.getArray(field);
  for (std::size_t i = 0; array && i < array->size(); ++i)
    names.push_back(array->getElement<std::string>(static_cast<unsigned>(i)));
  return names;
}

Object::Ptr fetch(const std::string& address, const std::string& path) {
  const http_answer answer = http_call(http_target::parse(address), "GET", path, {}, poll_timeout);
  if (answer.status != 200)
    throw error{error_kind::endpoint_failed, address + path, std::to_string(answer.status)};
  Poco::JSON::Parser parser;
  return parser.parse(answer.body).extract<Object::Ptr>();
}

void read_load(const Object& object, wire::endpoint_load& load) {
  load.set_running(object.optValue<Poco::UInt32>("running", 0));
  load.set_waiting(object.optValue<Poco::UInt32>("waiting", 0));
  load.set_max_running(object.optValue<Poco::UInt32>("max_running", 0));
  load.set_kv_used(object.optValue<float>("kv_used", 0));
  load.set_kv_total(object.optValue<float>("kv_total", 0));
  load.set_prompt_tokens_per_s(object.optValue<float>("prompt_tokens_per_s", 0));
  load.set_tokens_per_s(object.optValue<float>("tokens_per_s", 0));
  load.set_age_ms(object.optValue<Poco::UInt32>("age_ms", 0));
  const auto role = value_named<endpoint_role>(object.optValue<std::string>("role", "any"));
  load.set_role(static_cast<std::uint32_t>(role.value_or(endpoint_role::any)));
  load.set_names_loaded(true);
  for (std::string& model : names_in(object, "models"))
    load.add_models(std::move(model));
  for (std::string& adapter : names_in(object, "adapters"))
    load.add_adapters(std::move(adapter));
}

/// A model may be reported as `name` or `name@version`.
model_version parse_model(const std::string& text) {
  const std::size_t at = text.find('@');
  if (at == std::string::npos)
    return {model_id{text}, {}};
  return {model_id{text.substr(0, at)}, text.substr(at + 1)};
}

load_report report_of(const wire::endpoint_load& load) {
  load_report report;
  report.running = load.running();
  report.waiting = load.waiting();
  report.max_running = load.max_running();
  report.kv_used = static_cast<double>(load.kv_used());
  report.kv_total = static_cast<double>(load.kv_total());
  report.prompt_tokens_per_s = static_cast<double>(load.prompt_tokens_per_s());
  report.tokens_per_s = static_cast<double>(load.tokens_per_s());
  report.age = time_ms{load.age_ms()};
  if (load.role() <= static_cast<std::uint32_t>(endpoint_role::decode))
    report.role = static_cast<endpoint_role>(load.role());
  for (const std::string& model : load.models())
    report.models.push_back(parse_model(model));
  report.adapters.assign(load.adapters().begin(), load.adapters().end());
  report.loaded_known = load.names_loaded();
  return report;
}

} // namespace

load_poller::load_poller(incarnation self, data_centre_id here, dispatch_service& dispatch,
                         peer_links& peers, const clock& time, time_ms interval)
    : self_{std::move(self)}, here_{std::move(here)}, dispatch_{dispatch}, peers_{peers},
      time_{time}, interval_{interval} {}

load_poller::~load_poller() {
  stop();
}

void load_poller::start() {
  thread_ = std::thread{[this] { run(); }};
}

void load_poller::stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

void load_poller::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  members_ = view.members;
}

void load_poller::on_peer_loads(const wire::load_batch& batch) {
  {
    const std::scoped_lock lock{mutex_};
    for (const wire::endpoint_load& load : batch.loads())
      heard_[load.endpoint()] = time_.now();
  }
  for (const wire::endpoint_load& load : batch.loads())
    apply(load);
}

void load_poller::run() {
  while (!stopping_) {
    const time_ms began = time_.now();
    poll_round();
    const time_ms left = began + round_interval() - time_.now();
    if (left > time_ms{0})
      std::this_thread::sleep_for(std::chrono::milliseconds{left.count()});
  }
}

time_ms load_poller::round_interval() const {
  const auto near = static_cast<std::int64_t>(near_endpoints_.load());
  return std::max(interval_, time_ms{near * ms_per_endpoint});
}

void load_poller::poll_round() {
  wire::load_batch batch;
  const time_ms now = time_.now();
  ++round_;
  std::size_t near = 0;
  for (const host_list_entry& endpoint : dispatch_.endpoints()) {
    if (stopping_)
      return;
    near += endpoint.data_centre == here_ ? 1 : 0;
    if (!is_mine(endpoint, now))
      continue;
    wire::endpoint_load load;
    load.set_endpoint(endpoint.name);
    if (!poll(endpoint, load))
      continue;
    apply(load);
    *batch.add_loads() = std::move(load);
  }
  near_endpoints_ = near;
  share(batch);
}

bool load_poller::is_mine(const host_list_entry& endpoint, time_ms now) {
  const std::scoped_lock lock{mutex_};
  std::vector<host_id> near;
  for (const member& one : members_)
    if (one.data_centre == endpoint.data_centre)
      near.push_back(one.who.host);
  const auto place = rendezvous(endpoint.name, near, 1);
  if (!place.empty() && place.front() == self_.host)
    return true;
  // An endpoint elsewhere is asked from here only when its whole data centre has fallen silent.
  const std::int64_t rounds = endpoint.data_centre == here_
                                  ? silent_rounds
                                  : silent_rounds * static_cast<std::int64_t>(far_every);
  const auto [heard, fresh] = heard_.try_emplace(endpoint.name, now);
  return !fresh && now - heard->second > round_interval() * rounds;
}

bool load_poller::poll(const host_list_entry& endpoint, wire::endpoint_load& load) {
  try {
    read_load(*fetch(endpoint.address, "/load"), load);
    const auto health = fetch(endpoint.address, "/healthz");
    load.set_leaving(health->optValue<std::string>("state", "serving") == "leaving");
    poll_cache_events(endpoint);
    return true;
  } catch (const Poco::Exception&) {
    return false; // it does not answer; the requests sent there will show whether it is dead
  } catch (const error&) {
    return false;
  }
}

// Events come late and with gaps. A gap is reported as a count: what was believed of the endpoint's
// cache is then trusted less, since some of it may have been evicted unseen.
void load_poller::poll_cache_events(const host_list_entry& endpoint) {
  std::uint64_t& next = next_event_[endpoint.name];
  Object::Ptr page;
  try {
    page = fetch(endpoint.address, "/cache/events?after=" + std::to_string(next));
  } catch (const error&) {
    return; // a plain service has no cache
  }
  const auto events = page->getArray("events");
  for (std::size_t i = 0; events && i < events->size(); ++i) {
    const auto event = events->getObject(static_cast<unsigned>(i));
    const auto sequence = event->getValue<Poco::UInt64>("seq");
    Poco::UInt64 prefix = 0;
    if (!Poco::NumberParser::tryParseHex64(event->getValue<std::string>("prefix"), prefix))
      continue;
    if (sequence > next + 1 && next > 0)
      dispatch_.on_cache_gap(endpoint_id{endpoint.name}, sequence - next - 1);
    next = sequence;
    dispatch_.on_cache_event(endpoint_id{endpoint.name}, prefix,
                             event->getValue<std::string>("kind") == "stored");
  }
}

// What is loaded changes seldom and makes most of a report's bytes, so most reports leave it out.
void load_poller::apply(wire::endpoint_load load) {
  {
    const std::scoped_lock lock{mutex_};
    wire::endpoint_load& known = loaded_[load.endpoint()];
    if (load.names_loaded()) {
      known.set_names_loaded(true);
      *known.mutable_models() = load.models();
      *known.mutable_adapters() = load.adapters();
    } else {
      load.set_names_loaded(known.names_loaded());
      *load.mutable_models() = known.models();
      *load.mutable_adapters() = known.adapters();
    }
  }
  const endpoint_id id{load.endpoint()};
  dispatch_.on_load(id, report_of(load));
  dispatch_.on_leaving(id, load.leaving());
}

void load_poller::share(const wire::load_batch& batch) {
  if (batch.loads_size() == 0)
    return;
  wire::load_batch brief = batch;
  const bool full = round_ % full_every == 1;
  for (wire::endpoint_load& load : *brief.mutable_loads()) {
    if (!full) {
      load.set_names_loaded(false);
      load.clear_models();
      load.clear_adapters();
    }
  }
  std::vector<incarnation> to;
  {
    const std::scoped_lock lock{mutex_};
    const bool far = round_ % far_every == 1;
    for (const member& one : members_)
      if (one.who.host != self_.host && (far || one.data_centre == here_))
        to.push_back(one.who);
  }
  for (const incarnation& peer : to) {
    wire::envelope message;
    *message.mutable_loads() = brief;
    peers_.send(peer, std::move(message));
  }
}

} // namespace sedgechute
