#pragma once

#include "relay/impl/fleet_config.hpp"
#include "relay/impl/stream_builds.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief What is known of the build that began a stream which its caller takes up.
enum class resume_result {
  known,      ///< by a record
  sole_build, ///< the service has had no other since before the stream began
  unknown,
  gone, ///< no endpoint of the build is left
};

template <>
struct enum_names<resume_result> {
  static constexpr auto entries =
      enum_table<resume_result>({{resume_result::known, "known"},
                                 {resume_result::sole_build, "sole_build"},
                                 {resume_result::unknown, "unknown"},
                                 {resume_result::gone, "gone"}});
};

struct resume_decision {
  resume_result result{resume_result::unknown};
  std::optional<build_hash> build; ///< at which the stream may go on; nothing: it is refused
};

/// \param recorded    by the hosts that hold records of the stream
/// \param sole_build  returns the build of a service that has had no other in the stream's life;
///   called only without a record
/// \param serves      returns whether endpoints of a build may be sent requests
[[nodiscard]] resume_decision
decide_resume(const stream_build& recorded,
              const std::function<std::optional<build_hash>()>& sole_build,
              const std::function<bool(build_hash)>& serves);

/// \brief Time after the deadline of the attempt that began a stream, or last went on with it,
/// during which callers may take it up.
constexpr time_ms taken_up_after_deadline{60000};

/// \brief The longest times that callers have said they wait for an answer. Not thread-safe.
class caller_patience {
 public:
  /// \brief Takes the time that a caller waits for a request, from its first attempt on.
  void note(const std::string& route, std::string_view team, time_ms patience);
  /// \returns the longest time of the team's callers on the route, or of all callers while the team
  /// has sent nothing there; nothing before the first request
  [[nodiscard]] std::optional<time_ms> longest(const std::string& route,
                                               std::string_view team) const;

 private:
  struct route_patience {
    time_ms of_all;
    std::map<std::string, time_ms, std::less<>> of_team;
  };
  std::map<std::string, route_patience> routes_;
};

/// \param patience  how long the caller that takes the stream up still waits
/// \param longest   see `caller_patience`
/// \returns how long ago the stream can have begun at most; nothing when that is not known
[[nodiscard]] std::optional<time_ms> max_stream_age(const route& on,
                                                    std::optional<time_ms> patience,
                                                    std::optional<time_ms> longest) noexcept;

/// \brief Access to the records of streams and to the endpoint list.
struct stream_build_port {
  std::function<void(const stream_record&)> record;
  std::function<stream_build(stream_key)> find;
  /// Reads the endpoint list anew; returns false when that is not possible in time.
  std::function<bool()> refresh_endpoints;
};

} // namespace sedgechute
