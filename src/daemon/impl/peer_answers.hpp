#pragma once

#include "daemon/impl/peer_links.hpp"
#include "gateway/gateway.hpp"

namespace sedgechute {

/// \brief Follows answers that other hosts are giving.
class peer_answers final : public peer_answers_port {
 public:
  explicit peer_answers(peer_links& peers) : peers_{peers} {}

  [[nodiscard]] follow_end follow(const host_id& host, const team_id& team, const std::string& key,
                                  answer_sink& sink) override;

 private:
  peer_links& peers_;
};

} // namespace sedgechute
