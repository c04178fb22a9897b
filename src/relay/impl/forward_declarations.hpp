#pragma once

namespace sedgechute {

class caller_watch;
class connection;
class endpoint_directory;
class event_splitter;
class fleet_config;
class http_frontend;
class header_fields;
class request_relay;
class retry_limiter;
class wire_dialect;
struct request_head;
struct request_terms;
struct response_head;
struct route;

} // namespace sedgechute
