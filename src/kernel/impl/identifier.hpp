#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sedgechute {

/// \brief A name that cannot be mixed up with a name of another kind.
template <typename Tag>
class identifier {
 public:
  identifier() = default;
  explicit identifier(std::string text) : text_{std::move(text)} {}

  [[nodiscard]] const std::string& str() const noexcept { return text_; }
  [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

  auto operator<=>(const identifier&) const = default;
  friend std::ostream& operator<<(std::ostream& out, const identifier& id) {
    return out << id.text_;
  }
  template <typename H>
  friend H AbslHashValue(H state, const identifier& id) { // NOLINT(readability-identifier-naming)
    return H::combine(std::move(state), id.text_);
  }

 private:
  std::string text_;
};

using host_id = identifier<struct host_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using team_id = identifier<struct team_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using pool_id = identifier<struct pool_tag>;
using model_id = identifier<struct model_tag>;
using request_id = identifier<struct request_tag>;

/// \brief One life of a host: its name and a random number drawn at start. A host that comes back
/// is a new incarnation and owns nothing of the old one.
struct incarnation {
  host_id host;
  std::uint64_t number{};

  auto operator<=>(const incarnation&) const = default;
  // The random number nearly always tells two lives apart, and compares faster than the name.
  bool operator==(const incarnation& other) const noexcept {
    return number == other.number && host == other.host;
  }
  friend std::ostream& operator<<(std::ostream& out, const incarnation& i) {
    return out << i.host << '#' << i.number;
  }
  template <typename H>
  friend H AbslHashValue(H state, const incarnation& i) { // NOLINT(readability-identifier-naming)
    return H::combine(std::move(state), i.host, i.number);
  }
};

} // namespace sedgechute

template <typename Tag>
struct std::hash<sedgechute::identifier<Tag>> {
  std::size_t operator()(const sedgechute::identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
