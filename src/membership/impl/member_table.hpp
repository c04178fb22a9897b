#pragma once

#include "membership/impl/member.hpp"
#include "membership/impl/membership_options.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief The known incarnations, the rules for merging updates about them, and the queue of
/// updates to gossip.
class member_table {
 public:
  member_table(member_update self, const membership_options& options, std::uint64_t seed);

  /// \brief Merges an update; refutes one that wrongly calls this process suspect or dead.
  /// \param disseminate  whether to gossip it; those of a full exchange are mostly known already
  void merge(time_ms now, const member_update& update, bool disseminate = true);
  /// \brief Marks a live member as suspect.
  void suspect(time_ms now, const incarnation& who);
  /// \brief Marks a member as dead. To be called on proof, e.g. an answer of another incarnation at
  /// its address.
  void declare_dead(time_ms now, const incarnation& who);
  /// \brief Marks every live incarnation of a host as leaving.
  void mark_leaving(const host_id& host);
  /// \brief Marks this process as leaving.
  void leave();
  /// \brief Marks this process as dead.
  void stop();

  /// \brief Marks suspects as dead after the suspicion timeout and removes old tombstones.
  void expire(time_ms now);
  /// \brief Extends every suspicion by `span`, in which this process could not receive refutations.
  void postpone_suspicions(time_ms span);

  [[nodiscard]] const member_update& self() const noexcept { return self_; }
  /// \returns the live and suspect members without this process, in probe order
  [[nodiscard]] const std::vector<incarnation>& live_others() const noexcept {
    return probe_order_;
  }
  /// \returns the latest update about `who`, or null
  [[nodiscard]] const member_update* find(const incarnation& who) const;
  [[nodiscard]] bool host_is_live(const host_id& host) const;
  /// \returns updates about dead incarnations of `host`, at most `max_gossip_updates`
  [[nodiscard]] std::vector<member_update> dead_incarnations_of(const host_id& host) const;
  /// \returns updates about all live and suspect members without this process
  [[nodiscard]] std::vector<member_update> live_updates() const;

  [[nodiscard]] bool has_outgoing_updates() const noexcept {
    return self_sends_left_ > 0 || !outgoing_updates_.empty();
  }
  /// \brief Takes up to `count` queued updates. Each is returned a bounded number of times, so that
  /// it reaches all members.
  [[nodiscard]] std::vector<member_update> take_outgoing_updates(std::size_t count);

  /// \returns the current view; its version is raised only if a member or its state has changed
  [[nodiscard]] const membership_view& view();

 private:
  using update_queue = std::multimap<std::uint32_t, incarnation>;
  struct record {
    member_update latest;
    time_ms since;                                ///< start of the current state
    std::optional<update_queue::iterator> queued; ///< in `outgoing_updates_`
  };
  using records = std::map<incarnation, record>;

  void refute(const member_update& update);
  void add(time_ms now, const member_update& update, bool disseminate);
  void apply(time_ms now, record& known, const member_update& update);
  void suspect_other_incarnations(time_ms now, const incarnation& who);
  void set_state(time_ms now, record& known, member_state state);
  void enqueue(record& changed);
  void dequeue(record& known);
  void enqueue_self();
  void insert_into_probe_order(const incarnation& who);
  [[nodiscard]] records::const_iterator first_record_of(const host_id& host) const;
  [[nodiscard]] std::uint32_t sends_per_update() const;

  member_update self_;
  membership_options options_;
  random_source random_;
  records records_;
  std::vector<incarnation> probe_order_;
  std::vector<incarnation> suspects_;
  update_queue outgoing_updates_; ///< by number of sends, so that new updates come first
  std::uint32_t self_sends_left_{0};
  time_ms next_cleanup_;
  time_ms started_;
  bool started_known_{false};
  membership_view view_;
  bool view_changed_{true};
};

} // namespace sedgechute
