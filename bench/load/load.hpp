#pragma once

/// \file
/// \brief Load over real sockets: calls are played against hosts or engines, every answer is
/// checked token by token, and the result is counted by class and team.

#include "load/impl/answer_check.hpp"
#include "load/impl/audit.hpp"
#include "load/impl/load_call.hpp"
#include "load/impl/plan.hpp"
#include "load/impl/player.hpp"
#include "load/impl/process_watch.hpp"
#include "load/impl/report.hpp"
#include "load/impl/runner.hpp"
#include "load/impl/tally.hpp"
