#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sedgechute::testing {

/// \brief One call to the engine, which a test's script answers.
class engine_call {
 public:
  engine_call(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// \brief Sends token `position` (0: without a number) with its text.
  /// \returns whether the host still reads
  bool token(int position, const std::string& text);
  /// \brief Sends the last chunk and the finish marker.
  /// \param usage  a JSON object, or empty for none
  void finish(int position, const std::string& usage);
  /// \brief A comment line, which proves that the engine lives.
  bool heartbeat();
  bool raw(const std::string& text);
  /// \brief Closes the connection without an end.
  void cut();
  void refuse(int status);
  /// \brief Answers as a plain service does.
  void answer(const std::string& body);

  std::string method;
  std::string path;
  std::string body;
  bool body_whole{true};
  std::string header(const std::string& name) const { return request_.get(name, ""); }

 private:
  std::ostream& stream();

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  std::ostream* out_{nullptr};
};

using engine_script = std::function<void(engine_call&)>;

/// \brief An engine whose runs and resumptions are scripted; it counts what it is asked.
class fake_engine {
 public:
  explicit fake_engine(engine_script script);
  fake_engine(const fake_engine&) = delete;
  fake_engine& operator=(const fake_engine&) = delete;
  ~fake_engine();

  [[nodiscard]] std::string address() const { return socket_.address().toString(); }
  void on_resume(engine_script script) { resume_ = std::move(script); }
  void handle(engine_call& call);

  /// \returns whether scripts shall end because the test does.
  [[nodiscard]] bool closing() const { return closing_; }
  [[nodiscard]] int runs() const { return runs_; }
  [[nodiscard]] int resumes() const { return resumes_; }
  [[nodiscard]] int cancels() const { return cancels_; }
  [[nodiscard]] std::vector<std::string> bodies() const;

 private:
  engine_script script_;
  engine_script resume_;
  std::atomic<bool> closing_{false};
  std::atomic<int> runs_{0};
  std::atomic<int> resumes_{0};
  std::atomic<int> cancels_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> bodies_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool threads_{2, 32};
  Poco::Net::HTTPServer server_;
};

/// \returns a script that answers with the words as tokens, and usage of 10 and their number.
[[nodiscard]] engine_script answer_words(std::vector<std::string> words);

} // namespace sedgechute::testing
