#include "standin/impl/http_server.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <thread>

namespace sedgechute::standin {

exchange::exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                   connection& link, fault_board& board)
    : request_{request}, response_{response}, link_{link}, board_{board} {
  const Poco::URI uri{request.getURI()};
  path_ = uri.getPath();
  for (auto& entry : uri.getQueryParameters())
    parameters_.push_back(std::move(entry));
}

std::string exchange::header(const std::string& name) const {
  return request_.get(name, "");
}

std::string exchange::parameter(const std::string& name, const std::string& fallback) const {
  for (const auto& [key, value] : parameters_)
    if (key == name)
      return value;
  return fallback;
}

std::int64_t exchange::number(const std::string& name, std::int64_t fallback) const {
  const std::string text = parameter(name, "");
  return text.empty() ? fallback : std::stoll(text);
}

const std::string& exchange::body() {
  if (!body_read_)
    Poco::StreamCopier::copyToString(request_.stream(), body_);
  body_read_ = true;
  return body_;
}

Poco::JSON::Object::Ptr exchange::json_body() {
  Poco::JSON::Parser parser;
  return parser.parse(body()).extract<Poco::JSON::Object::Ptr>();
}

void exchange::set_header(const std::string& name, const std::string& value) {
  response_.set(name, value);
}

void exchange::answer(int status, const std::string& text, const std::string& type) {
  if (path_.rfind("/admin/", 0) != 0) {
    if (const std::int64_t late = board_.now().late_ms; late > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds{late});
    if (board_.take_lost_answer())
      abandon();
  }
  if (dead())
    return;
  response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response_.setContentType(type);
  response_.sendBuffer(text.data(), text.size());
}

std::ostream& exchange::begin_stream(const std::string& type) {
  response_.setContentType(type);
  response_.setChunkedTransferEncoding(true);
  response_.set("Cache-Control", "no-store");
  return response_.send();
}

void exchange::abandon() {
  link_.closed = true;
  try {
    link_.socket.shutdown();
  } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): closed already
  }
}

bool exchange::caller_gone() const {
  if (link_.closed)
    return true;
  try {
    return link_.socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) &&
           link_.socket.available() == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

void exchange::hold() const {
  while (!caller_gone())
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
}

} // namespace sedgechute::standin
