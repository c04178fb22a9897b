#include "gateway/impl/kept_chat.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

token_usage read_usage(const Object& object) {
  token_usage usage;
  usage.prompt_tokens = object.getValue<Poco::UInt64>("prompt_tokens");
  usage.completion_tokens = object.getValue<Poco::UInt64>("completion_tokens");
  if (const auto details = object.getObject("prompt_tokens_details"))
    usage.cached_tokens = details->optValue<Poco::UInt64>("cached_tokens", 0);
  return usage;
}

answer_summary read_summary(const Object& whole) {
  const auto own = whole.getObject("sedgechute");
  const auto choice = whole.getArray("choices")->getObject(0);
  answer_summary summary;
  summary.id = request_id{own->getValue<std::string>("request_id")};
  summary.host = host_id{own->getValue<std::string>("host")};
  summary.endpoint = endpoint_id{own->getValue<std::string>("endpoint")};
  summary.attempts = own->getValue<int>("attempts");
  summary.tokens_billed = own->getValue<Poco::UInt64>("tokens_billed");
  summary.tokens_remaining = own->getValue<Poco::UInt64>("tokens_remaining");
  summary.finish_reason = choice->getValue<std::string>("finish_reason");
  summary.usage = read_usage(*whole.getObject("usage"));
  return summary;
}

std::string chunk_json(const answer_summary& summary, const std::string& content) {
  return R"({"id":)" + json_quote(summary.id.str()) +
         R"(,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":)" +
         json_quote(content) + R"(},"finish_reason":)" + json_quote(summary.finish_reason) + "}]}";
}

} // namespace

std::string usage_json(const token_usage& usage) {
  return R"({"prompt_tokens":)" + std::to_string(usage.prompt_tokens) + R"(,"completion_tokens":)" +
         std::to_string(usage.completion_tokens) + R"(,"total_tokens":)" +
         std::to_string(usage.total()) + R"(,"prompt_tokens_details":{"cached_tokens":)" +
         std::to_string(usage.cached_tokens) + "}}";
}

std::string answer_json(const answer_summary& summary, const model_id& model,
                        const std::string& content) {
  return R"({"id":)" + json_quote(summary.id.str()) + R"(,"object":"chat.completion","model":)" +
         json_quote(model.str()) +
         R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" +
         json_quote(content) + R"(},"finish_reason":)" + json_quote(summary.finish_reason) +
         R"(}],"usage":)" + usage_json(summary.usage) + R"(,"sedgechute":)" + to_json(summary) +
         "}\n";
}

void replay_chat(const kept_answer& kept, const request_id& id, answer_sink& sink) {
  if (kept.body.empty())
    return sink.fail({error_kind::answer_not_kept, "", id, {}});
  try {
    Poco::JSON::Parser parser;
    const auto whole = parser.parse(kept.body).extract<Object::Ptr>();
    const answer_summary summary = read_summary(*whole);
    const auto message = whole->getArray("choices")->getObject(0)->getObject("message");
    const auto content = message->getValue<std::string>("content");
    if (sink.event({summary.usage.completion_tokens, chunk_json(summary, content)}))
      sink.complete(summary);
  } catch (const Poco::Exception&) {
    sink.fail({error_kind::answer_not_kept, "the kept answer cannot be read", id, {}});
  }
}

} // namespace sedgechute
