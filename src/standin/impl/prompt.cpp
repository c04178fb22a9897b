#include "standin/impl/prompt.hpp"

#include "kernel/kernel.hpp"

#include <Poco/JSON/Array.h>

namespace sedgechute::standin {

std::string prompt_text(const Poco::JSON::Object& request) {
  std::string text;
  const auto messages = request.getArray("messages");
  if (messages.isNull())
    throw error{error_kind::invalid_parameter, "/messages", "must be a list"};
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const auto message = messages->getObject(static_cast<unsigned>(i));
    if (message.isNull())
      throw error{error_kind::invalid_parameter, "/messages", "must hold objects"};
    text += message->getValue<std::string>("role") + "\n";
    text += message->getValue<std::string>("content") + "\n";
  }
  return text;
}

std::vector<std::uint64_t> prefix_blocks(const std::string& text) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t chained = 0;
  const std::string_view view{text};
  for (std::size_t at = 0; at + block_bytes <= view.size(); at += block_bytes) {
    chained = mix_hash(chained, stable_hash(view.substr(at, block_bytes)));
    blocks.push_back(chained);
  }
  return blocks;
}

prompt read_prompt(const Poco::JSON::Object& request) {
  const std::string text = prompt_text(request);
  prompt read;
  read.model = request.getValue<std::string>("model");
  read.fingerprint = hex16(stable_hash(text));
  read.blocks = prefix_blocks(text);
  read.tokens = static_cast<std::int64_t>((text.size() + bytes_per_token - 1) / bytes_per_token);
  read.max_tokens = request.optValue<std::int64_t>("max_tokens", 0);
  read.streamed = request.optValue("stream", false);
  return read;
}

std::string hex16(std::uint64_t value) {
  static constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4U)
    text[i] = digits[value & 0xfU];
  return text;
}

std::string answer_token(const std::string& fingerprint, std::int64_t index) {
  return fingerprint + ":" + std::to_string(index) + " ";
}

} // namespace sedgechute::standin
