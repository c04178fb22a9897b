#pragma once

/// \file
/// \brief The operators' command-line tool: subcommands that register themselves, over the admin
/// API of any host.

#include "cli/impl/api_client.hpp"
#include "cli/impl/exit_code.hpp"
#include "cli/impl/forward_declarations.hpp"
#include "cli/impl/options.hpp"
#include "cli/impl/output.hpp"
#include "cli/impl/run.hpp"
#include "cli/impl/subcommand.hpp"
