// What the program says of a settings file.

#include "process.hpp"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace {

struct said {
  int exit_code{};
  std::string text;
};

/// \param text  of the settings file; none is written where it is null
said run(const char* text, std::vector<std::string> arguments) {
  const std::string folder = Poco::TemporaryFile::tempName();
  Poco::File{folder}.createDirectories();
  if (text != nullptr)
    std::ofstream{folder + "/settings.json"} << text;
  for (std::string& one : arguments)
    if (one == "FILE")
      one = folder + "/settings.json";
  said result;
  {
    sedgechute::fleet_test::process program{std::string{SEDGECHUTE_PROGRAMS} + "/sedgechute-entry",
                                            arguments, folder + "/output"};
    result.exit_code = program.wait(8000);
  }
  std::ifstream in{folder + "/output"};
  std::ostringstream all;
  all << in.rdbuf();
  result.text = all.str();
  Poco::File{folder}.remove(true);
  return result;
}

std::size_t faults_in(const std::string& text) {
  std::size_t count = 0;
  for (std::size_t at = text.find("sedgechute-entry: "); at != std::string::npos;
       at = text.find("sedgechute-entry: ", at + 1))
    ++count;
  return count;
}

} // namespace

TEST_CASE("a check of good settings says so, and which names are ignored") {
  const said result =
      run(R"({"host":"h","data_centre":"dc","callers":"127.0.0.1:1","peers":"127.0.0.1:2",
              "status":"127.0.0.1:3","store":"127.0.0.1:4","new":1})",
          {"--settings", "FILE", "--check"});
  CHECK(result.exit_code == 0);
  CHECK(result.text.find("/new: unknown, ignored") != std::string::npos);
  CHECK(result.text.find("settings of host h are valid") != std::string::npos);
}

// Settings with several mistakes: both the check and a start name them all, and end with an exit
// code that says that the settings are to blame.
TEST_CASE("a check and a start name every fault of the settings") {
  for (const bool check : {true, false}) {
    std::vector<std::string> arguments{"--settings", "FILE"};
    if (check)
      arguments.emplace_back("--check");
    const said result =
        run(R"({"host":"h","data_centre":"dc","callers":"x","grace_s":0})", arguments);
    CHECK(result.exit_code == 2);
    CHECK(faults_in(result.text) == 5);
    for (const char* path :
         {"/callers: is not IP:port: x", "/peers: is missing", "/status: is missing",
          "/store: is missing", "/grace_s: 0 ms leave no time"})
      CHECK(result.text.find("settings.json " + std::string{path}) != std::string::npos);
  }
}

TEST_CASE("a file that is not there, no file, a folder and bytes that are no text are named") {
  const said missing = run(nullptr, {"--settings", "FILE", "--check"});
  CHECK(missing.exit_code == 2);
  CHECK(missing.text.find("settings.json: cannot be read") != std::string::npos);
  const said folder = run(nullptr, {"--settings", "/", "--check"});
  CHECK(folder.exit_code == 2);
  CHECK(folder.text.find("/: cannot be read") != std::string::npos);
  const said unnamed = run(nullptr, {"--check"});
  CHECK(unnamed.exit_code == 2);
  CHECK(unnamed.text.find("no file is named") != std::string::npos);
  const said garbage = run("\xff\xfe", {"--settings", "FILE", "--check"});
  CHECK(garbage.exit_code == 2);
  CHECK(garbage.text.find("settings.json: not valid UTF-8") != std::string::npos);
  const said empty = run("", {"--settings", "FILE", "--check"});
  CHECK(empty.exit_code == 2);
  CHECK(empty.text.find("settings.json: empty") != std::string::npos);
}
