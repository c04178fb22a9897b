#pragma once

/// \file
/// \brief The way of a request through an entry host: connections, routes, placement, retries and
/// the answer. What callers and endpoints speak is behind the port `wire_dialect`.

#include "relay/impl/choose_replica.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/connection_pool.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/endpoint_prober.hpp"
#include "relay/impl/event_splitter.hpp"
#include "relay/impl/fleet_config.hpp"
#include "relay/impl/fleet_source.hpp"
#include "relay/impl/forward_declarations.hpp"
#include "relay/impl/front_door.hpp"
#include "relay/impl/host_list.hpp"
#include "relay/impl/incoming_request.hpp"
#include "relay/impl/load_board.hpp"
#include "relay/impl/load_exchange.hpp"
#include "relay/impl/load_shedding.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/peer_channel.hpp"
#include "relay/impl/planned_stop.hpp"
#include "relay/impl/processor_watch.hpp"
#include "relay/impl/prompt_starts.hpp"
#include "relay/impl/reach_watch.hpp"
#include "relay/impl/request_relay.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/retry_allowance.hpp"
#include "relay/impl/send_outcome.hpp"
#include "relay/impl/send_rules.hpp"
#include "relay/impl/wire_dialect.hpp"
