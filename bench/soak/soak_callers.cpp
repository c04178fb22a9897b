#include "soak_callers.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <sstream>

namespace sedgechute::soak {

namespace {

constexpr time_ms patience{2500};
constexpr time_ms beyond_patience{
    1000}; // a caller waits longer than it says, and sees late answers
constexpr time_ms early_leave{50};
constexpr time_ms connect_timeout{300};
constexpr std::uint64_t kinds = 4;
constexpr std::uint64_t versions_back = 4; // how old a mark of a version may be

void sleep_ms(std::uint64_t span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

std::string body_text(const std::string& body, bool chunked) {
  std::ostringstream text;
  if (!chunked) {
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return text.str();
  }
  const std::size_t half = body.size() / 2;
  text << "Transfer-Encoding: chunked\r\n\r\n"
       << std::hex << half << "\r\n"
       << body.substr(0, half) << "\r\n"
       << body.size() - half << "\r\n"
       << body.substr(half) << "\r\n0\r\n\r\n";
  return text.str();
}

std::string smuggled_field(random_source& random) {
  static constexpr std::array names{"Retention", "Pin-Ms", "Kv-Backup",
                                    "Kv-From",   "Tenant", "Expected-Instance"};
  return std::string{names.at(random.below(names.size()))} + ": " + std::string{smuggled_value} +
         "\r\n";
}

std::string request_text(const sent_request& of, const std::string& key, random_source& random) {
  const call_traits& traits = traits_of(of.kind);
  std::ostringstream text;
  text << (of.body.empty() ? "GET " : "POST ") << of.target << " HTTP/1.1\r\nHost: f\r\n"
       << "Attempt-Id: " << of.attempt << "\r\nAuthorization: Token " << key
       << "\r\nDeadline-Ms: " << of.patience.count() << "\r\n";
  if (traits.generated)
    text << "Model: m\r\nToken-Usage: " << prompt_tokens << "," << most_output_tokens
         << "\r\nPrefix-Hash: p" << random.below(5) << ":200,"
         << (of.by_part ? "bad" + std::to_string(of.poison) + ":50," : "") << "own:100\r\n";
  if (!of.origin.empty())
    text << "Last-Event-Id: " << of.last_event << "\r\nResumes: " << of.origin << "\r\n";
  if (random.below(4) == 0)
    text << smuggled_field(random);
  text << (of.body.empty() ? "\r\n" : body_text(of.body, random.below(4) == 0));
  return text.str();
}

/// Judges an answer to an attempt: whether it is whole, and its own.
void judge(const std::optional<received_answer>& answer, const sent_request& request,
           outcome& got) {
  if (!answer)
    return;
  got.status = answer->status;
  got.mark = answer->mark;
  got.whole = answer->whole;
  got.quarantined = answer->body.find("quarantined") != std::string::npos;
  if (!traits_of(request.kind).generated || answer->status != 200) {
    got.right = answer->body == request.attempt;
    return;
  }
  const received_events events = read_events(answer->body, request.attempt, request.last_event + 1);
  got.events = events.count;
  got.builds = events.builds;
  got.right =
      events.in_order && !events.cut && request.last_event + events.count == events_of_a_stream;
  if (!events.in_order)
    got.whole = true; // out of order is wrong however it ends
}

} // namespace

soak_callers::soak_callers(const soak_shape& shape, const soak_hosts& hosts,
                           const soak_endpoints& endpoints, const soak_operator& versions,
                           recorder& seen, const clock& time, std::uint64_t seed)
    : shape_{shape}, hosts_{hosts},
      endpoints_{endpoints}, versions_{versions}, seen_{seen}, time_{time}, seed_{seed} {
  for (int i = 0; i < shape_.callers; ++i)
    threads_.emplace_back(
        [this, seed, i] { call_forever(mix_hash(seed, static_cast<std::uint64_t>(i))); });
}

soak_callers::~soak_callers() {
  stop();
}

void soak_callers::stop() {
  stopping_ = true;
  for (std::thread& one : threads_)
    one.join();
  threads_.clear();
}

void soak_callers::call_forever(std::uint64_t seed) {
  caller by{seed};
  while (!stopping_) {
    call(by, std::nullopt);
    sleep_ms(10 + by.random.below(60));
  }
}

void soak_callers::send_poison(std::uint64_t number, time_ms until) {
  threads_.emplace_back([this, number, until] {
    caller by{mix_hash(seed_, number)};
    const call_kind kind = by.random.below(2) == 0 ? call_kind::unsafe : call_kind::safe;
    call_with_poison(by, {number, kind, false}, until);
  });
}

void soak_callers::send_poison_part(std::uint64_t number, time_ms until) {
  threads_.emplace_back([this, number, until] {
    caller by{mix_hash(seed_, number)};
    call_with_poison(by, {number, call_kind::stream, true}, until);
  });
}

// Each attempt is a new one for the host, with the same path and team, and the same body unless a
// part of the prompt is the cause.
void soak_callers::call_with_poison(caller& by, const poison_content& content, time_ms until) {
  while (!stopping_ && time_.now() < until) {
    call_plan plan = this->plan(by, content.kind);
    poison(plan, content, by);
    call(by, std::move(plan));
    sleep_ms(200 + by.random.below(600));
  }
}

void soak_callers::poison(call_plan& plan, const poison_content& content, caller& by) {
  constexpr std::uint64_t team = 1;
  plan.request.poison = content.number;
  plan.request.team = team_name(team);
  plan.request.by_part = content.by_part;
  plan.request.body = std::string{poison_body} + std::to_string(content.number);
  if (content.by_part)
    plan.request.body += " of " + plan.request.attempt;
  plan.text = request_text(plan.request, lasting_key(team), by.random);
}

double soak_callers::served_now(int tries) {
  caller by{mix_hash(seed_, attempts_)};
  int served = 0;
  const int all = tries * static_cast<int>(kinds);
  for (int i = 0; i < all; ++i) {
    const int status = call(by, static_cast<call_kind>(i % static_cast<int>(kinds)));
    served += status >= 200 && status < 300 ? 1 : 0;
  }
  return static_cast<double>(served) / all;
}

// Most requests are allowed by all versions; the others tell which one is in force.
soak_callers::call_plan soak_callers::plan(caller& by, std::optional<call_kind> ordinary) {
  call_plan plan;
  sent_request& request = plan.request;
  const bool spends = spending_ && !ordinary;
  // The first team's budget is used up in the end, which is no failure to serve.
  const std::uint64_t any_team = ordinary ? 1 + by.random.below(teams - 1) : by.random.below(teams);
  const std::uint64_t team = spends ? 0 : any_team;
  const std::uint64_t newest = versions_.newest(); // at least 1
  // The next version may be asked for before it is there.
  const version_mark mark{newest + 1 - by.random.below(std::min(newest + 1, versions_back + 1))};
  request.attempt = "a" + std::to_string(++attempts_);
  request.kind = ordinary.value_or(static_cast<call_kind>(by.random.below(kinds)));
  if (spends)
    request.kind = call_kind::stream;
  request.target = std::string{traits_of(request.kind).prefix} + "x";
  request.patience = patience;
  request.team = team_name(team);
  std::string key = lasting_key(team);
  if (request.kind != call_kind::safe)
    request.body = "body of " + request.attempt;
  if (!ordinary && request.kind == call_kind::safe && by.random.below(2) == 0) {
    request.target = mark.prefix() + "x";
    request.allowed = mark.with_route();
  } else if (const std::uint64_t drawn = by.random.below(16); !ordinary && drawn < 3) {
    const bool held = drawn > 0; // else nobody ever has the key
    request.team = held ? team_name(0) : "";
    key = held ? mark.key() : "stranger";
    request.allowed =
        held ? mark.with_key() : version_span{version_span::never, version_span::never};
  }
  plan.leaves = !ordinary && by.random.below(20) == 0;
  plan.text = request_text(request, key, by.random);
  return plan;
}

// Most callers go on using the connection that they have until its other end closes it.
bool soak_callers::connect(caller& by, std::size_t host, outcome& got) {
  by.kept.resize(hosts_.count());
  kept_connection& kept = by.kept[host];
  if (kept.link && !kept.link->quiet()) {
    got.unasked = kept.link->fill(time_.now()) == io_status::ok;
    kept.link.reset();
  }
  if (by.random.below(5) == 0)
    kept.link.reset();
  if (!kept.link)
    kept = {nullptr, hosts_.life(host), false};
  if (!kept.link)
    kept.link = connect_to(hosts_.address(host), connect_timeout, time_).link;
  got.kept = kept.used;
  got.connected = kept.link != nullptr;
  return got.connected;
}

void soak_callers::note_delivered(const sent_request& of, const received_answer& answer,
                                  int& counted) {
  const int count = read_events(answer.body, of.attempt, of.last_event + 1).count;
  if (count > counted)
    seen_.note(budget_step{of.team, budget_step_kind::output,
                           static_cast<std::uint64_t>(count - counted) * event_tokens, of.attempt});
  counted = std::max(counted, count);
}

std::optional<received_answer> soak_callers::exchange(connection& link, const call_plan& plan) {
  const time_ms until = time_.now() + (plan.leaves ? early_leave : patience + beyond_patience);
  io_status status = link.write_all(plan.text, until);
  std::optional<received_answer> answer;
  int counted = 0;
  // A host that refuses may close before it has read all; its answer is still to be read.
  while ((status == io_status::ok || status == io_status::reset) && !(answer && answer->whole)) {
    status = link.fill(until);
    answer = read_answer(link.buffered());
    if (answer && traits_of(plan.request.kind).generated)
      note_delivered(plan.request, *answer, counted);
    if (status != io_status::ok)
      break;
  }
  if (answer && answer->whole)
    link.consume(answer->length);
  return answer;
}

int soak_callers::call(caller& by, std::optional<call_kind> ordinary) {
  return call(by, plan(by, ordinary));
}

int soak_callers::call(caller& by, call_plan plan) {
  sent_request& request = plan.request;
  request.host = by.random.below(hosts_.count());
  outcome got;
  got.attempt = request.attempt;
  std::optional<received_answer> answer;
  const bool connected = connect(by, request.host, got);
  kept_connection& kept = by.kept[request.host];
  request.life = kept.life;
  request.at = time_.now();
  seen_.note(request);
  if (connected)
    answer = exchange(*kept.link, plan);
  judge(answer, request, got);
  got.left = plan.leaves && !got.whole;
  got.same_life = kept.life == hosts_.life(request.host);
  kept.used = true;
  if (!answer || !answer->whole || !got.right || answer->closes)
    kept.link.reset();
  got.at = time_.now();
  seen_.note(got);
  if (auto next = resume_plan(by, request, got))
    return call(by, std::move(*next));
  return got.whole ? got.status : 0;
}

std::optional<soak_callers::call_plan>
soak_callers::resume_plan(caller& by, const sent_request& broken, const outcome& got) {
  constexpr time_ms resume_patience{1500};
  const bool has_begun = broken.last_event + got.events > 0;
  if (!resuming_ || stopping_ || broken.kind != call_kind::stream || got.left || got.whole ||
      got.events == 0 || !has_begun || got.builds.size() != 1)
    return std::nullopt;
  call_plan plan;
  sent_request& request = plan.request;
  request = broken;
  request.attempt = "a" + std::to_string(++attempts_);
  request.origin = broken.origin.empty() ? broken.attempt : broken.origin;
  request.last_event = broken.last_event + got.events;
  request.build_serves = endpoints_.serving(*got.builds.begin()) >= 2;
  request.patience = resume_patience;
  request.allowed = {}; // the key is the lasting one, also where the broken stream had another
  constexpr std::size_t prefix = 1; // team names are a letter and a number
  plan.text =
      request_text(request, lasting_key(std::stoull(broken.team.substr(prefix))), by.random);
  return plan;
}

} // namespace sedgechute::soak
