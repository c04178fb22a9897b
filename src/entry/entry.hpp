#pragma once

/// \file
/// \brief An entry host on the users' platform: settings, the watch over configuration and
/// endpoints, readiness, start and stop.

#include "entry/impl/entry_host.hpp"
#include "entry/impl/entry_settings.hpp"
#include "entry/impl/entry_settings_table.hpp"
#include "entry/impl/explain_request.hpp"
#include "entry/impl/fleet_watch.hpp"
#include "entry/impl/registered_endpoints.hpp"
#include "entry/impl/status_server.hpp"
