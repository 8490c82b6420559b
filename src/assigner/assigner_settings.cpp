#include "assigner/assigner_settings.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "assigner/remote_write_settings.h"
#include "assigner/settings_reading.h"

namespace beamshunt::assigner {
namespace {

using config::Tree;

ControlSettings read_control(const Tree& tree) {
  ControlSettings out;
  out.origin = tree.string("origin");
  for (const Tree& service : tree.at("services").items) out.services.push_back(address_of(service));
  out.heartbeat = tree.real("heartbeat");
  out.deliver_within = tree.real("deliver_within");
  out.return_after = tree.real("return_after");
  const Tree& backoff = tree.at("backoff");
  out.backoff_least = backoff.real("least");
  out.backoff_most = backoff.real("most");
  out.most_frame = static_cast<std::size_t>(tree.whole("most_frame"));
  out.most_bytes = static_cast<std::size_t>(tree.whole("most_bytes"));
  out.most_resources = static_cast<std::size_t>(tree.whole("most_resources"));
  const Tree& shadow = tree.at("shadow");
  out.shadow_length = shadow.real("length");
  out.shadow_budget = shadow.real("budget");
  const Tree& watch = tree.at("watch");
  out.trial_duration = watch.real("time");
  out.max_service_drop = watch.real("service_drop");
  out.min_trial_requests = watch.real("least_requests");
  return out;
}

void read_home(const Tree& tree, AssignerSettings& out) {
  const auto& names = out.policy.localities;
  const std::string& home = tree.string("home");
  auto found = std::find(names.begin(), names.end(), home);
  if (found == names.end()) reject_setting(tree.at("home"), "home", "\"" + home + "\" is no locality");
  out.policy.own_locality = Locality(found - names.begin());
}

void read_addresses(const Tree& tree, AssignerSettings& out) {
  const Tree& listen = tree.at("listen");
  out.channel = address_of(listen.at("channel"));
  if (const Tree* admin = listen.find("admin")) out.admin = address_of(*admin);
  out.discovery = address_of(tree.at("discovery"));
  for (const Tree& prefix : tree.at("admit").items) {
    out.admits_all = false;
    if (auto reason = out.admitted.add(prefix.text, 1)) reject_setting(prefix, "admit", *reason);
  }
  std::set<std::uint32_t> known{out.instance};
  for (const Tree& peer : tree.at("peers").items) {
    auto instance = static_cast<std::uint32_t>(peer.whole("instance"));
    if (!known.insert(instance).second)
      reject_setting(peer.at("instance"), "peers", "an instance is given twice");
    out.peers.emplace_back(instance, address_of(peer.at("address")));
  }
}

void read_files(const Tree& tree, AssignerSettings& out) {
  out.state_folder = tree.string("state");
  if (tree.has("record")) out.record_file = tree.string("record");
  const Tree& log = tree.at("log");
  if (log.has("file")) out.log_file = log.string("file");
  out.log_level = log.string("level");
}

void read_streams(const Tree& streams, AssignerSettings& out) {
  out.heartbeat = streams.real("heartbeat");
  out.hello_within = streams.real("hello_within");
  out.confirm_within = streams.real("confirm_within");
  out.most_streams = static_cast<std::size_t>(streams.whole("most"));
  out.most_unsent = static_cast<std::size_t>(streams.whole("most_unsent"));
  out.most_frame = static_cast<std::size_t>(streams.whole("most_frame"));
}

}  // namespace

AssignerSettings to_assigner_settings(const Tree& tree) {
  AssignerSettings out;
  read_site_settings(tree.at("site"), out);
  out.instance = static_cast<std::uint32_t>(tree.whole("instance"));
  out.policy.seed = static_cast<std::uint64_t>(tree.whole("seed"));
  read_home(tree, out);
  read_addresses(tree, out);
  read_files(tree, out);
  read_streams(tree.at("streams"), out);
  out.stop_within = tree.real("stop_within");
  if (const Tree* control = tree.find("control")) out.control = read_control(*control);
  if (const Tree* remote = tree.find("remote_write"))
    out.remote_write = read_remote_write_settings(*remote, out);
  return out;
}

AssignerSettings load_assigner_settings(const std::vector<config::Source>& sources) {
  return to_assigner_settings(config::load(settings_schema(), "#Assigner", sources));
}

}  // namespace beamshunt::assigner
