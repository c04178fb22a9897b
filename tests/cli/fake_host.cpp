#include "fake_host.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

namespace sedgechute::testing {
namespace {

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(fake_host& host) : host_{host} {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    received_call call{request.getMethod(), request.getURI(), request.get("Authorization", ""), {}};
    Poco::StreamCopier::copyToString(request.stream(), call.body);
    const auto answer = host_.handle(call);
    if (!answer) {
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
      return;
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer->status));
    response.setContentType("application/json");
    const std::string body = to_text(answer->body);
    response.sendBuffer(body.data(), body.size());
  }

 private:
  fake_host& host_;
};

class factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit factory(fake_host& host) : host_{host} {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new handler{host_};
  }

 private:
  fake_host& host_;
};

constexpr std::string_view documents_path = "/admin/v1/documents/";

} // namespace

fake_host::fake_host(fake_answer answer)
    : answer_{std::move(answer)}, socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}},
      server_{new factory{*this}, socket_, new Poco::Net::HTTPServerParams} {
  server_.start();
}

fake_host::~fake_host() {
  server_.stopAll(true);
}

address fake_host::where() const {
  return {"127.0.0.1", socket_.address().port()};
}

std::vector<received_call> fake_host::calls() const {
  const std::scoped_lock lock{mutex_};
  return calls_;
}

std::optional<document_answer> fake_host::handle(const received_call& call) {
  const std::scoped_lock lock{mutex_};
  calls_.push_back(call);
  return answer_(call);
}

document_answer fake_documents::answer(const received_call& call) {
  if (call.path.compare(0, documents_path.size(), documents_path) != 0)
    return error_answer_for(error_kind::unknown_path, call.path, "");
  const std::string rest = call.path.substr(documents_path.size());
  const auto slash = rest.find('/');
  const auto kind = value_named<document_kind>(rest.substr(0, slash));
  return answer_document(call, *kind, rest.substr(slash + 1));
}

document_answer fake_documents::answer_document(const received_call& call, document_kind kind,
                                                const std::string& name) {
  if (call.method == "GET" && name.find("/history") != std::string::npos)
    return document_history(store_, kind, name.substr(0, name.find('/')), 100);
  if (call.method == "GET")
    return show_document(store_, kind, name);
  const auto request = read_publish_request(call.body);
  if (!request)
    return error_answer_for(error_kind::malformed_request, "", to_text(request.problems));
  const auto document_name = name.substr(0, name.find('/'));
  const auto record = record_for(*request.value, kind, document_name, "gudrun", time_ms{0});
  if (name.size() != document_name.size())
    return check_answer(store_.preview(record, {}));
  const auto done = store_.apply(++offset_, record, {});
  return publish_answer(store_, done.outcome, done.repeated);
}

} // namespace sedgechute::testing
