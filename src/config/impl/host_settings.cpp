#include "config/impl/host_settings.hpp"

namespace sedgechute {
namespace {

constexpr integer_range short_time{1, 600'000};
constexpr length_range path_length{0, 1024};

[[nodiscard]] value_rule<std::string> path_rule() {
  return text_rule(path_length);
}

const object_table<listen_settings>& listen_table() {
  static const object_table<listen_settings> table{
      {make_field("callers", &listen_settings::callers, address_rule(), "HTTP for callers",
                  presence::required),
       make_field("peers", &listen_settings::peers, address_rule(), "gRPC between hosts",
                  presence::required),
       make_field("admin", &listen_settings::admin, address_rule(), "HTTP for operators",
                  presence::required)}};
  return table;
}

const object_table<platform_settings>& platform_table() {
  static const object_table<platform_settings> table{
      {make_field("log", &platform_settings::log, address_rule(), "The log service",
                  presence::required),
       make_field("host_list", &platform_settings::host_list, address_rule(),
                  "The list of live hosts", presence::required),
       make_field("weights", &platform_settings::weights, address_rule(), "The weight store",
                  presence::required),
       make_field("stream", &platform_settings::stream, name_rule(),
                  "Stream of the log that the fleet shares"),
       make_field("timeout_ms", &platform_settings::timeout, time_rule(short_time),
                  "Longest wait for an answer of an outside service"),
       make_field("poll_ms", &platform_settings::poll, time_rule(short_time),
                  "How long a read of the log waits for new records"),
       make_field("host_list_interval_ms", &platform_settings::host_list_interval,
                  time_rule(short_time), "Time between two reads of the host list")}};
  return table;
}

const object_table<worker_settings>& worker_table() {
  static const object_table<worker_settings> table{
      {make_field("callers", &worker_settings::callers, integer_rule({1, 8192}, "threads"),
                  "Threads that serve callers"),
       make_field("peers", &worker_settings::peers, integer_rule({1, 256}, "threads"),
                  "Threads that serve other hosts"),
       make_field("background", &worker_settings::background, integer_rule({1, 256}, "threads"),
                  "Threads for the log, load reports and housekeeping")}};
  return table;
}

const object_table<host_limits>& limits_table() {
  static const object_table<host_limits> table{
      {make_field("connections", &host_limits::connections,
                  integer_rule({16, 65536}, "connections"), "Open connections of callers"),
       make_field("request_bytes", &host_limits::request_bytes,
                  integer_rule({1024, 64 << 20}, "bytes"), "Largest body of a request"),
       make_field("header_bytes", &host_limits::header_bytes,
                  integer_rule({1024, 1 << 20}, "bytes"), "Largest header of a request"),
       make_field("arriving_bytes", &host_limits::arriving_bytes,
                  integer_rule({1 << 20, std::int64_t{64} << 30}, "bytes"),
                  "Bodies of all requests that are still arriving; beyond it a request is refused"),
       make_field("receive_buffer_bytes", &host_limits::receive_buffer_bytes,
                  integer_rule({4096, 64 << 20}, "bytes"),
                  "What the kernel may hold of a caller's connection before it is read"),
       make_field("stream_buffer_bytes", &host_limits::stream_buffer_bytes,
                  integer_rule({4096, 16 << 20}, "bytes"),
                  "What is held of one stream for a reader that is slower than its endpoint"),
       make_field("retained_answer_bytes", &host_limits::retained_answer_bytes,
                  integer_rule({0, std::int64_t{4} << 30}, "bytes"),
                  "Memory for answers kept for retries"),
       make_field("retained_answers", &host_limits::retained_answers,
                  integer_rule({0, 10'000'000}, "answers"), "Answers kept for retries"),
       make_field("decision_events", &host_limits::decision_events,
                  integer_rule({0, 1'000'000}, "events"),
                  "Decisions kept for `sedgechute events` and `explain`")}};
  return table;
}

const object_table<host_timeouts>& timeouts_table() {
  static const object_table<host_timeouts> table{
      {make_field("caller_header_ms", &host_timeouts::caller_header, time_rule(short_time),
                  "Longest wait for a request's header"),
       make_field("caller_body_ms", &host_timeouts::caller_body, time_rule(short_time),
                  "Longest wait for a request's whole body"),
       make_field("caller_stall_ms", &host_timeouts::caller_stall, time_rule(short_time),
                  "A caller that has not sent 512 bytes for so long may be evicted where there is "
                  "no room for all"),
       make_field("caller_write_ms", &host_timeouts::caller_write, time_rule(short_time),
                  "Longest time without a byte taken by the reader of an answer"),
       make_field("endpoint_connect_ms", &host_timeouts::endpoint_connect, time_rule(short_time),
                  "Longest wait for a connection to an endpoint"),
       make_field("endpoint_idle_ms", &host_timeouts::endpoint_idle, time_rule(short_time),
                  "An unused connection to an endpoint is closed after this time"),
       make_field("peer_call_ms", &host_timeouts::peer_call, time_rule(short_time),
                  "Longest wait for an answer of another host")}};
  return table;
}

void check_tls_files(const tls_files& files, check_run& run) {
  if (files.certificate.empty() != files.key.empty())
    run.fault("certificate and key must be given together");
}

const object_table<tls_files>& tls_files_table() {
  static const object_table<tls_files> table{
      {make_field("certificate", &tls_files::certificate, path_rule(),
                  "PEM file of this host's certificate; empty for plain text"),
       make_field("key", &tls_files::key, path_rule(), "PEM file of its private key"),
       make_field("authorities", &tls_files::authorities, path_rule(),
                  "PEM file of the authorities that the other side must be signed by; empty "
                  "asks for no certificate")},
      check_tls_files};
  return table;
}

void check_tls(const tls_settings& tls, check_run& run) {
  if (tls.peers.enabled() && tls.peers.authorities.empty())
    run.fault_at("/peers/authorities", "is needed, for hosts authenticate each other");
  if (tls.peers.enabled() == tls.datagram_keys.empty())
    run.fault_at("/datagram_keys", "is needed with /tls/peers and only there, for hosts "
                                   "authenticate each other on both ways");
}

const object_table<tls_settings>& tls_table() {
  static const object_table<tls_settings> table{
      {make_field("callers", &tls_settings::callers, object_rule(tls_files_table()),
                  "Towards callers"),
       make_field("peers", &tls_settings::peers, object_rule(tls_files_table()),
                  "Between hosts, always mutual"),
       make_field("admin", &tls_settings::admin, object_rule(tls_files_table()),
                  "Towards operators"),
       make_field("datagram_keys", &tls_settings::datagram_keys, path_rule(),
                  "File of the keys for datagrams between hosts, one in hexadecimal a line; the "
                  "first signs, all are accepted"),
       make_field("reload_ms", &tls_settings::reload, time_rule({1000, 86'400'000}),
                  "Time between two looks for renewed files")},
      check_tls};
  return table;
}

const object_table<log_settings>& log_table() {
  static const object_table<log_settings> table{
      {make_field("level", &log_settings::level, choice_rule<log_level>(), "Least level written"),
       make_field("file", &log_settings::file, path_rule(), "Log file; empty for standard error"),
       make_field("repeats_per_s", &log_settings::repeats_per_s, integer_rule({1, 10'000}, "1/s"),
                  "Lines of one kind written a second; the rest is counted")}};
  return table;
}

const object_table<stop_settings>& stop_table() {
  static const object_table<stop_settings> table{{make_field(
      "notice_ms", &stop_settings::notice, time_rule({0, 600'000}),
      "How long a planned stop goes on taking requests after `/readyz` says `stopping`, "
      "for the balancer to notice")}};
  return table;
}

const object_table<operator_settings>& operator_table() {
  static const object_table<operator_settings> table{
      {make_field("name", &operator_settings::name, name_rule(), "Who the key belongs to",
                  presence::required),
       make_field("right", &operator_settings::right, choice_rule<operator_right>(),
                  "What the key allows"),
       make_field("key", &operator_settings::key, object_rule(hashed_key_table()),
                  "The key, salted and hashed by `sedgechute key new`", presence::required)}};
  return table;
}

void check_addresses(const host_settings& settings, check_run& run) {
  struct place {
    std::string_view pointer;
    address where;
  };
  const std::vector<place> places{{"/listen/callers", settings.listen.callers},
                                  {"/listen/peers", settings.listen.peers},
                                  {"/listen/admin", settings.listen.admin},
                                  {"/platform/log", settings.platform.log},
                                  {"/platform/host_list", settings.platform.host_list},
                                  {"/platform/weights", settings.platform.weights}};
  for (std::size_t i = 0; i < places.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (places[i].where == places[j].where)
        run.fault_at(places[i].pointer, places[i].where.str() + " is also the address of " +
                                            std::string{places[j].pointer});
  for (std::size_t i = 0; i < settings.seeds.size(); ++i)
    for (const auto& other : places)
      if (other.pointer != "/listen/peers" && settings.seeds[i] == other.where)
        run.fault_at("/seeds/" + std::to_string(i), other.where.str() + " is the address of " +
                                                        std::string{other.pointer} +
                                                        ", not of another host");
}

void check_settings(const host_settings& settings, check_run& run) {
  check_addresses(settings, run);
  check_no_repeats(
      settings.seeds, "/seeds", "address", [](const address& seed) { return seed.str(); }, run);
  check_no_repeats(
      settings.operators, "/operators", "operator",
      [](const operator_settings& one) { return one.name; }, run);
  check_no_repeats(
      settings.operators, "/operators", "key id",
      [](const operator_settings& one) { return one.key.id; }, run);
}

} // namespace

const object_table<host_settings>& host_settings_table() {
  static const object_table<host_settings> table{
      {make_field("schema", &host_settings::schema, integer_rule({1, current_schema}),
                  "Version of this schema", presence::required),
       make_field("name", &host_settings::name, id_rule<host_id>(), "This host's name",
                  presence::required),
       make_field("data_centre", &host_settings::data_centre, id_rule<data_centre_id>(),
                  "Where this host stands", presence::required),
       make_field("listen", &host_settings::listen, object_rule(listen_table()),
                  "Where this host listens", presence::required),
       make_field("platform", &host_settings::platform, object_rule(platform_table()),
                  "The outside services", presence::required),
       make_field("seeds", &host_settings::seeds, list_rule(address_rule(), 512),
                  "Peer addresses of hosts to ask first; its own may be among them"),
       make_field("workers", &host_settings::workers, object_rule(worker_table()), "Threads"),
       make_field("limits", &host_settings::limits, object_rule(limits_table()),
                  "Bounds of this host"),
       make_field("timeouts", &host_settings::timeouts, object_rule(timeouts_table()),
                  "Timeouts of this host's connections"),
       make_field("tls", &host_settings::tls, object_rule(tls_table()), "Certificates"),
       make_field("log", &host_settings::log, object_rule(log_table()), "Logging"),
       make_field("stop", &host_settings::stop, object_rule(stop_table()), "Planned stops"),
       make_field("operators", &host_settings::operators,
                  list_rule(object_rule(operator_table()), 64), "Keys of operators")},
      check_settings};
  return table;
}

checked<host_settings> check_host_settings(const std::string& file, std::string_view text) {
  return check_document(host_settings_table(), file, text);
}

} // namespace sedgechute
