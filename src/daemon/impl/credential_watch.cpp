#include "daemon/impl/credential_watch.hpp"

#include <fstream>
#include <sstream>

namespace sedgechute {

namespace {

constexpr std::string_view peers = "peers";
constexpr std::string_view datagrams = "datagrams";
constexpr std::string_view callers_side = "callers";
constexpr std::string_view admin_side = "admin";

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

void check_listener(std::string_view name, const tls_files& files) {
  if (files.enabled())
    check_certificates("/tls/" + std::string{name}, files_of(files));
}

std::shared_ptr<listener_credentials> listener_of(const tls_files& files) {
  if (!files.enabled())
    return nullptr;
  return std::make_shared<listener_credentials>(
      listener_files{files.certificate, files.key, files.authorities});
}

} // namespace

certificate_files files_of(const tls_files& files) {
  return {files.certificate, files.key, files.authorities};
}

void check_credentials(const host_settings& settings) {
  if (settings.tls.peers.enabled())
    check_peers(settings);
  check_listener(callers_side, settings.tls.callers);
  check_listener(admin_side, settings.tls.admin);
  if (!settings.tls.datagram_keys.empty())
    (void)read_datagram_keys(settings.tls.datagram_keys);
}

credential_watch::credential_watch(const host_settings& settings, key_listener on_keys,
                                   structured_log& lines, metrics& numbers)
    : settings_{settings}, on_keys_{std::move(on_keys)}, lines_{lines}, numbers_{numbers},
      callers_{listener_of(settings.tls.callers)}, admin_{listener_of(settings.tls.admin)} {
  const tls_settings& tls = settings.tls;
  watch(peers, tls.peers);
  watch(callers_side, tls.callers);
  watch(admin_side, tls.admin);
  if (!tls.datagram_keys.empty())
    sides_.push_back({datagrams, {tls.datagram_keys}, {}});
  for (side& one : sides_)
    one.content = content_of(one.files);
}

void credential_watch::watch(std::string_view name, const tls_files& files) {
  if (!files.enabled())
    return;
  side added{name, {files.certificate, files.key}, {}};
  if (!files.authorities.empty())
    added.files.push_back(files.authorities);
  sides_.push_back(std::move(added));
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
    return on_keys_(read_datagram_keys(settings_.tls.datagram_keys));
  if (one.name == peers)
    return check_peers(settings_);
  const bool callers = one.name == callers_side;
  check_listener(one.name, callers ? settings_.tls.callers : settings_.tls.admin);
  (callers ? callers_ : admin_)->renew();
}

void credential_watch::note(const side& one, bool taken, const std::string& reason) {
  numbers_.add(metric::credential_reloads, {one.name, taken ? "taken" : "refused"});
  lines_.write(taken ? severity::info : severity::error,
               taken ? "credentials_renewed" : "credentials_refused", {},
               {{log_field::stage, std::string{one.name}}, {log_field::reason, reason}});
}

} // namespace sedgechute
