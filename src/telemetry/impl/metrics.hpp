#pragma once

#include "telemetry/impl/metric_table.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <initializer_list>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sedgechute {

/// \brief The metrics of one host, over prometheus-cpp. Safe for any number of threads.
///
/// Hot paths keep the reference that `counter_at`, `gauge_at` or `histogram_at` returns: it stays
/// valid, and updating through it takes no lock of this class.
class metrics {
 public:
  using label_values = std::initializer_list<std::string_view>;

  /// \param most_series  series kept per family; beyond it updates go to the labels "other"
  explicit metrics(const std::string& host, std::size_t most_series = 2000);
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  ~metrics();

  /// \brief Adds to a counter or gauge.
  /// \throws std::logic_error for a wrong number of labels or a histogram
  void add(metric id, label_values labels = {}, double amount = 1);
  /// \brief Sets a gauge.
  void set(metric id, label_values labels, double value);
  /// \brief Records a duration in a histogram.
  void observe(metric id, label_values labels, double seconds);

  [[nodiscard]] prometheus::Counter& counter_at(metric id, label_values labels = {});
  [[nodiscard]] prometheus::Gauge& gauge_at(metric id, label_values labels = {});
  [[nodiscard]] prometheus::Histogram& histogram_at(metric id, label_values labels = {});

  /// \brief Brings the process's memory and processor time up to date.
  void sample_process();

  /// \returns the text for `GET /metrics`
  [[nodiscard]] std::string text() const;

 private:
  using series = std::variant<prometheus::Counter*, prometheus::Gauge*, prometheus::Histogram*>;
  using family =
      std::variant<prometheus::Family<prometheus::Counter>*, prometheus::Family<prometheus::Gauge>*,
                   prometheus::Family<prometheus::Histogram>*>;
  struct kept_family {
    family target;
    std::unordered_map<std::string, series> by_labels;
  };

  [[nodiscard]] family make_family(const metric_family& row, const std::string& host);
  [[nodiscard]] series at(metric id, label_values labels);
  [[nodiscard]] series find_or_add(metric id, const std::vector<std::string>& labels);

  std::size_t most_series_;
  prometheus::Registry registry_;
  ordered_mutex mutex_{lock_rank::telemetry};
  std::vector<kept_family> families_;
};

} // namespace sedgechute
