#include "soak_endpoints.hpp"

#include "machine_paths.hpp"

#include "received_answer.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace sedgechute::soak {

namespace {

using then = scripted_reply::then;

constexpr int first_events = 3;                  // sent before the pause
constexpr std::uint64_t longest_pause_ms = 1500; // in a stream
// With planned work every answer ends whole: a pause and a silence fit into the route's time-out.
constexpr std::uint64_t longest_planned_pause_ms = 500;
constexpr std::uint64_t longest_hold_ms = 400; // of a request's place at an endpoint
constexpr time_ms first_start{1'790'000'000'000};
constexpr std::uint64_t longest_restart_ms = 300;
constexpr std::int64_t lease_ms = 3500; // the list drops a silent endpoint after so long
constexpr std::uint64_t shortest_down_ms = 500;
constexpr std::uint64_t longest_down_ms = 4000;
constexpr std::uint64_t longest_wavering_ms = 3000;
// An endpoint serves for so long after it is listed as leaving, and a little longer.
constexpr std::int64_t drain_ms = 2000;
constexpr std::uint64_t longest_rest_ms = 1500;
constexpr std::int64_t reuse_after_ms = 2000;
const std::array<std::string, 2> build_names{"v1", "v2"};

/// What an endpoint says of itself when it is asked.
std::string self_report(time_ms started) {
  const std::string body = R"({"Phase":"unified","born":)" + std::to_string(started.count()) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Refusals echo the id as answers do: without it they could belong to an earlier request.
std::string refusal(int status, bool says_so, const std::string& attempt) {
  return "HTTP/1.1 " + std::to_string(status) + " No\r\n" + (says_so ? "Not-Executed: 1\r\n" : "") +
         (attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n") + "Content-Length: 0\r\n\r\n";
}

std::string event_chunks(const std::string& attempt, int from, int to, const std::string& build) {
  std::ostringstream text;
  for (int id = from; id <= to; ++id) {
    const std::string event = event_text(attempt, id, build);
    text << std::hex << event.size() << "\r\n" << event << "\r\n";
  }
  return text.str();
}

/// \returns the answer with its own mark
std::string marked(std::string answer, const std::string& mark) {
  static const std::string usual = "Response-Signature: mark";
  for (std::size_t at = answer.find(usual); at != std::string::npos;
       at = answer.find(usual, at + 1))
    answer.replace(at, usual.size(), "Response-Signature: " + mark);
  return answer;
}

/// \returns the answer with a field in its header, if it has one
std::string with_field(std::string answer, const std::string& name, const std::string& value) {
  const std::size_t end = answer.find("\r\n");
  if (end != std::string::npos)
    answer.insert(end + 2, name + ": " + value + "\r\n");
  return answer;
}

std::string with_limit(std::string answer, const std::string& limit) {
  return with_field(std::move(answer), "Server-Limit", limit);
}

std::string seconds_text(time_ms span) {
  constexpr double ms_per_second = 1000;
  return std::to_string(static_cast<double>(span.count()) / ms_per_second);
}

std::string field_of(const request_head& head, std::string_view name) {
  const std::string* found = head.fields.find(name);
  return found == nullptr ? "" : *found;
}

std::string foreign_field_of(const request_head& head) {
  if (head.fields.has("Authorization"))
    return "Authorization";
  const auto& all = head.fields.all();
  const auto smuggled = std::find_if(
      all.begin(), all.end(), [](const header_field& one) { return one.value == smuggled_value; });
  return smuggled == all.end() ? "" : smuggled->name;
}

arrival seen_of(const scripted_endpoint::seen_request& request) {
  arrival seen;
  seen.attempt = field_of(request.head, "Attempt-Id");
  seen.target = request.head.target;
  seen.body = request.body;
  seen.team = field_of(request.head, "Tenant");
  seen.foreign_field = foreign_field_of(request.head);
  if (const auto left = request.head.fields.number("Deadline-Ms"))
    seen.deadline = time_ms{static_cast<std::int64_t>(*left)};
  return seen;
}

} // namespace

soak_endpoints::soak_endpoints(const soak_shape& shape, standin::topic_store& store, recorder& seen,
                               agenda& later, const clock& time, std::uint64_t seed)
    : shape_{shape}, store_{store}, seen_{seen}, later_{later}, time_{time}, random_{seed} {
  for (int i = 0; i < shape_.endpoints; ++i) {
    endpoint& one = *all_.emplace_back(std::make_unique<endpoint>());
    one.data_centre = i % shape_.data_centres;
    become(one, i % 2 == 0 ? "lm" : "app");
  }
}

soak_endpoints::endpoint& soak_endpoints::any() {
  return *all_[random_.below(all_.size())];
}

void soak_endpoints::become(endpoint& of, const std::string& service) {
  of.id = "e" + std::to_string(named_++);
  of.limit = 0; // of the endpoint that was here before
  of.names_nonsense = false;
  of.refuses_until = 0;
  of.says_leaving = false;
  of.service = service;
  of.written.clear();
  of.build = mixed_ ? build_names.at(random_.below(build_names.size())) : build_names.front();
  start(of);
  list(of, false);
  tell(of, "begins as " + service + " at " + of.link->address());
}

void soak_endpoints::tell(const endpoint& of, const std::string& what) {
  seen_.note(disruption{time_.now(), of.id + " " + what});
}

// No two lives of an endpoint name the same start.
void soak_endpoints::start(endpoint& of) {
  const std::int64_t apart = random_.below(2) == 0 ? 1000 : -1000;
  of.started = first_start + time_ms{apart * of.lives++};
  of.sequence = 0;
  of.program = std::make_unique<scripted_endpoint>(
      [this, &of](const auto& request) { return take(of, request); });
  if (!of.link)
    of.link = std::make_unique<fault_proxy>(of.program->address(), endpoints_ip);
  of.link->lead_to(of.program->address());
  of.link->refuse(false);
}

bool soak_endpoints::is_spare(const endpoint& of) const {
  return std::any_of(all_.begin(), all_.end(), [&](const auto& one) {
    return one.get() != &of && one->program && !one->leaving && one->service == of.service;
  });
}

std::string soak_endpoints::service_for_new() {
  const auto count = [&](const char* service) {
    return std::count_if(all_.begin(), all_.end(), [&](const auto& one) {
      return one->program && !one->leaving && one->service == service;
    });
  };
  if (count("lm") < 2)
    return "lm";
  if (count("app") < 2)
    return "app";
  return random_.below(2) == 0 ? "lm" : "app";
}

void soak_endpoints::harm(endpoint& of) {
  constexpr std::int64_t shows_ms = 3000; // as long as a request can take
  const time_ms now = time_.now();
  of.harmed_until = now.count() + shows_ms;
  seen_.note(endpoint_harm{of.id, now});
}

// The program sends what it has begun before it ends.
void soak_endpoints::end(endpoint& of) {
  ending_.emplace_back([program = std::move(of.program)]() mutable { program.reset(); });
}

void soak_endpoints::crash(endpoint& of) {
  harm(of);
  of.leaving = true; // also keeps planned work from it
  of.link->refuse(true);
  of.link->reset_connections();
  end(of);
  const time_ms back =
      time_.now() +
      time_ms{static_cast<std::int64_t>(shortest_down_ms + random_.below(longest_down_ms))};
  later_.add(time_.now() + time_ms{lease_ms}, [this, &of, id = of.id] {
    if (of.id == id)
      unlist(of);
  });
  later_.add(back, [this, &of] {
    if (of.program)
      return;
    unlist(of);
    of.leaving = false;
    become(of, service_for_new());
  });
}

void soak_endpoints::replace_crashed() {
  for (auto& one : all_)
    if (one->program && one->program->crashed()) {
      tell(*one, "was crashed by a request");
      crash(*one);
    }
}

void soak_endpoints::crash_many() {
  const std::uint64_t count = 2 + random_.below(std::max<std::uint64_t>(all_.size() / 2, 1));
  const std::uint64_t spread = random_.below(2) == 0 ? 1 : 1500; // a rack, or one after the other
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto after = static_cast<std::int64_t>(random_.below(spread));
    later_.add(time_.now() + time_ms{after}, [this] {
      endpoint& of = any();
      if (!of.program || of.leaving || !is_spare(of))
        return;
      tell(of, "crashes with others");
      crash(of);
    });
  }
}

// What ran is cut, and the list may show the new life at once, or only after the next change.
void soak_endpoints::restart_one() {
  endpoint& of = any();
  if (!of.program || of.leaving)
    return;
  harm(of);
  tell(of, "crashes");
  of.link->reset_connections();
  end(of);
  const std::uint64_t down = random_.below(2) == 0 ? random_.below(longest_restart_ms) : 0;
  const bool listed = random_.below(3) != 0;
  later_.add(time_.now() + time_ms{static_cast<std::int64_t>(down)}, [this, &of, listed] {
    start(of);
    tell(of, listed ? "is back" : "is back unlisted");
    if (listed && !of.leaving)
      list(of, false);
  });
}

void soak_endpoints::retire_one() {
  endpoint& of = any();
  if (!of.program || of.leaving || !is_spare(of))
    return;
  of.leaving = true;
  tell(of, "retires");
  if (random_.below(3) != 0)
    list(of, true);
  else
    unlist(of); // it says nothing, and serves for as long
  const time_ms gone =
      time_.now() +
      time_ms{drain_ms + static_cast<std::int64_t>(500 + random_.below(longest_rest_ms))};
  later_.add(gone, [this, &of] {
    unlist(of);
    end(of);
  });
  later_.add(gone + time_ms{reuse_after_ms}, [this, &of] {
    of.leaving = false;
    become(of, service_for_new());
  });
}

void soak_endpoints::waver_one() {
  endpoint& of = any();
  if (!of.program || of.leaving || !is_spare(of))
    return;
  of.leaving = true;
  tell(of, "wavers");
  list(of, true);
  const auto span = static_cast<std::int64_t>(random_.below(longest_wavering_ms));
  later_.add(time_.now() + time_ms{span}, [this, &of] {
    of.leaving = false;
    if (of.program)
      list(of, false);
  });
}

void soak_endpoints::misbehave_one() {
  endpoint& of = any();
  harm(of);
  of.does = static_cast<mood>(random_.below(moods));
  tell(of, "does " + std::to_string(static_cast<int>(of.does.load())));
}

// With a rest after each silence, in which requests are answered.
void soak_endpoints::fall_silent() {
  const bool planned = shape_.kind == soak_kind::planned_work;
  constexpr std::int64_t shortest_ms = 1000;
  const std::uint64_t longer_ms = planned ? 100 : 1000;
  const std::int64_t shortest_rest_ms = planned ? 2000 : 500; // planned: one for each request
  constexpr std::uint64_t longer_rest_ms = 1000;
  constexpr std::uint64_t most_of_ten = 6;
  if (time_.now() < next_silence_)
    return;
  const endpoint& first = any();
  const std::uint64_t how = random_.below(3);
  const time_ms end =
      time_.now() + time_ms{shortest_ms + static_cast<std::int64_t>(random_.below(longer_ms))};
  for (auto& one : all_) {
    const bool chosen = how == 0 || (how == 1 && random_.below(10) < most_of_ten);
    if (one.get() != &first && (!chosen || one->service != first.service))
      continue;
    tell(*one, "is silent for " + std::to_string((end - time_.now()).count()) + " ms");
    one->link->hold_answers(true);
    later_.add(end, [this, &of = *one] {
      tell(of, "goes on");
      of.link->hold_answers(false);
    });
  }
  next_silence_ =
      end + time_ms{shortest_rest_ms + static_cast<std::int64_t>(random_.below(longer_rest_ms))};
}

void soak_endpoints::limit_one() {
  constexpr std::int64_t shortest_ms = 5000;
  constexpr std::uint64_t longer_ms = 5000;
  endpoint& of = any();
  if (!of.program || of.leaving || of.limit > 0 || of.names_nonsense)
    return;
  if (random_.below(4) == 0) {
    of.names_nonsense = true;
    tell(of, "names what is no limit");
  } else {
    of.limit_from = time_.now().count();
    of.limit = 0.5 + 3 * random_.unit();
    tell(of, "names a limit of " + std::to_string(of.limit));
  }
  const auto span = shortest_ms + static_cast<std::int64_t>(random_.below(longer_ms));
  later_.add(time_.now() + time_ms{span}, [this, &of] {
    of.limit = 0;
    of.names_nonsense = false;
    tell(of, "names no limit");
  });
}

void soak_endpoints::ask_hosts() {
  constexpr std::int64_t shortest_ms = 3000;
  constexpr std::uint64_t longer_ms = 4000;
  constexpr std::int64_t shortest_pause_ms = 1000;
  constexpr std::uint64_t longer_pause_ms = 2000;
  endpoint& of = any();
  const std::int64_t now = time_.now().count();
  if (!of.program || of.leaving || of.says_leaving || of.refuses_until > now)
    return;
  const auto span = shortest_ms + static_cast<std::int64_t>(random_.below(longer_ms));
  if (random_.below(3) > 0 || !is_spare(of)) {
    of.pause_ms = shortest_pause_ms + static_cast<std::int64_t>(random_.below(longer_pause_ms));
    of.refuses_until = now + span;
    tell(of, "refuses all and asks for pauses of " + std::to_string(of.pause_ms) + " ms");
    return;
  }
  of.says_leaving = true;
  tell(of, "says in its answers that it leaves");
  later_.add(time_.now() + time_ms{span}, [this, &of, id = of.id] {
    if (of.id != id || !of.program || of.leaving)
      return;
    tell(of, "ends");
    crash(of);
  });
}

void soak_endpoints::make_brittle() {
  constexpr std::int64_t shortest_ms = 6000;
  constexpr std::uint64_t longer_ms = 4000;
  constexpr std::uint64_t most_borne = 3;
  if (std::exchange(brittle_ends_, true))
    return;
  {
    const std::scoped_lock lock{brittle_mutex_};
    brittle_service_ = random_.below(2) == 0 ? "lm" : "app";
    brittle_from_ = time_.now().count();
    refusals_borne_ = 1 + random_.below(most_borne);
    brittle_endpoints_ =
        static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [&](const auto& one) {
          return one->service == brittle_service_;
        }));
    seen_.note(disruption{time_.now(), "the endpoints of " + brittle_service_ + " bear " +
                                           std::to_string(refusals_borne_) + " refusals a second"});
  }
  for (auto& one : all_) // the list names fewer slots from now on
    if (one->program && !one->leaving)
      list(*one, false);
  const auto span = shortest_ms + static_cast<std::int64_t>(random_.below(longer_ms));
  later_.add(time_.now() + time_ms{span}, [this] {
    brittle_ends_ = false;
    const std::scoped_lock lock{brittle_mutex_};
    brittle_service_.clear();
    seen_.note(disruption{time_.now(), "no endpoint is brittle"});
  });
}

