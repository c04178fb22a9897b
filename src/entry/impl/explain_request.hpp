#pragma once

#include <iosfwd>
#include <string>

namespace sedgechute {

/// \brief Picks from the log lines of any number of hosts what concerns one request, and what the
/// hosts that touched it believed: the configuration that was in force, the last word on the team's
/// account, endpoints and stores that were lost at the time. Lines may carry a prefix before their
/// JSON, such as a container's name.
/// \returns how many lines named the request
std::size_t explain_request(std::istream& lines, const std::string& request, std::ostream& out);

} // namespace sedgechute
