#include "gateway/impl/caller_router.hpp"

#include <Poco/Exception.h>

namespace sedgechute {

caller_router::caller_router(gateway& host) : host_{host} {
  for (const std::string& name : registry<caller_api>::names())
    apis_.emplace(name, registry<caller_api>::make(name));
}

const caller_api* caller_router::find(const std::string& path) const {
  const auto exact = apis_.find(path);
  if (exact != apis_.end())
    return exact->second.get();
  for (const auto& [name, api] : apis_)
    if (name.ends_with('/') && path.starts_with(name))
      return api.get();
  return nullptr;
}

void caller_router::serve(caller_exchange& exchange) const {
  const caller_api* api = find(exchange.path);
  if (api == nullptr)
    throw error{error_kind::unknown_path, "", ""};
  try {
    api->handle(exchange, host_);
  } catch (const error&) {
    throw;
  } catch (const Poco::Exception&) {
    throw; // the caller's connection failed; the server closes it
  } catch (const std::exception& failure) {
    host_.note_internal_error(failure.what());
    throw;
  }
}

} // namespace sedgechute
