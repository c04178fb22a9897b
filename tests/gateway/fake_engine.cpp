#include "fake_engine.hpp"

#include "raw_caller.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

namespace sedgechute::testing {

namespace {

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(fake_engine& engine) : engine_{engine} {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    engine_call call{request, response};
    engine_.handle(call);
  }

 private:
  fake_engine& engine_;
};

class factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit factory(fake_engine& engine) : engine_{engine} {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest&) override {
    return std::make_unique<handler>(engine_).release();
  }

 private:
  fake_engine& engine_;
};

} // namespace

namespace {

// A thread that Poco starts while it stops waits for this long.
Poco::Net::HTTPServerParams::Ptr short_idling() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setThreadIdleTime(Poco::Timespan{50 * Poco::Timespan::MILLISECONDS});
  return params;
}

} // namespace

engine_call::engine_call(Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response)
    : method{request.getMethod()}, path{request.getURI()}, request_{request}, response_{response} {
  Poco::StreamCopier::copyToString(request.stream(), body);
  if (request.hasContentLength())
    body_whole = body.size() == static_cast<std::size_t>(request.getContentLength64());
}

std::ostream& engine_call::stream() {
  if (out_ == nullptr) {
    response_.setContentType("text/event-stream");
    response_.setChunkedTransferEncoding(true);
    out_ = &response_.send();
  }
  return *out_;
}

bool engine_call::raw(const std::string& text) {
  stream().write(text.data(), static_cast<std::streamsize>(text.size()));
  stream().flush();
  return stream().good();
}

bool engine_call::token(int position, const std::string& text) {
  const std::string id = position == 0 ? "" : "id: " + std::to_string(position) + "\n";
  return raw(id + R"(data: {"choices":[{"index":0,"delta":{"content":")" + text +
             R"("},"finish_reason":null}]})" + "\n\n");
}

void engine_call::finish(int position, const std::string& usage) {
  const std::string id = position == 0 ? "" : "id: " + std::to_string(position) + "\n";
  const std::string counts = usage.empty() ? "" : R"(,"usage":)" + usage;
  raw(id + R"(data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}])" + counts +
      "}\n\ndata: [DONE]\n\n");
}

bool engine_call::heartbeat() {
  return raw(": ping\n\n");
}

void engine_call::cut() {
  static_cast<Poco::Net::HTTPServerRequestImpl&>(request_).socket().shutdown();
}

void engine_call::refuse(int status) {
  response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response_.setContentLength(0);
  response_.send();
}

void engine_call::answer(const std::string& text) {
  response_.setContentType("text/plain");
  response_.sendBuffer(text.data(), text.size());
}

fake_engine::fake_engine(engine_script script)
    : script_{std::move(script)}, resume_{[](engine_call& call) { call.refuse(404); }},
      socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}}, server_{new factory{*this}, threads_,
                                                                 socket_, short_idling()} {
  server_.start();
}

fake_engine::~fake_engine() {
  closing_ = true;
  stop_server(socket_.address(), [this] { server_.stopAll(true); });
  threads_.joinAll();
}

void fake_engine::handle(engine_call& call) {
  if (call.path.starts_with("/v1/streams/")) {
    const bool cancel = call.method == "DELETE";
    ++(cancel ? cancels_ : resumes_);
    return cancel ? call.answer("{}") : resume_(call);
  }
  {
    const std::scoped_lock lock{mutex_};
    bodies_.push_back(call.body);
  }
  ++runs_;
  script_(call);
}

std::vector<std::string> fake_engine::bodies() const {
  const std::scoped_lock lock{mutex_};
  return bodies_;
}

engine_script answer_words(std::vector<std::string> words) {
  return [words = std::move(words)](engine_call& call) {
    int position = 0;
    for (const std::string& word : words)
      call.token(++position, word);
    call.finish(position + 1,
                R"({"prompt_tokens":10,"completion_tokens":)" + std::to_string(words.size()) + "}");
  };
}

} // namespace sedgechute::testing
