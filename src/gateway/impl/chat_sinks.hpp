#pragma once

#include "gateway/impl/answer.hpp"
#include "gateway/impl/caller_api.hpp"

#include <ostream>

namespace sedgechute {

/// \brief Sends each event to the caller as it comes (`"stream": true`).
class streaming_sink final : public answer_sink {
 public:
  streaming_sink(caller_exchange& exchange, host_id host, request_id id)
      : exchange_{exchange}, host_{std::move(host)}, id_{std::move(id)} {}

  [[nodiscard]] bool event(const stream_event& event) override;
  void complete(const answer_summary& summary) override;
  void fail(const refusal& refused) override;
  [[nodiscard]] bool delivered() const noexcept override { return out_ != nullptr; }
  [[nodiscard]] bool gone() noexcept override;

 private:
  void begin();
  [[nodiscard]] bool write(const std::string& text);

  caller_exchange& exchange_;
  host_id host_;
  request_id id_;
  std::ostream* out_{nullptr};
  bool lost_{false};
};

/// \brief Gathers the answer and sends it as one JSON object.
class collecting_sink final : public answer_sink {
 public:
  collecting_sink(caller_exchange& exchange, model_id model)
      : exchange_{exchange}, model_{std::move(model)} {}

  void begin_run() override { content_.clear(); }
  [[nodiscard]] bool event(const stream_event& event) override;
  void complete(const answer_summary& summary) override;
  void fail(const refusal& refused) override;
  [[nodiscard]] bool delivered() const noexcept override { return false; }
  [[nodiscard]] bool gone() noexcept override;

 private:
  caller_exchange& exchange_;
  model_id model_;
  std::string content_;
};

/// \brief Prepares an answer whose length is not known: chunked, or ended by the connection's close
/// for an HTTP/1.0 caller, who knows no chunks.
void use_open_length(caller_exchange& exchange);

/// \returns whether the caller closed its side, also when bytes that it sent before are unread.
[[nodiscard]] bool has_hung_up(const caller_exchange& exchange) noexcept;

} // namespace sedgechute
