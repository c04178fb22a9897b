#include "load/impl/plan.hpp"

#include "standin/standin.hpp"

#include <Poco/JSON/Parser.h>

#include <cmath>
#include <fstream>
#include <sstream>

namespace sedgechute::load {

namespace {

const std::string completions = "/v1/chat/completions";

std::string chat_body(const std::string& model, const std::string& prompt, std::int64_t max_tokens,
                      bool stream) {
  std::string body = R"({"model":)";
  append_json_string(body, model);
  body += R"(,"messages":[{"role":"user","content":)";
  append_json_string(body, prompt);
  body += R"(}],"max_tokens":)" + std::to_string(max_tokens);
  return body + (stream ? ",\"stream\":true}" : ",\"stream\":false}");
}

std::string fingerprint_of(const std::string& prompt) {
  return standin::hex16(stable_hash("user\n" + prompt + "\n"));
}

void read_chat(const Poco::JSON::Object& line, const std::string& salt, load_call& call) {
  const std::string prompt = salt + line.getValue<std::string>("prompt");
  call.fingerprint = fingerprint_of(prompt);
  call.body = chat_body(line.getValue<std::string>("model"), prompt,
                        line.getValue<std::int64_t>("max_tokens"), line.optValue("stream", false));
}

load_call read_call(const Poco::JSON::Object& line, const std::string& salt,
                    const bearer_keys& keys) {
  load_call call;
  call.team = line.getValue<std::string>("team");
  if (const auto found = keys.find(call.team); found != keys.end())
    call.bearer = found->second;
  call.send_class = line.optValue<std::string>("class", "");
  call.class_name = call.send_class.empty() ? "default" : call.send_class;
  call.method = line.optValue<std::string>("method", "POST");
  call.path = line.optValue<std::string>("path", completions);
  call.chat = call.path == completions;
  call.non_idempotent = line.optValue("non_idempotent", false);
  if (line.has("idempotency_key"))
    call.key = line.getValue<std::string>("idempotency_key") + salt;
  std::erase(call.key, ' ');
  if (call.chat)
    read_chat(line, salt, call);
  else if (const auto body = line.getObject("body"); !body.isNull())
    call.body = standin::to_text(*body);
  return call;
}

std::vector<load_call> read_round(const std::string& path, const std::string& salt,
                                  const bearer_keys& keys) {
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
      calls.push_back(
          read_call(*parser.parse(text).extract<Poco::JSON::Object::Ptr>(), salt, keys));
    } catch (const Poco::Exception& failure) {
      throw error{error_kind::invalid_settings, path + ":" + std::to_string(number),
                  failure.displayText()};
    }
  }
  return calls;
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
  call.fingerprint = fingerprint_of(text);
  call.body = chat_body(shape.model, text, shape.max_tokens, shape.stream);
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

bearer_keys read_keys(const std::string& path) {
  std::ifstream file{path};
  if (!file)
    throw error{error_kind::invalid_settings, path, "cannot be read"};
  bearer_keys keys;
  for (std::string line; std::getline(file, line);) {
    std::istringstream words{line};
    std::string team;
    std::string key;
    if (words >> team >> key && team.front() != '#')
      keys[team] = key;
  }
  return keys;
}

std::vector<load_call> read_script(const std::string& path, const script_options& options) {
  std::vector<load_call> calls;
  for (int round = 1; round <= options.repeats; ++round) {
    const std::string salt =
        options.salt + (round == 1 ? "" : "round " + std::to_string(round) + ". ");
    for (load_call& call : read_round(path, salt, options.keys))
      if (call.chat || !options.chat_only)
        calls.push_back(std::move(call));
  }
  constexpr double ms_a_second = 1000.0;
  for (std::size_t i = 0; i < calls.size(); ++i)
    calls[i].due = time_ms{
        static_cast<std::int64_t>(static_cast<double>(i) * ms_a_second / options.per_second)};
  return calls;
}

} // namespace sedgechute::load