std::optional<std::size_t> soak_endpoints::refusals_borne_by(const endpoint& of) {
  const std::scoped_lock lock{brittle_mutex_};
  return of.service == brittle_service_ ? std::optional{refusals_borne_} : std::nullopt;
}

// From `shrinks_after_ms` on no request may wait, and too many refusals end the endpoint.
soak_endpoints::room_check soak_endpoints::check_room(endpoint& on, const arrival& seen) {
  constexpr std::int64_t shrinks_after_ms = 3000;
  constexpr std::int64_t second_ms = 1000;
  constexpr std::size_t waiting = 4;
  const std::int64_t now = seen.at.count();
  const std::scoped_lock lock{brittle_mutex_};
  const bool brittle = brittle_service_ == on.service;
  const bool shrunk = brittle && now - brittle_from_ >= shrinks_after_ms;
  std::erase_if(on.busy_until, [&](std::int64_t until) { return until <= now; });
  if (!brittle || on.busy_until.size() < brittle_slots + (shrunk ? 0 : waiting)) {
    const auto held_ms = static_cast<std::int64_t>(stable_hash(seen.attempt) % longest_hold_ms);
    on.busy_until.push_back(now + held_ms);
    return room_check::taken;
  }
  std::erase_if(on.refused, [&](const arrival& one) { return now - one.at.count() >= second_ms; });
  on.refused.push_back(seen);
  if (!shrunk || on.refused.size() <= refusals_borne_)
    return room_check::refused;
  brittle_fall fall{on.id, time_ms{brittle_from_}, brittle_endpoints_, {}};
  for (const arrival& one : std::exchange(on.refused, {}))
    fall.refused.push_back(one.attempt);
  seen_.note(std::move(fall));
  return room_check::fell;
}

