#pragma once

#include "membership/impl/member.hpp"
#include "membership/impl/membership_options.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief Everything known about incarnations, with the rules that merge statements about them and
/// the queue of news still to be passed on.
class member_table {
 public:
  member_table(member_update self, const membership_options& options, std::uint64_t seed);

  /// \brief Takes in one statement; a wrong one about this process is refuted.
  /// \param disseminate  whether to pass it on; statements of a full exchange are mostly old
  void merge(time_ms now, const member_update& update, bool disseminate = true);
  /// \brief Starts the suspicion of a live member.
  void suspect(time_ms now, const incarnation& who);
  /// \brief Declares a member dead on proof, e.g. another incarnation answers at its address.
  void declare_dead(time_ms now, const incarnation& who);
  /// \brief Marks every live incarnation of a host as leaving.
  void mark_leaving(const host_id& host);
  void leave();
  void stop();

  /// \brief Turns unrefuted suspects into dead members and forgets old tombstones.
  void expire(time_ms now);
  /// \brief Gives every suspect `span` more, because this process could not hear refutations.
  void postpone_suspicions(time_ms span);

  [[nodiscard]] const member_update& self() const noexcept { return self_; }
  /// \returns the live members but this process, in the order in which they are to be probed
  [[nodiscard]] const std::vector<incarnation>& live_others() const noexcept {
    return probe_order_;
  }
  /// \returns what is known of `who`, or null
  [[nodiscard]] const member_update* find(const incarnation& who) const;
  [[nodiscard]] bool host_is_live(const host_id& host) const;
  /// \returns statements that call an incarnation of `host` dead
  [[nodiscard]] std::vector<member_update> dead_incarnations_of(const host_id& host) const;
  /// \returns statements about every live member, this process left out
  [[nodiscard]] std::vector<member_update> live_updates() const;

  [[nodiscard]] bool has_outgoing_updates() const noexcept {
    return self_sends_left_ > 0 || !outgoing_updates_.empty();
  }
  /// \brief Takes up to `count` pieces of news; each is handed out a bounded number of times.
  [[nodiscard]] std::vector<member_update> take_outgoing_updates(std::size_t count);

  /// \returns the view; its version moves only when a member or its state changed
  [[nodiscard]] const membership_view& view();

 private:
  using update_queue = std::multimap<std::uint32_t, incarnation>;
  struct record {
    member_update latest;
    time_ms since;                                ///< when the present state began
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
  update_queue
      outgoing_updates_; ///< by how often each was passed on, so that fresh news comes first
  std::uint32_t self_sends_left_{0};
  time_ms next_cleanup_;
  time_ms started_;
  bool started_known_{false};
  membership_view view_;
  bool view_changed_{true};
};

} // namespace sedgechute
