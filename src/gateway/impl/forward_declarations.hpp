#pragma once

namespace sedgechute {

struct gateway;
struct chat_limits;
struct chat_request;
struct admitted_chat;
struct run_context;
struct run_result;
struct refusal;
struct stream_event;
struct engine_chunk;
struct token_usage;
struct answer_summary;
class answer_sink;
class answer_record;
class answer_table;
class streaming_sink;
class collecting_sink;
class event_reader;
class engine_stream;
class endpoint_connections;
class caller_session;
class request_body;
class byte_source;
class body_decoder;
class endpoint_session;
class service_body;
class held_turn;
struct header_limits;
struct message_framing;
class caller_api;
class caller_router;
class http_server;
class request_guard;
struct caller_exchange;
struct caller_headers;
class host_port;
class access_port;
class budget_port;
class dispatch_port;
class claim_port;
class peer_answers_port;

} // namespace sedgechute