void soak_endpoints::mix_builds() {
  mixed_ = true;
  endpoint& of = any();
  if (!of.program || of.leaving || !is_spare(of))
    return;
  tell(of, "ends, and may come back as another build");
  crash(of);
}

void soak_endpoints::count_builds() {
  for (std::size_t i = 0; i < build_names.size(); ++i)
    serving_.at(i) = static_cast<int>(std::count_if(all_.begin(), all_.end(), [&](const auto& one) {
      return one->program && !one->leaving && one->service == "lm" && one->does == mood::good &&
             !one->link->harmed() && one->build == build_names.at(i);
    }));
}

int soak_endpoints::serving(const std::string& build) const {
  const auto at = std::find(build_names.begin(), build_names.end(), build);
  if (at == build_names.end())
    return 0;
  return serving_.at(static_cast<std::size_t>(at - build_names.begin()));
}

void soak_endpoints::harm_link() {
  static constexpr std::array faults{link_fault::none, link_fault::delay, link_fault::silent,
                                     link_fault::no_answers, link_fault::no_requests};
  endpoint& of = any();
  harm(of);
  const link_fault fault = faults.at(random_.below(faults.size()));
  tell(of, "has link fault " + std::to_string(static_cast<int>(fault)));
  of.link->set(fault);
}

