#include "gateway/gateway.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;

namespace {

const chat_limits limits;

std::string body_with(const std::string& fields) {
  return R"({"model":"m","messages":[{"role":"user","content":"hello"}])" + fields + "}";
}

error_kind refusal_of(const std::string& body) {
  try {
    (void)parse_chat_request(body, limits);
  } catch (const error& failure) {
    return failure.kind();
  }
  FAIL("the body was accepted: " << body);
  return error_kind::internal;
}

} // namespace

TEST_CASE("a chat request is parsed with its token bound and fingerprint") {
  const chat_request request =
      parse_chat_request(body_with(R"(,"max_tokens":7,"stream":true)"), limits);
  CHECK(request.model == model_id{"m"});
  CHECK(request.stream);
  CHECK(request.max_tokens == 7);
  CHECK(request.token_bound() >= std::string{"userhello"}.size() + 7);
  CHECK(request.fingerprint ==
        parse_chat_request(body_with(R"(,"max_tokens":7)"), limits).fingerprint);
  CHECK(request.fingerprint !=
        parse_chat_request(body_with(R"(,"max_tokens":8)"), limits).fingerprint);
}

// A contract's cap was lowered between a request and its retry. Neither states a bound, so the
// default follows the cap; a fingerprint made of it would refuse the retry as another request.
TEST_CASE("a request that states no bound is the same request under any default") {
  chat_limits lower;
  lower.default_output_tokens = 100;
  const chat_request usual = parse_chat_request(body_with(""), limits);
  const chat_request capped = parse_chat_request(body_with(""), lower);
  CHECK(usual.max_tokens == limits.default_output_tokens);
  CHECK(capped.max_tokens == 100);
  CHECK(capped.engine_body.find(R"("max_tokens":100)") != std::string::npos);
  CHECK_FALSE(usual.bound_stated);
  CHECK(usual.fingerprint == capped.fingerprint);
}

TEST_CASE("the engine gets a stream and no field that is the operators' business") {
  const chat_request request =
      parse_chat_request(body_with(R"(,"stream":false,"temperature":0.5,"priority":0)"), limits);
  CHECK(request.engine_body.find(R"("stream":true)") != std::string::npos);
  CHECK(request.engine_body.find("temperature") != std::string::npos);
  CHECK(request.engine_body.find("priority") == std::string::npos);
}

TEST_CASE("text parts are joined and other parts are refused") {
  const std::string parts =
      R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})";
  const std::string plain = R"({"model":"m","messages":[{"role":"user","content":"ab"}]})";
  CHECK(parse_chat_request(parts, limits).fingerprint ==
        parse_chat_request(plain, limits).fingerprint);
  CHECK(
      refusal_of(
          R"({"model":"m","messages":[{"role":"user","content":[{"type":"image","text":"a"}]}]})") ==
      error_kind::invalid_parameter);
}

TEST_CASE("bad bodies are refused by kind") {
  CHECK(refusal_of("") == error_kind::malformed_json);
  CHECK(refusal_of("[]") == error_kind::malformed_json);
  CHECK(refusal_of("{\"model\":") == error_kind::malformed_json);
  CHECK(refusal_of(std::string(limits.body_bytes + 1, 'x')) == error_kind::payload_too_large);
  CHECK(refusal_of(body_with(",\"x\":\"\xff\"")) == error_kind::bad_encoding);
  CHECK(refusal_of(R"({"messages":[{"role":"user","content":"x"}]})") ==
        error_kind::invalid_parameter);
  CHECK(refusal_of(R"({"model":3,"messages":[{"role":"user","content":"x"}]})") ==
        error_kind::invalid_parameter);
  CHECK(refusal_of(R"({"model":"m","messages":[]})") == error_kind::invalid_parameter);
  CHECK(refusal_of(R"({"model":"m","messages":["x"]})") == error_kind::invalid_parameter);
  for (const char* absurd : {"0", "-1", "32769", "1e99", "\"9\"", "true", "99999999999999999999"})
    CHECK(refusal_of(body_with(std::string{",\"max_tokens\":"} + absurd)) != error_kind::internal);
}

// A caller sends a body of a hundred thousand brackets. The JSON parser recurses once a level, the
// thread's small stack ends, and the whole host dies with every stream on it. The depth is
// therefore bounded before the parser runs.
TEST_CASE("deep nesting is refused before it can exhaust a stack") {
  CHECK(refusal_of(std::string(100000, '[')) == error_kind::malformed_json);
  CHECK(refusal_of(body_with(",\"x\":" + std::string(64, '[') + std::string(64, ']'))) ==
        error_kind::malformed_json);
  CHECK_NOTHROW((void)parse_chat_request(
      R"({"model":"m","messages":[{"role":"user","content":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["}]})",
      limits));
}

TEST_CASE("UTF-8 is checked to the letter") {
  CHECK(is_valid_utf8("plain, \xc3\xa9, \xe2\x82\xac, \xf0\x9f\x98\x80"));
  CHECK_FALSE(is_valid_utf8("\xc0\xaf"));         // overlong
  CHECK_FALSE(is_valid_utf8("\xed\xa0\x80"));     // surrogate
  CHECK_FALSE(is_valid_utf8("\xf4\x90\x80\x80")); // above U+10FFFF
  CHECK_FALSE(is_valid_utf8("\xe2\x82"));         // cut
}

TEST_CASE("arbitrary bytes never bring the parser down") {
  CHECK(rc::check("parse or refuse", [](const std::string& noise) {
    try {
      (void)parse_chat_request(noise, limits);
    } catch (const error&) {
      return;
    }
  }));
}

TEST_CASE("prompts that share a beginning share its block hashes") {
  const std::string common(4096, 'a');
  const auto blocks = [&](const std::string& tail) {
    return parse_chat_request(R"({"model":"m","messages":[{"role":"user","content":")" + common +
                                  tail + "\"}]}",
                              limits)
        .prefix_blocks;
  };
  const auto first = blocks(std::string(2048, 'b'));
  const auto second = blocks(std::string(2048, 'c'));
  REQUIRE(first.size() == 6);
  CHECK(std::equal(first.begin(), first.begin() + 4, second.begin()));
  CHECK(first.back() != second.back());
}
