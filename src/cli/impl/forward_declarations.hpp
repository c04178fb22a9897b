#pragma once

namespace sedgechute::cli {

enum class exit_code;
struct options;
struct api_answer;
class api_client;
class failure;
struct invocation;
struct subcommand;

} // namespace sedgechute::cli
