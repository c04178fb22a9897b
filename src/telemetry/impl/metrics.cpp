#include "telemetry/impl/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <fstream>
#include <stdexcept>
#include <sys/resource.h>
#include <unistd.h>

namespace sedgechute {

namespace {

constexpr std::string_view overflow_label = "other";

std::string joined(const std::vector<std::string>& labels) {
  std::string key;
  for (const std::string& label : labels)
    key.append(label).push_back('\0');
  return key;
}

prometheus::Labels named(const metric_family& row, const std::vector<std::string>& values) {
  prometheus::Labels labels;
  for (std::size_t i = 0; i < values.size(); ++i)
    labels.emplace(row.labels[i], values[i]);
  return labels;
}

template <typename T>
T& only(std::variant<prometheus::Counter*, prometheus::Gauge*, prometheus::Histogram*> found,
        metric id) {
  if (T** wanted = std::get_if<T*>(&found))
    return **wanted;
  throw std::logic_error{std::string{family_of(id).name} + " has another type"};
}

} // namespace

metrics::metrics(const std::string& host, std::size_t most_series) : most_series_{most_series} {
  for (const metric_family& row : metric_families())
    families_.push_back({make_family(row, host), {}});
}

metrics::~metrics() = default;

metrics::family metrics::make_family(const metric_family& row, const std::string& host) {
  const std::string name{row.name};
  const std::string help{row.help};
  const std::map<std::string, std::string> constant{{"host", host}};
  switch (row.kind) {
  case metric_kind::counter:
    return &prometheus::BuildCounter().Name(name).Help(help).Labels(constant).Register(registry_);
  case metric_kind::gauge:
    return &prometheus::BuildGauge().Name(name).Help(help).Labels(constant).Register(registry_);
  case metric_kind::histogram:
    break;
  }
  return &prometheus::BuildHistogram().Name(name).Help(help).Labels(constant).Register(registry_);
}

metrics::series metrics::at(metric id, label_values labels) {
  if (labels.size() != family_of(id).label_count())
    throw std::logic_error{std::string{family_of(id).name} + " has other labels"};
  return find_or_add(id, std::vector<std::string>{labels.begin(), labels.end()});
}

// Label values such as team names come from documents; a family that is full counts new ones
// together, so that no document can make a host run out of memory.
metrics::series metrics::find_or_add(metric id, const std::vector<std::string>& labels) {
  const std::scoped_lock lock{mutex_};
  kept_family& kept = families_[static_cast<std::size_t>(id)];
  std::string key = joined(labels);
  if (const auto found = kept.by_labels.find(key); found != kept.by_labels.end())
    return found->second;
  std::vector<std::string> values = labels;
  if (kept.by_labels.size() >= most_series_) {
    values.assign(labels.size(), std::string{overflow_label});
    key = joined(values);
    if (const auto found = kept.by_labels.find(key); found != kept.by_labels.end())
      return found->second;
  }
  const prometheus::Labels full = named(family_of(id), values);
  const auto add_to = [&]<typename T>(prometheus::Family<T>* target) -> series {
    if constexpr (std::is_same_v<T, prometheus::Histogram>)
      return &target->Add(full,
                          std::vector<double>{bucket_bounds().begin(), bucket_bounds().end()});
    else
      return &target->Add(full);
  };
  return kept.by_labels.emplace(std::move(key), std::visit(add_to, kept.target)).first->second;
}

void metrics::add(metric id, label_values labels, double amount) {
  const series found = at(id, labels);
  if (prometheus::Counter* const* counter = std::get_if<prometheus::Counter*>(&found))
    (*counter)->Increment(amount);
  else
    only<prometheus::Gauge>(found, id).Increment(amount);
}

void metrics::set(metric id, label_values labels, double value) {
  gauge_at(id, labels).Set(value);
}

void metrics::observe(metric id, label_values labels, double seconds) {
  histogram_at(id, labels).Observe(seconds);
}

prometheus::Counter& metrics::counter_at(metric id, label_values labels) {
  return only<prometheus::Counter>(at(id, labels), id);
}

prometheus::Gauge& metrics::gauge_at(metric id, label_values labels) {
  return only<prometheus::Gauge>(at(id, labels), id);
}

prometheus::Histogram& metrics::histogram_at(metric id, label_values labels) {
  return only<prometheus::Histogram>(at(id, labels), id);
}

void metrics::sample_process() {
  std::ifstream statm{"/proc/self/statm"};
  double pages = 0;
  double resident = 0;
  statm >> pages >> resident;
  set(metric::resident_bytes, {}, resident * static_cast<double>(sysconf(_SC_PAGESIZE)));
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  constexpr double us_a_second = 1e6;
  const double cpu =
      static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
      static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / us_a_second;
  prometheus::Counter& counter = counter_at(metric::cpu_seconds);
  counter.Increment(cpu - counter.Value());
}

std::string metrics::text() const {
  return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace sedgechute
