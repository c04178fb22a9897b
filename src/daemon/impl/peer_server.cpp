#include "daemon/impl/peer_server.hpp"

#include <grpcpp/resource_quota.h>

#include <chrono>

namespace sedgechute {

namespace {

// A follower holds a thread for as long as the answer takes; the rest answers at once.
constexpr int most_threads = 256;
constexpr int least_ping_interval_ms = 1000;
constexpr int least_pollers = 1;
constexpr int most_pollers = 2;
constexpr std::chrono::seconds stop_grace{1};

/// Writes an answer to the host that follows it.
class follow_sink final : public answer_sink {
 public:
  follow_sink(grpc::ServerWriter<wire::follow_part>& out, grpc::ServerContext& context)
      : out_{out}, context_{context} {}

  bool event(const stream_event& event) override {
    wire::follow_part part;
    part.mutable_event()->set_position(event.position);
    part.mutable_event()->set_data(event.data);
    return out_.Write(part);
  }
  void complete(const answer_summary& summary) override {
    wire::follow_part part;
    wire::answer_end& end = *part.mutable_complete();
    end.set_request_id(summary.id.str());
    end.set_host(summary.host.str());
    end.set_endpoint(summary.endpoint.str());
    end.set_attempts(static_cast<std::uint32_t>(summary.attempts));
    end.set_finish_reason(summary.finish_reason);
    end.set_prompt_tokens(summary.usage.prompt_tokens);
    end.set_completion_tokens(summary.usage.completion_tokens);
    end.set_cached_tokens(summary.usage.cached_tokens);
    end.set_tokens_billed(summary.tokens_billed);
    end.set_tokens_remaining(summary.tokens_remaining);
    out_.Write(part);
  }
  void fail(const refusal& refused) override {
    wire::follow_part part;
    part.mutable_refused()->set_kind(std::string{name_of(refused.kind)});
    part.mutable_refused()->set_message(refused.message);
    part.mutable_refused()->set_request_id(refused.id.str());
    out_.Write(part);
  }
  [[nodiscard]] bool delivered() const noexcept override { return false; }
  [[nodiscard]] bool gone() noexcept override { return context_.IsCancelled(); }

 private:
  grpc::ServerWriter<wire::follow_part>& out_;
  grpc::ServerContext& context_;
};

} // namespace

class peer_server::service final : public wire::peer::Service {
 public:
  service(peer_listener& listener, const peer_credentials& credentials)
      : listener_{listener}, credentials_{credentials} {}

  // NOLINTBEGIN(readability-identifier-naming): names given by the protocol
  grpc::Status Deliver(grpc::ServerContext* context, const wire::envelope_batch* batch,
                       wire::deliver_reply*) override {
    for (const wire::envelope& message : batch->envelopes()) {
      if (credentials_.speaks_for(*context, message.from_host()))
        listener_.on_envelope(message);
      else
        listener_.on_impostor(message.from_host());
    }
    return grpc::Status::OK;
  }

  grpc::Status Follow(grpc::ServerContext* context, const wire::follow_request* request,
                      grpc::ServerWriter<wire::follow_part>* out) override {
    const auto record = listener_.answer(team_id{request->team()}, request->key());
    if (!record)
      return {grpc::StatusCode::NOT_FOUND, "no such answer"};
    follow_sink sink{*out, *context};
    if (!record->play(sink))
      return {grpc::StatusCode::DATA_LOSS, "the answer is no longer whole"};
    return grpc::Status::OK;
  }

  grpc::Status RecordsAfter(grpc::ServerContext*, const wire::records_request* request,
                            wire::records_reply* reply) override {
    *reply = listener_.records_after(request->after(), request->most());
    return grpc::Status::OK;
  }

  grpc::Status State(grpc::ServerContext*, const wire::state_request*,
                     grpc::ServerWriter<wire::state_part>* out) override {
    const auto send = [out](std::string bytes) {
      wire::state_part part;
      part.set_data(std::move(bytes));
      return out->Write(part);
    };
    if (!listener_.state(send))
      return {grpc::StatusCode::UNAVAILABLE, "this host has no state, or is sending it to others"};
    return grpc::Status::OK;
  }

  grpc::Status Burn(grpc::ServerContext*, const wire::burn_request*,
                    wire::burn_reply* reply) override {
    *reply = listener_.burn();
    return grpc::Status::OK;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  peer_listener& listener_;
  const peer_credentials& credentials_;
};

peer_server::peer_server(const std::string& listen, peer_listener& listener,
                         const peer_credentials& credentials)
    : service_{std::make_unique<service>(listener, credentials)} {
  grpc::ResourceQuota quota;
  quota.SetMaxThreads(most_threads);
  grpc::ServerBuilder builder;
  builder.SetResourceQuota(quota);
  builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, least_pollers);
  builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, most_pollers);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             least_ping_interval_ms);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder.AddListeningPort(listen, credentials.for_server());
  builder.RegisterService(service_.get());
  server_ = builder.BuildAndStart();
  if (!server_)
    throw error{error_kind::invalid_settings, "/listen/peers", "cannot listen on " + listen};
}

peer_server::~peer_server() {
  stop();
}

void peer_server::stop() {
  if (server_)
    server_->Shutdown(std::chrono::system_clock::now() + stop_grace);
}

} // namespace sedgechute
