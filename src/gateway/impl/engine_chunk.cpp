#include "gateway/impl/engine_chunk.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

token_usage parse_usage(const Object& object) {
  token_usage usage;
  usage.prompt_tokens = object.optValue<Poco::UInt64>("prompt_tokens", 0);
  usage.completion_tokens = object.optValue<Poco::UInt64>("completion_tokens", 0);
  if (const auto details = object.getObject("prompt_tokens_details"))
    usage.cached_tokens = details->optValue<Poco::UInt64>("cached_tokens", 0);
  return usage;
}

void parse_choice(const Object& choice, engine_chunk& chunk) {
  if (const auto delta = choice.getObject("delta"))
    chunk.content = delta->optValue<std::string>("content", "");
  if (!choice.isNull("finish_reason"))
    chunk.finish_reason = choice.optValue<std::string>("finish_reason", "");
}

} // namespace

std::optional<engine_chunk> parse_engine_chunk(const std::string& data) {
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(data).extract<Object::Ptr>();
    engine_chunk chunk;
    const auto choices = object->getArray("choices");
    if (choices && !choices->empty())
      if (const auto choice = choices->getObject(0))
        parse_choice(*choice, chunk);
    if (const auto usage = object->getObject("usage"))
      chunk.usage = parse_usage(*usage);
    return chunk;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

} // namespace sedgechute
