#include "gateway/impl/chat_request.hpp"

#include "gateway/impl/utf8.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <optional>
#include <sstream>

namespace sedgechute {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t prefix_block_bytes = 1024;
constexpr std::uint64_t tokens_per_message_overhead = 8;

[[noreturn]] void refuse(error_kind kind, const std::string& pointer, const std::string& why) {
  throw error{kind, pointer, why};
}

// Poco's parser recurses once a level, so the depth is bounded before it runs: a body of a million
// brackets would otherwise end the host by exhausting the thread's stack.
void check_depth(const std::string& body, std::size_t most) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < body.size(); ++i) {
    const char c = body[i];
    if (in_string) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
      continue;
    }
    if (c == '"')
      in_string = true;
    else if (c == '{' || c == '[')
      ++depth;
    else if ((c == '}' || c == ']') && depth > 0)
      --depth;
    if (depth > most)
      refuse(error_kind::malformed_json, "", "nested deeper than " + std::to_string(most));
  }
}

Object::Ptr parse_object(const std::string& body, const chat_limits& limits) {
  if (body.size() > limits.body_bytes)
    refuse(error_kind::payload_too_large, "",
           "more than " + std::to_string(limits.body_bytes) + " bytes");
  if (!is_valid_utf8(body))
    refuse(error_kind::bad_encoding, "", "the body is not UTF-8");
  check_depth(body, limits.json_depth);
  try {
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Object::Ptr>();
  } catch (const Poco::SyntaxException&) {
    // Faults of JSON are another type; this one tells that a number does not fit any of ours.
    refuse(error_kind::invalid_parameter, "", "a number is out of range");
  } catch (const Poco::Exception& failure) {
    refuse(error_kind::malformed_json, "", failure.displayText());
  }
}

std::string text_field(const Object& object, const std::string& field, const std::string& at) {
  if (!object.has(field))
    refuse(error_kind::invalid_parameter, at + "/" + field, "missing");
  const Var value = object.get(field);
  if (!value.isString())
    refuse(error_kind::invalid_parameter, at + "/" + field, "must be a string");
  return value.extract<std::string>();
}

// Content is a string, or OpenAI's list of parts of which text parts are taken.
std::string content_of(const Object& message, const std::string& at) {
  const Var content = message.get("content");
  if (content.isString())
    return content.extract<std::string>();
  if (content.type() != typeid(Array::Ptr))
    refuse(error_kind::invalid_parameter, at + "/content", "must be a string or a list of parts");
  std::string text;
  const auto& parts = content.extract<Array::Ptr>();
  for (std::size_t i = 0; i < parts->size(); ++i) {
    const auto part = parts->getObject(static_cast<unsigned>(i));
    const std::string part_at = at + "/content/" + std::to_string(i);
    if (part.isNull())
      refuse(error_kind::invalid_parameter, part_at, "must be an object");
    if (text_field(*part, "type", part_at) != "text")
      refuse(error_kind::invalid_parameter, part_at + "/type", "only text parts are served");
    text += text_field(*part, "text", part_at);
  }
  return text;
}

struct parsed_prompt {
  Array::Ptr messages;
  std::string text;
  std::uint64_t token_bound{};
};

parsed_prompt parse_prompt(const Object& object, const chat_limits& limits) {
  const auto messages = object.getArray("messages");
  if (messages.isNull() || messages->empty())
    refuse(error_kind::invalid_parameter, "/messages", "must be a list of at least one message");
  if (messages->size() > limits.messages)
    refuse(error_kind::invalid_parameter, "/messages",
           "more than " + std::to_string(limits.messages) + " messages");
  parsed_prompt prompt;
  prompt.messages = new Array;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const std::string at = "/messages/" + std::to_string(i);
    const auto message = messages->getObject(static_cast<unsigned>(i));
    if (message.isNull())
      refuse(error_kind::invalid_parameter, at, "must be an object");
    const std::string role = text_field(*message, "role", at);
    const std::string content = content_of(*message, at);
    prompt.text += role + "\n" + content + "\n";
    // A token is at least one byte in every tokenizer in use, so bytes bound tokens from above.
    prompt.token_bound += role.size() + content.size() + tokens_per_message_overhead;
    Object::Ptr plain = new Object;
    plain->set("role", role);
    plain->set("content", content);
    prompt.messages->add(plain);
  }
  return prompt;
}

std::optional<std::uint64_t> parse_max_tokens(const Object& object, const chat_limits& limits) {
  const std::string field =
      object.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  if (!object.has(field) || object.isNull(field))
    return std::nullopt;
  const Var value = object.get(field);
  if (!value.isInteger() || value.isBoolean())
    refuse(error_kind::invalid_parameter, "/" + field, "must be a whole number");
  Poco::Int64 count = 0;
  try {
    count = value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    refuse(error_kind::invalid_parameter, "/" + field, "out of range");
  }
  if (count < 1 || static_cast<std::uint64_t>(count) > limits.max_output_tokens)
    refuse(error_kind::invalid_parameter, "/" + field,
           "must be 1 to " + std::to_string(limits.max_output_tokens));
  return static_cast<std::uint64_t>(count);
}

bool parse_stream(const Object& object) {
  if (!object.has("stream") || object.isNull("stream"))
    return false;
  const Var value = object.get("stream");
  if (!value.isBoolean())
    refuse(error_kind::invalid_parameter, "/stream", "must be true or false");
  return value.extract<bool>();
}

std::vector<std::uint64_t> block_hashes(std::string_view text) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous = 0;
  for (std::size_t at = 0; at + prefix_block_bytes <= text.size(); at += prefix_block_bytes) {
    previous = mix_hash(previous, stable_hash(text.substr(at, prefix_block_bytes)));
    blocks.push_back(previous);
  }
  return blocks;
}

// Sampling parameters that engines know; others are not passed on, so that a caller cannot reach
// settings of the engine that are the operators' business.
constexpr const char* passed_fields[] = {
    "temperature",       "top_p",          "stop", "seed", "presence_penalty",
    "frequency_penalty", "response_format"};

std::string engine_body(const Object& original, const chat_request& request,
                        const Array::Ptr& messages) {
  Object out;
  out.set("model", request.model.str());
  out.set("messages", messages);
  out.set("max_tokens", request.max_tokens);
  out.set("stream", true);
  for (const char* field : passed_fields)
    if (original.has(field))
      out.set(field, original.get(field));
  std::ostringstream text;
  out.stringify(text);
  return text.str();
}

} // namespace

chat_request parse_chat_request(const std::string& body, const chat_limits& limits) {
  const Object::Ptr object = parse_object(body, limits);
  if (object.isNull())
    refuse(error_kind::malformed_json, "", "must be a JSON object");
  chat_request request;
  request.model = model_id{text_field(*object, "model", "")};
  request.stream = parse_stream(*object);
  const std::optional<std::uint64_t> stated = parse_max_tokens(*object, limits);
  request.bound_stated = stated.has_value();
  request.max_tokens = stated.value_or(limits.default_output_tokens);
  const parsed_prompt prompt = parse_prompt(*object, limits);
  request.prompt_bound = prompt.token_bound;
  request.prefix_blocks = block_hashes(prompt.text);
  // Not the default: it follows the contract, and a retry after a change of the contract is still
  // the same request.
  request.fingerprint = mix_hash(stable_hash(prompt.text),
                                 mix_hash(stable_hash(request.model.str()), stated.value_or(0)));
  request.engine_body = engine_body(*object, request, prompt.messages);
  return request;
}

} // namespace sedgechute