void soak_endpoints::reset_link() {
  endpoint& of = any();
  harm(of);
  tell(of, "loses its connections");
  if (random_.below(2) == 0)
    of.link->reset_connections();
  else
    of.link->silence_connections();
}

void soak_endpoints::reset_connections_from(const std::string& ip) {
  for (auto& one : all_)
    one->link->reset_connections_from(ip);
}

void soak_endpoints::silence_connections_from(const std::string& ip) {
  for (auto& one : all_)
    one->link->silence_connections_from(ip);
}

void soak_endpoints::heal() {
  {
    const std::scoped_lock lock{brittle_mutex_};
    brittle_service_.clear();
  }
  for (auto& one : all_) {
    harm(*one); // what a link has held up comes now
    one->does = mood::good;
    one->limit = 0;
    one->names_nonsense = false;
    one->link->set(link_fault::none);
    one->link->hold_answers(false);
    one->leaving = false;
    if (one->program && one->program->crashed())
      end(*one);
    if (!one->program) {
      unlist(*one);
      become(*one, service_for_new());
    }
    list(*one, false);
  }
}

scripted_reply soak_endpoints::take(endpoint& on, const scripted_endpoint::seen_request& request) {
  if (request.head.target == "/report")
    return {self_report(on.started), then::close, ""};
  arrival seen = seen_of(request);
  seen.at = time_.now();
  seen.endpoint = on.id;
  seen.service = on.service;
  seen.sound = on.does == mood::good && !on.link->harmed() && seen.at.count() > on.harmed_until;
  if (const std::int64_t left = on.left_list; left != stays)
    seen.left_list = time_ms{left};
  if (const double limit = on.limit; limit > 0) {
    seen.limit = limit;
    seen.limit_from = time_ms{on.limit_from};
  }
  seen.mark = "m" + std::to_string(++marks_);
  scripted_reply answer = reply(on, request, seen);
  if (answer.after == then::crash)
    seen_.note(endpoint_harm{on.id, seen.at});
  answer.bytes = marked(std::move(answer.bytes), seen.mark);
  if (seen.limit > 0)
    answer.bytes = with_limit(std::move(answer.bytes), std::to_string(seen.limit));
  else if (on.names_nonsense)
    answer.bytes = with_limit(std::move(answer.bytes), "-3");
  if (on.says_leaving && !answer.bytes.empty()) {
    seen.said_leaving = true;
    answer.bytes = with_field(std::move(answer.bytes), "Server-Leaving", "1");
  }
  if (const auto borne = refusals_borne_by(on))
    answer.bytes = with_field(std::move(answer.bytes), "Server-Brittle", std::to_string(*borne));
  // Before the first byte of the answer: whoever sees that it ran finds it noted.
  if (seen.ran && request.head.fields.has("Token-Usage"))
    seen_.note(budget_step{seen.team, budget_step_kind::prompt, prompt_tokens, seen.attempt});
  seen_.note(std::move(seen));
  return answer;
}

