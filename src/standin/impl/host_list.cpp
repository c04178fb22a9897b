#include "standin/impl/host_list.hpp"

namespace sedgechute::standin {

namespace {

std::int64_t now_ms() {
  return steady_clock{}.now().count();
}

} // namespace

host_list::host_list(const host_list_options& options)
    : lag_ms_{options.lag_ms}, versions_{{now_ms() - options.lag_ms, {}}},
      server_{options.address, [this](exchange& call) { handle(call); }} {
  const std::scoped_lock lock{mutex_};
  if (!options.entries.isNull())
    replace(*options.entries);
  versions_.back().since_ms -= lag_ms_; // the list it starts with shows at once
}

void host_list::handle(exchange& call) {
  if (call.path() == "/admin/stats") {
    call.answer(200, "{}");
  } else if (call.path() != "/v1/hosts") {
    call.answer(404, error_text("no such path"));
  } else if (call.method() == "GET") {
    show(call);
  } else if (call.method() == "PUT") {
    const auto entries = call.json_body()->getArray("hosts");
    if (entries.isNull()) {
      call.answer(400, error_text("hosts must be a list"));
      return;
    }
    {
      const std::scoped_lock lock{mutex_};
      replace(*entries);
    }
    call.answer(200, "{}");
  } else {
    call.answer(405, error_text("GET shows, PUT replaces"));
  }
}

void host_list::show(exchange& call) {
  Poco::JSON::Object shown;
  Poco::JSON::Array list;
  {
    const std::scoped_lock lock{mutex_};
    const std::int64_t as_of = now_ms() - lag_ms_;
    while (versions_.size() > 1 && versions_[1].since_ms <= as_of)
      versions_.pop_front();
    for (const auto& [name, entry] : versions_.front().entries)
      list.add(entry);
    shown.set("as_of_ms", wall_time().count() - lag_ms_);
  }
  shown.set("hosts", list);
  call.answer(200, to_text(shown));
}

void host_list::replace(const Poco::JSON::Array& entries) {
  entry_table next = versions_.back().entries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const Poco::JSON::Object::Ptr entry = entries.getObject(static_cast<unsigned>(i));
    const std::string name = entry->getValue<std::string>("name");
    if (entry->optValue<std::string>("state", "live") == "gone")
      next.erase(name);
    else
      next[name] = entry;
  }
  versions_.push_back({now_ms(), std::move(next)});
}

} // namespace sedgechute::standin
