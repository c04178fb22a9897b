#include "soak_operator.hpp"

#include <array>
#include <sstream>

namespace sedgechute::soak {

namespace {

constexpr std::uint64_t version_step = 3; // versions increase, but not by one
constexpr std::uint64_t oldest_key = 2;   // versions back whose key still holds

std::string route(const std::string& name, std::string_view prefix, const std::string& rest) {
  return R"({"Name":")" + name + R"(","Hostname":"f","PathPrefix":")" + std::string{prefix} +
         R"(","TimeoutMs":2000,"LatencyTargetMs":200,)" + rest + "}";
}

std::string lasting_routes() {
  return route("safe", "/safe/", R"("Type":"safe","MaxAttempts":2,"Service":"app")") + "," +
         route("unsafe", "/unsafe/", R"("Type":"unsafe","MaxAttempts":2,"Service":"app")") + "," +
         route("once", "/once/",
               R"("Type":"streaming","InterTokenMs":60,"MaxAttempts":1,"Service":"lm")") +
         "," +
         route("stream", "/stream/",
               R"("Type":"streaming","InterTokenMs":60,"MaxAttempts":2,"Resumable":true,)"
               R"("Service":"lm")");
}

} // namespace

std::string team_name(std::uint64_t number) {
  return "t" + std::to_string(number);
}

std::string lasting_key(std::uint64_t team) {
  return "k" + std::to_string(team);
}

soak_operator::soak_operator(standin::topic_store& store, recorder& seen, const clock& time,
                             std::uint64_t prepaid)
    : store_{store}, seen_{seen}, time_{time} {
  publish_paid(prepaid);
}

void soak_operator::publish_paid(std::uint64_t more) {
  for (std::uint64_t& prepaid : prepaid_)
    prepaid += more;
  publish();
}

void soak_operator::publish_paid_but_first(std::uint64_t more) {
  for (std::size_t team = 1; team < prepaid_.size(); ++team)
    prepaid_.at(team) += more;
  publish();
}

// What is paid counts from before the store has it: no host can use it sooner.
void soak_operator::publish() {
  for (std::size_t team = 0; team < prepaid_.size(); ++team)
    seen_.note(budget_step{team_name(team), budget_step_kind::prepaid, prepaid_.at(team), {}});
  const std::uint64_t version = newest_ + 1;
  seen_.note(publication{time_.now()});
  newest_ = version;
  store_.put("keyed.op", "config", document(version));
  seen_.acknowledged(time_.now());
}

std::string soak_operator::document(std::uint64_t version) const {
  std::ostringstream text;
  text << R"({"Version":)" << version * version_step << R"(,"Routes":[)" << lasting_routes();
  for (std::uint64_t of = 1; of <= version; ++of) {
    const version_mark mark{of};
    text << ","
         << route("v" + std::to_string(of), mark.prefix(),
                  R"("Type":"safe","MaxAttempts":2,"Service":"app")");
  }
  text << R"(],"Services":[{"Name":"app","MaxConnections":900},{"Name":"lm","MaxConnections":900,)"
       << R"("Runtime":{"Slots":16,"KvCapacityTokens":90000,"Stride":)" << event_tokens
       << R"(}}],"Tenants":[)";
  for (std::uint64_t team = 0; team < teams; ++team) {
    text << (team == 0 ? "" : ",") << R"({"Name":")" << team_name(team) << R"(","ApiKeys":[")"
         << lasting_key(team) << '"';
    for (std::uint64_t of = version; team == 0 && of > 0 && of + oldest_key >= version; --of)
      text << R"(,")" << version_mark{of}.key() << '"';
    text << R"(],"Prepaid":)" << prepaid_.at(team) << "}";
  }
  text << "]}";
  return text.str();
}

} // namespace sedgechute::soak
