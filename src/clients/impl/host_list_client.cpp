#include "clients/impl/host_list_client.hpp"

#include "clients/impl/json_field.hpp"

#include <utility>

namespace sedgechute {

namespace {

// An entry with an unknown kind or state is left out: a newer platform may list what this release
// cannot route to, and the rest of the list must stay usable.
std::optional<host_list_entry> parse_entry(const Poco::JSON::Object& object) {
  const auto kind = value_named<listed_kind>(json_string(object, "kind"));
  const auto state = value_named<listed_state>(json_string(object, "state"));
  if (!kind || !state)
    return std::nullopt;
  host_list_entry host;
  host.name = json_string(object, "name");
  host.kind = *kind;
  host.state = *state;
  host.data_centre = data_centre_id{json_string(object, "data_centre")};
  host.address = json_string(object, "address");
  host.peer_address = object.optValue<std::string>("peer_address", "");
  host.pool = pool_id{object.optValue<std::string>("pool", "")};
  return host;
}

} // namespace

http_host_list_client::http_host_list_client(http_target target, time_ms timeout)
    : target_{std::move(target)}, timeout_{timeout} {}

host_listing http_host_list_client::fetch() {
  const http_answer answer = platform_call("host list", target_, "GET", "/v1/hosts", {}, timeout_);
  if (answer.status != 200)
    throw error{error_kind::log_unavailable, "host list",
                "status " + std::to_string(answer.status)};
  const auto object = parse_json_object(answer.body, "host list");
  const auto entries = object->getArray("hosts");
  host_listing list;
  for (std::size_t i = 0; entries && i < entries->size(); ++i) {
    const auto entry = entries->getObject(static_cast<unsigned>(i));
    if (!entry)
      continue;
    if (auto host = parse_entry(*entry))
      list.hosts.push_back(std::move(*host));
  }
  return list;
}

} // namespace sedgechute
