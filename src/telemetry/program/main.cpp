#include "telemetry/telemetry.hpp"

#include <iostream>

// Prints docs/METRICS.md from the table of metrics.
int main() {
  std::cout << sedgechute::metrics_page();
}
