#include "relay/impl/front_door.hpp"

#include "relay/impl/connection_source.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <array>
#include <optional>

namespace sedgechute {

namespace {

constexpr int stack_bytes = 256 * 1024;
constexpr int least_threads = 2;
constexpr int thread_idle_s = 5;
constexpr int most_waiting_connections = 256;
constexpr time_ms idle_look{1000}; // how often an idle connection looks whether it shall close
constexpr std::size_t most_fields = 200;
constexpr std::size_t read_block = 16 * 1024;

} // namespace

class caller_connection final : public Poco::Net::TCPServerConnection {
 public:
  caller_connection(const Poco::Net::StreamSocket& socket, front_door& door)
      : TCPServerConnection{socket}, door_{door} {
    ++door_.connections_;
  }
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection() override { --door_.connections_; }

  void run() override {
    try {
      socket().setNoDelay(true);
      guard_against_silence(socket());
      connection link{socket(), door_.time_};
      time_ms since = door_.time_.now();
      for (std::size_t number = 1; wait_for_request(link, number); ++number) {
        const request_mark busy{door_.busy_};
        if (!finish(link, answer_one(link, number, door_.time_.now() - since)))
          break;
        since = door_.time_.now();
      }
    } catch (const std::exception& failure) {
      door_.log_.write(severity::warning, "caller_connection_failed", {},
                       {{log_field::reason, std::string_view{failure.what()}}});
    }
  }

 private:
  // Counts a request, whichever way it ends.
  struct request_mark {
    explicit request_mark(std::atomic<std::size_t>& of) : count{of} { ++count; }
    request_mark(const request_mark&) = delete;
    request_mark& operator=(const request_mark&) = delete;
    ~request_mark() { --count; }
    std::atomic<std::size_t>& count;
  };

  // A new connection is there for a request that is still on its way: until the end of a stop the
  // balancer sends some. One that has had its answers is closed when the notice is over.
  // A descriptor ends the wait: a flag that was looked at before it took late requests for a
  // second.
  [[nodiscard]] bool wait_for_request(connection& link, std::size_t number) const {
    const planned_stop& stop = door_.relay_.stop();
    caller_watch watch{-1, number == 1 ? stop.cut_descriptor() : stop.idle_descriptor()};
    const time_ms until = door_.time_.now() + door_.limits_().idle_timeout;
    while (link.buffered().empty()) {
      const time_ms now = door_.time_.now();
      if (now >= until || door_.closing_)
        return false;
      const io_status status = link.fill(std::min(until, now + idle_look), &watch);
      if (status == io_status::interrupted)
        return !link.quiet();
      if (status != io_status::ok && status != io_status::timed_out)
        return false;
    }
    return true;
  }

  // At the cut of a stop a request that is still arriving is refused: its caller would learn
  // nothing from a process that is gone.
  [[nodiscard]] after_answer answer_one(connection& link, std::size_t number, time_ms idle) const {
    const request_mark unanswered{door_.unanswered_};
    const caller_limits limits = door_.limits_();
    const time_ms received = door_.time_.now();
    caller_watch until_cut{-1, door_.relay_.stop().cut_descriptor()};
    try {
      std::string text;
      const io_status status =
          link.read_head(text, limits.header_bytes, received + limits.header_timeout, &until_cut);
      if (status == io_status::interrupted)
        throw error{error_kind::stopping, "header", "had not come when the host's grace was over"};
      if (status == io_status::timed_out)
        throw error{error_kind::slow_caller, "header", "did not come in time"};
      if (status != io_status::ok && link.buffered().size() > limits.header_bytes)
        throw error{error_kind::payload_too_large, "header", "is larger than allowed"};
      if (status != io_status::ok)
        return after_answer::close;
      const message_framing framing =
          check_request_header(text, {most_fields, limits.header_bytes});
      incoming_request request{parse_request_head(text), {}, received, link, number, idle};
      read_body(link, framing, limits, request, until_cut);
      return door_.relay_.serve(request);
    } catch (const error& reason) {
      door_.log_.write(severity::info, "request_unreadable", {},
                       {{log_field::reason, std::string_view{reason.what()}}});
      (void)link.write_all(refusal_text(door_.dialect_, reason, "", true),
                           door_.time_.now() + door_.options_.closing_timeout);
    }
    return after_answer::close;
  }

  void read_body(connection& link, const message_framing& framing, const caller_limits& limits,
                 incoming_request& request, caller_watch& until_cut) const {
    const time_ms until = door_.time_.now() + door_.options_.body_timeout;
    if (framing.body == body_framing::stated && framing.bytes > limits.body_bytes)
      throw error{error_kind::payload_too_large, "body", "is larger than allowed"};
    if (framing.body != body_framing::none && request.head.fields.has("Expect") &&
        link.write_all("HTTP/1.1 100 Continue\r\n\r\n", until, &until_cut) != io_status::ok)
      throw error{error_kind::slow_caller, "body", "the caller does not read"};
    connection_source source{link, [until] { return until; }, &until_cut};
    body_decoder body{source, framing};
    std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (body.state() == body_state::open) {
      request.body.append(block.data(), body.read(block.data(), block.size()));
      if (request.body.size() > limits.body_bytes)
        throw error{error_kind::payload_too_large, "body", "is larger than allowed"};
    }
    if (body.state() == body_state::slow && source.last() == io_status::interrupted)
      throw error{error_kind::stopping, "body", "had not come when the host's grace was over"};
    if (body.state() == body_state::slow)
      throw error{error_kind::slow_caller, "body", "did not come in time"};
    if (body.state() != body_state::whole)
      throw error{error_kind::malformed_request, "body", "is not whole"};
  }

  /// \returns whether another request may follow
  [[nodiscard]] bool finish(connection& link, after_answer then) const {
    if (then == after_answer::next_request)
      return true;
    if (then == after_answer::abort)
      link.abort();
    else
      link.close_gently(door_.options_.closing_timeout);
    return false;
  }

  front_door& door_;
};

namespace {

class caller_connection_factory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit caller_connection_factory(front_door& door) : door_{door} {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's name
  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return std::make_unique<caller_connection>(socket, door_).release();
  }

 private:
  front_door& door_;
};

} // namespace

front_door::front_door(request_relay& relay, const wire_dialect& dialect,
                       std::function<caller_limits()> limits, const front_door_options& options,
                       const Poco::Net::ServerSocket& socket, const clock& time,
                       structured_log& log)
    : relay_{relay}, dialect_{dialect}, limits_{std::move(limits)}, options_{options}, time_{time},
      log_{log}, threads_{least_threads, static_cast<int>(options.most_connections), thread_idle_s,
                          stack_bytes} {
  Poco::Net::TCPServerParams::Ptr params{new Poco::Net::TCPServerParams};
  params->setMaxThreads(static_cast<int>(options_.most_connections));
  params->setMaxQueued(most_waiting_connections);
  params->setThreadIdleTime(Poco::Timespan{thread_idle_s, 0});
  server_ = std::make_unique<Poco::Net::TCPServer>(new caller_connection_factory{*this}, threads_,
                                                   socket, params);
}

front_door::~front_door() {
  closing_ = true;
  server_->stop();
  threads_.joinAll();
}

void front_door::start() {
  server_->start();
}

} // namespace sedgechute