scripted_reply soak_endpoints::reply(endpoint& on, const scripted_endpoint::seen_request& request,
                                     arrival& seen) {
  const std::string& attempt = seen.attempt;
  const mood does = on.does;
  const std::string expected = field_of(request.head, "Expected-Instance");
  seen.status = 0;
  if (!expected.empty() && expected != on.id)
    return {refusal(421, false, attempt), then::keep, ""};
  if (seen.at.count() < on.refuses_until) {
    seen.pause = time_ms{on.pause_ms.load()};
    std::string refused = refusal(503, true, attempt);
    return {with_field(std::move(refused), "Retry-After", seconds_text(seen.pause)), then::keep,
            ""};
  }
  if (does == mood::full)
    return {refusal(503, true, attempt), then::keep, ""};
  switch (check_room(on, seen)) {
  case room_check::refused:
    return {refusal(503, true, attempt), then::keep, ""};
  case room_check::fell:
    return {"", then::crash, ""};
  case room_check::taken:
    break;
  }
  seen.ran = true;
  if (request.body.starts_with(poison_body))
    return {"", then::crash, ""};
  if (does == mood::resets)
    return {"", then::reset, ""};
  if (does == mood::hangs)
    return {"", then::hang, ""};
  if (does == mood::garbles)
    return {"HTTP/1.1 200 garbage without an end", then::close, ""};
  seen.status = does == mood::fails ? 500 : 200;
  if (does == mood::fails)
    return {whole_answer(attempt, "failed", seen.status), then::keep, ""};
  if (!request.head.fields.has("Token-Usage")) {
    const std::string answer = whole_answer(attempt, attempt);
    return {answer + (does == mood::overflows ? answer : ""), then::keep, ""};
  }
  const int begin = static_cast<int>(request.head.fields.number("Last-Event-Id").value_or(0)) + 1;
  const std::uint64_t longest =
      shape_.kind == soak_kind::planned_work ? longest_planned_pause_ms : longest_pause_ms;
  const int pause = std::min(begin + first_events, events_of_a_stream);
  const std::string first = stream_head(attempt) + event_chunks(attempt, begin, pause, on.build);
  if (does == mood::overflows)
    return {first + "20\r\nid: 9", then::reset, ""};
  return {first, then::keep,
          event_chunks(attempt, pause + 1, events_of_a_stream, on.build) + "0\r\n\r\n",
          time_ms{static_cast<std::int64_t>(stable_hash(attempt) % longest)}};
}

} // namespace sedgechute::soak
