#pragma once

#include "config/config.hpp"

#include <Poco/Net/HTTPServer.h>

#include <functional>
#include <mutex>

namespace sedgechute::testing {

/// \brief One call that the fake host received.
struct received_call {
  std::string method;
  std::string path;
  std::string authorization;
  std::string body;
};

/// \brief Answers a call; nothing closes the connection without an answer.
using fake_answer = std::function<std::optional<document_answer>(const received_call&)>;

/// \brief An HTTP server on loopback that answers as told.
class fake_host {
 public:
  explicit fake_host(fake_answer answer);
  fake_host(const fake_host&) = delete;
  fake_host& operator=(const fake_host&) = delete;
  ~fake_host();

  [[nodiscard]] address where() const;
  [[nodiscard]] std::vector<received_call> calls() const;
  [[nodiscard]] std::optional<document_answer> handle(const received_call& call);

 private:
  fake_answer answer_;
  mutable std::mutex mutex_;
  std::vector<received_call> calls_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::HTTPServer server_;
};

/// \brief The documents of a fleet behind the admin API: appends and replays at once.
class fake_documents {
 public:
  /// \brief Answers a call; for use in a `fake_host`.
  [[nodiscard]] document_answer answer(const received_call& call);
  [[nodiscard]] document_store& store() { return store_; }

 private:
  [[nodiscard]] document_answer answer_document(const received_call& call, document_kind kind,
                                                const std::string& name);

  document_store store_;
  std::uint64_t offset_{0};
};

} // namespace sedgechute::testing
