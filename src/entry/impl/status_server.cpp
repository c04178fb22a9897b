#include "entry/impl/status_server.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace sedgechute {

namespace {

using namespace Poco::Net;

constexpr int least_threads = 1;
constexpr int most_threads = 4;
constexpr int thread_idle_s = 30;
constexpr int stack_bytes = 128 * 1024;

class page_handler final : public HTTPRequestHandler {
 public:
  explicit page_handler(const status_server::pages& pages) : pages_{pages} {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    const std::string& uri = request.getURI();
    const auto at = pages_.find(uri.substr(0, uri.find('?')));
    const status_answer answer =
        at == pages_.end() ? status_answer{404, "no such page\n"} : at->second();
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType("text/plain");
    response.sendBuffer(answer.text.data(), answer.text.size());
  }

 private:
  const status_server::pages& pages_;
};

class page_factory final : public HTTPRequestHandlerFactory {
 public:
  explicit page_factory(status_server::pages pages) : pages_{std::move(pages)} {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's name
  HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return std::make_unique<page_handler>(pages_).release();
  }

 private:
  status_server::pages pages_;
};

} // namespace

status_server::status_server(pages served, const ServerSocket& socket)
    : threads_{least_threads, most_threads, thread_idle_s, stack_bytes} {
  HTTPServerParams::Ptr params{new HTTPServerParams};
  params->setMaxThreads(most_threads);
  params->setKeepAlive(true);
  server_ =
      std::make_unique<HTTPServer>(new page_factory{std::move(served)}, threads_, socket, params);
}

status_server::~status_server() {
  server_->stopAll(true);
  threads_.joinAll();
}

void status_server::start() {
  server_->start();
}

} // namespace sedgechute
