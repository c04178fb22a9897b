#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief The plug-ins of one kind, by name. A plug-in adds itself from its own source file:
///
/// ```cpp
/// const registry<caller_api>::entry registered{"openai", [] { return ...; }};
/// ```
///
/// Its file must be part of an object library: a static library would let the linker drop it.
template <typename Plugin>
class registry {
 public:
  using factory = std::function<std::unique_ptr<Plugin>()>;

  /// \brief Adds a plug-in for the life of the program.
  struct entry {
    entry(std::string name, factory make) { table().emplace(std::move(name), std::move(make)); }
  };

  /// \returns the plug-in, or null if none has this name.
  [[nodiscard]] static std::unique_ptr<Plugin> make(const std::string& name) {
    const auto found = table().find(name);
    return found == table().end() ? nullptr : found->second();
  }

  [[nodiscard]] static std::vector<std::string> names() {
    std::vector<std::string> all;
    for (const auto& [name, make_plugin] : table())
      all.push_back(name);
    return all;
  }

 private:
  // A function-local table exists before the first entry in any source file needs it.
  static std::map<std::string, factory>& table() {
    static std::map<std::string, factory> plugins;
    return plugins;
  }
};

} // namespace sedgechute
