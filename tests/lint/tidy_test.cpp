// A record of a clean file that outlives a change would hide findings from then on.

#include "process.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using sedgechute::fleet_test::process;

namespace {

constexpr int timeout_ms = 120000;

constexpr const char* clean_header = "#pragma once\ninline int twice(int i) { return 2 * i; }\n";
constexpr const char* bad_header =
    "#pragma once\ninline int twice(int i) { int* none = 0; return none ? 1 : 2 * i; }\n";

/// A small project with its own cache of records.
class project {
 public:
  project() {
    char name[] = "/tmp/sedgechute-tidy-XXXXXX"; // NOLINT(cppcoreguidelines-avoid-c-arrays)
    root_ = mkdtemp(name);
    std::filesystem::create_directories(root_ / "src/inner");
    write("src/inner/twice.hpp", clean_header);
    write("src/outer.hpp", "#pragma once\n#include \"inner/twice.hpp\"\n");
    write("src/a.cpp", "#include \"outer.hpp\"\nint a() { return twice(1); }\n");
    write("src/b.cpp", "int b() { return 1; }\n");
    write(".clang-tidy", "Checks: '-*,modernize-use-nullptr'\n"
                         "HeaderFilterRegex: '.*'\n");
    options("-DFIRST");
  }
  project(const project&) = delete;
  project& operator=(const project&) = delete;
  ~project() { std::filesystem::remove_all(root_); }

  void write(const std::string& name, const std::string& text) const {
    std::ofstream{root_ / name} << text;
  }

  /// \brief Sets the compiler options of both sources.
  void options(const std::string& flags) const {
    std::string all = "[";
    for (const std::string source : {"src/a.cpp", "src/b.cpp"}) {
      const std::string path = (root_ / source).string();
      all += std::string{all.size() > 1 ? "," : ""} + R"({"directory":")" + root_.string() +
             R"(","file":")" + path + R"(","command":"c++ -I)" + root_.string() + "/src " + flags +
             " -c " + path + R"("})";
    }
    write("compile_commands.json", all + "]");
  }

  /// \returns the exit code of a check of both sources
  [[nodiscard]] int check() const {
    const std::string script = "cd " + root_.string() + " && XDG_CACHE_HOME=" + root_.string() +
                               "/cache exec " SEDGECHUTE_SOURCE_DIR
                               "/scripts/tidy.py . src/a.cpp src/b.cpp";
    process run{"/bin/sh", {"-c", script}, (root_ / "output").string()};
    return run.wait(timeout_ms);
  }

  /// \returns the number of checks that found a source clean
  [[nodiscard]] std::size_t records() const {
    const auto folder = root_ / "cache/sedgechute/tidy";
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator{folder}, {}));
  }

 private:
  std::filesystem::path root_;
};

} // namespace

TEST_CASE("a source that was found clean is not checked again") {
  const project at;
  REQUIRE(at.check() == 0);
  CHECK(at.records() == 2);
  CHECK(at.check() == 0);
  CHECK(at.records() == 2);
}

TEST_CASE("a header that changes has all sources checked that include it, also indirectly") {
  const project at;
  REQUIRE(at.check() == 0);
  at.write("src/inner/twice.hpp", bad_header);
  CHECK(at.check() == 1);
  CHECK(at.check() == 1);
  CHECK(at.records() == 2);
  at.write("src/inner/twice.hpp", std::string{clean_header} + "\n");
  CHECK(at.check() == 0);
  CHECK(at.records() == 3);
}

TEST_CASE("other options, rules or sources are checked again") {
  const project at;
  REQUIRE(at.check() == 0);
  at.options("-DSECOND");
  CHECK(at.check() == 0);
  CHECK(at.records() == 4);
  at.write(".clang-tidy", "Checks: '-*,modernize-use-nullptr,modernize-use-override'\n");
  CHECK(at.check() == 0);
  CHECK(at.records() == 6);
  at.write("src/b.cpp", "int b() { int* none = 0; return none ? 1 : 2; }\n");
  CHECK(at.check() == 1);
  CHECK(at.records() == 6);
}
