#include "config/config.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace sedgechute;

namespace {

[[nodiscard]] std::string read_page(const std::string& name) {
  std::ifstream file{std::string{SEDGECHUTE_SOURCE_DIR} + "/docs/" + name};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

[[nodiscard]] bool holds(const std::string& page, const std::string& table) {
  return page.find(table) != std::string::npos;
}

} // namespace

TEST_CASE("the pages hold the tables that the checks go by") {
  CHECK(holds(read_page("SETTINGS.md"), schema_page(host_settings_table().info())));
  CHECK(holds(read_page("CONTRACTS.md"), schema_page(contract_table().info())));
  CHECK(holds(read_page("CONTRACTS.md"), schema_page(fleet_settings_table().info())));
}

TEST_CASE("every field of every schema has a meaning and a range") {
  const std::string page = schema_page(host_settings_table().info()) +
                           schema_page(contract_table().info()) +
                           schema_page(fleet_settings_table().info());
  CHECK(page.find("|  |\n") == std::string::npos);
  CHECK(holds(page, "| `/timeouts/caller_body_ms` | whole number | ms | 1 to 600000 | `30000` |"));
}
