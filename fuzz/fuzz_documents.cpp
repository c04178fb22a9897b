// Settings, contracts and fleet settings of any bytes: the check must answer, with a value or with
// problems, and a document that passes must read back as itself.

#include "config/config.hpp"

#include <cstdlib>

namespace {

using namespace sedgechute;

void require(bool holds) {
  if (!holds)
    std::abort();
}

template <typename T>
void check_kind(const object_table<T>& table, std::string_view text) {
  const auto first = check_document(table, "input", text);
  require(first ? first.problems.empty() : !first.problems.empty());
  if (!first)
    return;
  const std::string written = to_text(table.write(*first.value));
  const auto second = check_document(table, "written", written);
  require(static_cast<bool>(second));
  require(to_text(table.write(*second.value)) == written);
}

} // namespace

// The fuzzer calls it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text{reinterpret_cast<const char*>(data), size};
  check_kind(host_settings_table(), text);
  check_kind(contract_table(), text);
  check_kind(fleet_settings_table(), text);
  static_cast<void>(read_publish_request(text));
  static_cast<void>(key_id_of(text));
  static_cast<void>(address::parse(text));
  return 0;
}
