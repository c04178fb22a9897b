#include "pool/impl/deployment.hpp"

#include "kernel/kernel.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fstream>
#include <iterator>

namespace sedgechute::pool {

namespace {

using object = Poco::JSON::Object;

object::Ptr inner(const object& of, const std::string& name) {
  const object::Ptr found = of.getObject(name);
  if (!found)
    throw error{error_kind::invalid_settings, name, "is missing"};
  return found;
}

Poco::JSON::Array::Ptr list(const object& of, const std::string& name) {
  const Poco::JSON::Array::Ptr found = of.getArray(name);
  if (!found || found->empty())
    throw error{error_kind::invalid_settings, name, "is missing or empty"};
  return found;
}

double number(const object& of, const std::string& name) {
  if (!of.has(name))
    throw error{error_kind::invalid_settings, name, "is missing"};
  return of.getValue<double>(name);
}

std::uint32_t whole(const object& of, const std::string& name) {
  const double value = number(of, name);
  if (value < 0)
    throw error{error_kind::invalid_settings, name, "is negative"};
  return static_cast<std::uint32_t>(value);
}

std::vector<double> numbers(const object& of, const std::string& name) {
  std::vector<double> values;
  const auto from = list(of, name);
  for (unsigned int i = 0; i < from->size(); ++i)
    values.push_back(from->getElement<double>(i));
  return values;
}

token_length read_length(const object& of) {
  return {number(of, "mean"), number(of, "spread"), number(of, "most")};
}

engine_sheet read_sheet(const object& of) {
  engine_sheet sheet;
  sheet.batch = whole(of, "batch");
  sheet.queue = whole(of, "queue");
  sheet.memory_tokens = whole(of, "memory_tokens");
  sheet.step_ms = number(of, "step_ms");
  sheet.step_ms_each_running = number(of, "step_ms_each_running");
  sheet.step_ms_each_1000_kept = number(of, "step_ms_each_1000_kept");
  sheet.tokens_read_a_ms = number(of, "tokens_read_a_ms");
  sheet.read_ms_each_million_pairs = number(of, "read_ms_each_million_pairs");
  sheet.first_ms = number(of, "first_ms");
  sheet.chunk_tokens = whole(of, "chunk_tokens");
  sheet.event_tokens = whole(of, "event_tokens");
  sheet.fetch_setup_ms = number(of, "fetch_setup_ms");
  sheet.tokens_fetched_a_ms = number(of, "tokens_fetched_a_ms");
  sheet.report_lag_ms = number(of, "report_lag_ms");
  return sheet;
}

traffic_kind read_kind(const object& of) {
  traffic_kind kind;
  kind.name = of.getValue<std::string>("name");
  kind.per_s = number(of, "per_s");
  kind.aim_ms = number(of, "aim_ms");
  kind.pause_ms = number(of, "pause_ms");
  kind.deadline_ms = number(of, "deadline_ms");
  kind.worth = number(of, "worth");
  kind.worth_late = number(of, "worth_late");
  kind.own_tokens = read_length(*inner(of, "own_tokens"));
  kind.events = read_length(*inner(of, "events"));
  kind.retries = whole(of, "retries");
  const auto parts = list(of, "shared");
  for (unsigned int i = 0; i < parts->size(); ++i) {
    const auto part = parts->getObject(i);
    kind.shared.push_back({read_length(*part), whole(*part, "choices"), number(*part, "skew")});
  }
  return kind;
}

way_times read_ways(const object& of) {
  return {number(of, "caller"), number(of, "within_zone"), number(of, "between_zones"),
          number(of, "host")};
}

deployment read_whole(const object& of) {
  deployment read;
  read.name = of.getValue<std::string>("name");
  read.engines = whole(of, "engines");
  read.slowness = numbers(of, "slowness");
  read.sheet = read_sheet(*inner(of, "engine"));
  read.ways = read_ways(*inner(of, "ways_ms"));
  read.team_parts = numbers(of, "team_parts");
  read.clump = number(of, "clump");
  read.clump_gap_ms = number(of, "clump_gap_ms");
  read.swing = number(of, "swing");
  read.swing_period_ms = number(of, "swing_period_ms");
  const auto zones = list(of, "zones");
  for (unsigned int i = 0; i < zones->size(); ++i)
    read.zones.push_back(
        {whole(*zones->getObject(i), "hosts"), whole(*zones->getObject(i), "callers")});
  const auto kinds = list(of, "kinds");
  for (unsigned int i = 0; i < kinds->size(); ++i)
    read.kinds.push_back(read_kind(*kinds->getObject(i)));
  return read;
}

} // namespace

deployment read_deployment(const std::string& path) {
  std::ifstream file{path};
  if (!file)
    throw error{error_kind::invalid_settings, path, "cannot be read"};
  const std::string text{std::istreambuf_iterator<char>{file}, {}};
  try {
    Poco::JSON::Parser parser;
    return read_whole(*parser.parse(text).extract<object::Ptr>());
  } catch (const Poco::Exception& reason) {
    throw error{error_kind::invalid_settings, path, reason.displayText()};
  } catch (const error& reason) {
    throw error{reason.kind(), path, reason.what()};
  }
}

} // namespace sedgechute::pool
