#include "entry/impl/status_door.hpp"

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
  explicit page_handler(const status_door::pages& told) : told_{told} {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    const std::string& uri = request.getURI();
    const auto at = told_.find(uri.substr(0, uri.find('?')));
    const status_answer answer =
        at == told_.end() ? status_answer{404, "no such page\n"} : at->second();
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType("text/plain");
    response.sendBuffer(answer.text.data(), answer.text.size());
  }

 private:
  const status_door::pages& told_;
};

class page_factory final : public HTTPRequestHandlerFactory {
 public:
  explicit page_factory(status_door::pages told) : told_{std::move(told)} {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's name
  HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return std::make_unique<page_handler>(told_).release();
  }

 private:
  status_door::pages told_;
};

} // namespace

status_door::status_door(pages told, const ServerSocket& socket)
    : threads_{least_threads, most_threads, thread_idle_s, stack_bytes} {
  HTTPServerParams::Ptr params{new HTTPServerParams};
  params->setMaxThreads(most_threads);
  params->setKeepAlive(true);
  server_ =
      std::make_unique<HTTPServer>(new page_factory{std::move(told)}, threads_, socket, params);
}

status_door::~status_door() {
  server_->stopAll(true);
  threads_.joinAll();
}

void status_door::start() {
  server_->start();
}

} // namespace sedgechute
