#pragma once

/// \file
/// \brief Structured logs, metrics, latency histograms, decision events and the burn report.

#include "telemetry/impl/burn_report.hpp"
#include "telemetry/impl/burn_series.hpp"
#include "telemetry/impl/decision_events.hpp"
#include "telemetry/impl/entry_faults.hpp"
#include "telemetry/impl/forward_declarations.hpp"
#include "telemetry/impl/json_text.hpp"
#include "telemetry/impl/latency_histogram.hpp"
#include "telemetry/impl/metric_table.hpp"
#include "telemetry/impl/metrics.hpp"
#include "telemetry/impl/structured_log.hpp"
