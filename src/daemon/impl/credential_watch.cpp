#include "daemon/impl/credential_watch.hpp"

#include <fstream>
#include <sstream>

namespace sedgechute {

namespace {

constexpr std::string_view peers = "peers";
constexpr std::string_view datagrams = "datagrams";

std::string content_of(const std::vector<std::string>& files) {
  std::ostringstream text;
  for (const std::string& name : files) {
    std::ifstream file{name};
    text << file.rdbuf();
    text.clear(); // an empty file counts as one without content
  }
  return text.str();
}

void check_peers(const host_settings& settings) {
  check_certificates("/tls/peers", files_of(settings.tls.peers), settings.name.str());
}

} // namespace

certificate_files files_of(const tls_files& files) {
  return {files.certificate, files.key, files.authorities};
}

void check_credentials(const host_settings& settings) {
  if (settings.tls.peers.enabled())
    check_peers(settings);
  if (!settings.tls.datagram_keys.empty())
    (void)read_datagram_keys(settings.tls.datagram_keys);
}

credential_watch::credential_watch(const host_settings& settings, key_listener on_keys,
                                   structured_log& lines, metrics& numbers)
    : settings_{settings}, on_keys_{std::move(on_keys)}, lines_{lines}, numbers_{numbers} {
  const tls_settings& tls = settings.tls;
  if (tls.peers.enabled())
    sides_.push_back({peers, {tls.peers.certificate, tls.peers.key, tls.peers.authorities}, {}});
  if (!tls.datagram_keys.empty())
    sides_.push_back({datagrams, {tls.datagram_keys}, {}});
  for (side& one : sides_)
    one.content = content_of(one.files);
}

void credential_watch::look_when_due(time_ms now) {
  if (now < next_look_)
    return;
  next_look_ = now + settings_.tls.reload;
  for (side& one : sides_)
    look_at(one);
}

// Failure: renewed files are half written, or belong to different renewals. Put in use they would
// cut this host off; so they are checked as at the start, and what is in use stays.
void credential_watch::look_at(side& one) {
  std::string content = content_of(one.files);
  if (content == one.content)
    return;
  one.content = std::move(content);
  try {
    take(one);
    note(one, true, {});
  } catch (const error& refused) {
    note(one, false, refused.what());
  }
}

// gRPC reads the peers' files itself and leaves out a key that is not the certificate's; here they
// are only judged, so that the operator hears of it.
void credential_watch::take(const side& one) {
  if (one.name == datagrams)
    on_keys_(read_datagram_keys(settings_.tls.datagram_keys));
  else
    check_peers(settings_);
}

void credential_watch::note(const side& one, bool taken, const std::string& reason) {
  numbers_.add(metric::credential_reloads, {one.name, taken ? "taken" : "refused"});
  lines_.write(taken ? severity::info : severity::error,
               taken ? "credentials_renewed" : "credentials_refused", {},
               {{log_field::stage, std::string{one.name}}, {log_field::reason, reason}});
}

} // namespace sedgechute
