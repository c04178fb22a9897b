#include "load/impl/plan.hpp"

#include "standin/standin.hpp"

#include <Poco/JSON/Parser.h>

#include <cmath>
#include <fstream>

namespace sedgechute::load {

namespace {

const std::string completions = "/v1/chat/completions";

load_call read_call(const Poco::JSON::Object& line) {
  load_call call;
  call.team = line.getValue<std::string>("team");
  call.bearer = line.optValue<std::string>("key", "");
  call.send_class = line.optValue<std::string>("class", "");
  call.class_name = call.send_class.empty() ? "default" : call.send_class;
  call.method = line.optValue<std::string>("method", "POST");
  call.path = line.optValue<std::string>("path", completions);
  call.key = line.optValue<std::string>("idempotency_key", "");
  call.non_idempotent = !line.optValue("idempotent", true);
  call.due = time_ms{line.optValue<std::int64_t>("at_ms", 0)};
  call.chat = call.path == completions;
  if (const auto body = line.getObject("body"); !body.isNull()) {
    call.body = standin::to_text(*body);
    if (call.chat)
      call.fingerprint = standin::read_prompt(*body).fingerprint;
  }
  return call;
}

} // namespace

load_call make_chat_call(const call_shape& shape, std::uint64_t number) {
  std::string text = "request " + std::to_string(number) + " ";
  while (static_cast<std::int64_t>(text.size()) < shape.prompt_bytes)
    text += "the lens of the left eye is due ";
  load_call call;
  call.team = shape.team;
  call.class_name = shape.class_name.empty() ? "default" : shape.class_name;
  call.send_class = shape.class_name;
  call.bearer = shape.bearer;
  call.fingerprint = standin::hex16(stable_hash("user\n" + text + "\n"));
  call.body = R"({"model":")" + shape.model + R"(","messages":[{"role":"user","content":")" + text +
              R"("}],"max_tokens":)" + std::to_string(shape.max_tokens) +
              ",\"stream\":" + (shape.stream ? "true}" : "false}");
  if (shape.keyed)
    call.key = "load-" + standin::hex16(stable_hash(text));
  return call;
}

std::vector<load_call> plan_rate(const call_shape& shape, double per_second, double seconds,
                                 std::uint64_t seed) {
  std::vector<load_call> calls;
  random_source random{seed};
  constexpr double ms_a_second = 1000.0;
  double at_s = 0;
  for (std::uint64_t number = 0;; ++number) {
    at_s += -std::log(1.0 - random.unit()) / per_second;
    if (at_s >= seconds)
      return calls;
    calls.push_back(make_chat_call(shape, seed + number));
    calls.back().due = time_ms{static_cast<std::int64_t>(at_s * ms_a_second)};
  }
}

std::vector<load_call> read_script(const std::string& path) {
  std::ifstream file{path};
  if (!file)
    throw error{error_kind::invalid_settings, path, "cannot be read"};
  std::vector<load_call> calls;
  std::string text;
  for (int number = 1; std::getline(file, text); ++number) {
    if (text.empty())
      continue;
    try {
      Poco::JSON::Parser parser;
      calls.push_back(read_call(*parser.parse(text).extract<Poco::JSON::Object::Ptr>()));
    } catch (const Poco::Exception& failure) {
      throw error{error_kind::invalid_settings, path + ":" + std::to_string(number),
                  failure.displayText()};
    }
  }
  return calls;
}

} // namespace sedgechute::load
