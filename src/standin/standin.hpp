#pragma once

/// \file
/// \brief Small stand-ins of the outside systems, by the protocols of docs/PLATFORM.md.

#include "standin/impl/engine.hpp"
#include "standin/impl/faults.hpp"
#include "standin/impl/fleet.hpp"
#include "standin/impl/forward_declarations.hpp"
#include "standin/impl/host_list.hpp"
#include "standin/impl/http_server.hpp"
#include "standin/impl/log_store.hpp"
#include "standin/impl/pacer.hpp"
#include "standin/impl/plain_service.hpp"
#include "standin/impl/prefix_cache.hpp"
#include "standin/impl/prompt.hpp"
#include "standin/impl/topic_store.hpp"
#include "standin/impl/weight_store.hpp"
