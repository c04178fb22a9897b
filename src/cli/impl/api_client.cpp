#include "cli/impl/api_client.hpp"

#include "cli/impl/output.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <array>
#include <memory>

namespace sedgechute::cli {
namespace {

constexpr json_bounds answer_bounds{std::size_t{64} << 20U, 64};
constexpr std::size_t read_bytes = 16384;

constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;

[[nodiscard]] Poco::Net::Context::Ptr tls_context(const options& flags) {
  using Poco::Net::Context;
  Context::Params chosen;
  chosen.caLocation = flags.authorities;
  chosen.certificateFile = flags.certificate;
  chosen.privateKeyFile = flags.certificate_key;
  chosen.verificationMode = Context::VERIFY_STRICT;
  chosen.loadDefaultCAs = false;
  chosen.cipherList = "HIGH:!aNULL";
  try {
    Context::Ptr made{new Context{Context::TLS_CLIENT_USE, chosen}};
    made->requireMinimumProtocol(Context::PROTO_TLSV1_2);
    return made;
  } catch (const Poco::Exception& fault) {
    throw failure{exit_code::usage, "the files for TLS cannot be used: " + fault.displayText()};
  }
}

// A host that serves TLS closes on plain text without a word.
[[nodiscard]] std::string hint_for(const Poco::Exception& fault, const options& flags) {
  const bool closed = dynamic_cast<const Poco::Net::NoMessageException*>(&fault) != nullptr ||
                      dynamic_cast<const Poco::Net::ConnectionResetException*>(&fault) != nullptr;
  return closed && flags.authorities.empty()
             ? " (if it serves TLS, give its authorities with --tls_authorities)"
             : "";
}

[[nodiscard]] std::unique_ptr<Poco::Net::HTTPClientSession> open_session(const options& flags,
                                                                         const address& host) {
  if (flags.authorities.empty())
    return std::make_unique<Poco::Net::HTTPClientSession>(host.ip, host.port);
  const Poco::Net::Context::Ptr context = tls_context(flags);
  return std::make_unique<Poco::Net::HTTPSClientSession>(host.ip, host.port, context);
}

[[nodiscard]] std::string read_all(std::istream& in) {
  std::string text;
  std::array<char, read_bytes> block{};
  while (in.read(block.data(), block.size()) || in.gcount() > 0) {
    text.append(block.data(), static_cast<std::size_t>(in.gcount()));
    if (text.size() > answer_bounds.bytes)
      throw failure{exit_code::failed,
                    "an answer of more than " + std::to_string(answer_bounds.bytes) + " bytes"};
  }
  return text;
}

[[nodiscard]] std::string error_kind_of(const api_answer& answer) {
  const auto* fault = answer.body.find("error");
  return fault == nullptr ? "" : text_member(*fault, "kind");
}

} // namespace

api_client::api_client(const options& flags) : flags_{flags} {
  if (flags.hosts.empty())
    throw failure{exit_code::usage, "no host given; use --host IP:PORT, several times for more"};
}

api_answer api_client::get(const std::string& path) {
  return call("GET", path, {});
}

api_answer api_client::post(const std::string& path, const json_node& body) {
  return call("POST", path, to_text(body));
}

api_answer api_client::call(const std::string& method, const std::string& path,
                            const std::string& body) {
  std::string silent;
  api_answer last;
  for (std::size_t i = 0; i < flags_.hosts.size(); ++i) {
    const std::size_t index = (first_ + i) % flags_.hosts.size();
    const address& host = flags_.hosts[index];
    try {
      last = call_host(host, method, path, body);
    } catch (const Poco::Exception& fault) {
      silent += (silent.empty() ? "" : "; ") + host.str() + ": " + fault.displayText() +
                hint_for(fault, flags_);
      continue;
    }
    if (last.status == status_unavailable)
      continue;
    first_ = index;
    return last;
  }
  if (last.status != 0)
    return last;
  throw failure{exit_code::unreachable, "no host answered (" + silent + ")"};
}

api_answer api_client::call_host(const address& host, const std::string& method,
                                 const std::string& path, const std::string& body) const {
  const auto session = open_session(flags_, host);
  session->setTimeout(Poco::Timespan{flags_.timeout.count() * Poco::Timespan::MILLISECONDS});
  Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
  request.set("Authorization", "Bearer " + flags_.key);
  if (method == "POST") {
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
  }
  session->sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  api_answer answer;
  answer.text = read_all(session->receiveResponse(response));
  answer.status = response.getStatus();
  answer.host = host;
  if (response.getContentType().find("json") != std::string::npos) {
    try {
      answer.body = parse_json(answer.text, answer_bounds);
    } catch (const error& fault) {
      throw failure{exit_code::failed, host.str() + " answered no valid JSON: " + fault.why()};
    }
  }
  return answer;
}

std::string path_step(const std::string& word) {
  std::string step;
  Poco::URI::encode(word, "/?#%&+=:@ ", step);
  return step;
}

exit_code exit_code_for(const api_answer& answer) {
  switch (answer.status) {
  case status_unauthorized:
  case status_forbidden:
    return exit_code::refused;
  case status_not_found:
    return exit_code::not_found;
  case status_conflict:
    return exit_code::conflict;
  case status_unprocessable:
    return exit_code::faulty;
  case status_unavailable:
    return error_kind_of(answer) == name_of(error_kind::log_unavailable) ? exit_code::log_down
                                                                         : exit_code::failed;
  default:
    return exit_code::failed;
  }
}

std::string describe_error(const api_answer& answer) {
  std::string text = answer.host.str() + " answered " + std::to_string(answer.status);
  const auto* fault = answer.body.find("error");
  if (fault == nullptr)
    return text;
  text += " " + text_member(*fault, "kind");
  for (const char* name : {"where", "why"})
    if (const std::string part = text_member(*fault, name); !part.empty())
      text += ": " + part;
  return text;
}

api_answer expect_good(api_answer answer) {
  if (!answer.good())
    throw failure{exit_code_for(answer), describe_error(answer)};
  return answer;
}

} // namespace sedgechute::cli
