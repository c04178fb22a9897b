#include "relay/impl/prompt_parts.hpp"

#include "kernel/kernel.hpp"

#include <Poco/String.h>

#include <algorithm>
#include <string>

namespace sedgechute {

namespace {

std::string canonical_id(const std::string& id) {
  std::string text = Poco::toLower(Poco::trim(id));
  text.erase(0, std::min(text.find_first_not_of('0'), text.size()));
  return text;
}

} // namespace

std::vector<part_fingerprint> shared_parts(const generation_terms& generation,
                                           std::string_view service) {
  std::vector<part_fingerprint> parts;
  const std::uint64_t of_service = stable_hash(service);
  for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i)
    parts.push_back(mix_hash(of_service, stable_hash(canonical_id(generation.parts[i].id))));
  std::ranges::sort(parts);
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

} // namespace sedgechute
