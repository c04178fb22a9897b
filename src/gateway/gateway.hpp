#pragma once

/// \file
/// \brief The callers' side of a host: HTTP server, chat runs on engines, calls to plain services,
/// and the ports through which they reach the host's decisions.

#include "gateway/impl/answer.hpp"
#include "gateway/impl/answer_table.hpp"
#include "gateway/impl/bill_request.hpp"
#include "gateway/impl/caller_api.hpp"
#include "gateway/impl/caller_headers.hpp"
#include "gateway/impl/caller_router.hpp"
#include "gateway/impl/caller_session.hpp"
#include "gateway/impl/chat_request.hpp"
#include "gateway/impl/chat_sinks.hpp"
#include "gateway/impl/endpoint_connections.hpp"
#include "gateway/impl/engine_chunk.hpp"
#include "gateway/impl/engine_stream.hpp"
#include "gateway/impl/event_reader.hpp"
#include "gateway/impl/forward_declarations.hpp"
#include "gateway/impl/gateway.hpp"
#include "gateway/impl/held_turn.hpp"
#include "gateway/impl/http_server.hpp"
#include "gateway/impl/kept_chat.hpp"
#include "gateway/impl/keyed_answer.hpp"
#include "gateway/impl/ports.hpp"
#include "gateway/impl/refusal.hpp"
#include "gateway/impl/request_body.hpp"
#include "gateway/impl/request_guard.hpp"
#include "gateway/impl/request_header.hpp"
#include "gateway/impl/run_request.hpp"
#include "gateway/impl/service_body.hpp"
#include "gateway/impl/service_call.hpp"
#include "gateway/impl/utf8.hpp"
