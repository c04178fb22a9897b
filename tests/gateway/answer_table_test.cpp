#include "gateway/gateway.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace sedgechute;

namespace {

/// Keeps what it is given.
class memory_sink final : public answer_sink {
 public:
  bool event(const stream_event& event) override {
    text += event.data;
    return true;
  }
  void complete(const answer_summary& summary) override { completed = summary.id.str(); }
  void fail(const refusal& refused) override { failed = refused.kind; }
  [[nodiscard]] bool delivered() const noexcept override { return !text.empty(); }
  [[nodiscard]] bool gone() noexcept override { return false; }

  std::string text;
  std::string completed;
  std::optional<error_kind> failed;
};

void end(answer_record& record, const std::string& id) {
  answer_summary summary;
  summary.id = request_id{id};
  record.complete(summary);
}

} // namespace

TEST_CASE("a retry that joins a running answer gets all of it, from the first event to the end") {
  answer_table table{1 << 20, 1 << 16};
  const auto record = table.create(team_id{"t"}, "k");
  CHECK(record->event({1, "a"}));
  memory_sink joined;
  std::thread retry{[&] { CHECK(table.find(team_id{"t"}, "k")->play(joined)); }};
  CHECK(record->event({2, "b"}));
  end(*record, "run");
  retry.join();
  CHECK(joined.text == "ab");
  CHECK(joined.completed == "run");
}

TEST_CASE("a retry gets the refusal that the first attempt got") {
  answer_table table{1 << 20, 1 << 16};
  table.create(team_id{"t"}, "k")->fail({error_kind::stream_cut, "", {}, {}});
  memory_sink retry;
  CHECK(table.find(team_id{"t"}, "k")->play(retry));
  CHECK(retry.failed == error_kind::stream_cut);
}

TEST_CASE("an answer past its bound is not played in part") {
  answer_record record{100};
  CHECK(record.event({1, std::string(200, 'x')}));
  end(record, "run");
  memory_sink retry;
  CHECK_FALSE(record.play(retry));
  CHECK(retry.text.empty());
}

// One team sends thousands of keyed requests. Its answers must not push the few of another team
// out of the host's memory, or that team's retries would be told "outcome unknown".
TEST_CASE("the team that holds most loses its oldest answers first") {
  answer_table table{20000, 1 << 16};
  end(*table.create(team_id{"small"}, "only"), "s");
  for (int i = 0; i < 200; ++i) {
    end(*table.create(team_id{"large"}, std::to_string(i)), "l");
    table.trim();
  }
  CHECK(table.find(team_id{"small"}, "only"));
  CHECK_FALSE(table.find(team_id{"large"}, "0"));
  CHECK(table.find(team_id{"large"}, "199"));
}
