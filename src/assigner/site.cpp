#include "assigner/site.h"

#include <algorithm>
#include <set>

#include "base/file.h"

namespace beamshunt::assigner {
namespace {

using config::Tree;

[[noreturn]] void refuse(const Tree& at, const std::string& path, const std::string& reason) {
  throw config::ConfigError(config::to_string(at.from) + ": " + path + ": " + reason);
}

template <typename T>
T choice(const Tree& tree, std::string_view name, std::initializer_list<std::pair<const char*, T>> of) {
  for (auto& [word, value] : of)
    if (tree.string(name) == word) return value;
  throw std::logic_error("the schema knows a choice that the program does not");
}

net::Address address(const Tree& tree) { return *net::parse_address(tree.text); }
Duration duration(const Tree& tree, std::string_view name) { return Duration(tree.real(name)); }

void read_localities(const Tree& site, Site& out) {
  const Tree& localities = site.at("localities");
  if (localities.items.empty()) refuse(localities, "site.localities", "at least one is needed");
  for (std::size_t k = 0; k < localities.items.size(); ++k) {
    const Tree& locality = localities.items[k];
    std::string path = "site.localities[" + std::to_string(k) + "]";
    const std::string& name = locality.string("name");
    if (std::count(out.policy.localities.begin(), out.policy.localities.end(), name) > 0)
      refuse(locality.at("name"), path + ".name", "\"" + name + "\" is given twice");
    out.policy.localities.push_back(name);
    for (const Tree& prefix : locality.at("prefixes").items)
      if (auto reason = out.locality_of.add(prefix.text, static_cast<std::uint32_t>(k)))
        refuse(prefix, path + ".prefixes", *reason);
  }
}

void read_classes(const Tree& site, Site& out) {
  const Tree& classes = site.at("classes");
  if (classes.items.empty() || classes.items.size() > 63)
    refuse(classes, "site.classes", "from 1 to 63 are needed");
  for (std::size_t k = 0; k < classes.items.size(); ++k) {
    const Tree& given = classes.items[k];
    std::string path = "site.classes[" + std::to_string(k) + "]";
    const std::string& name = given.string("name");
    if (std::count(out.class_names.begin(), out.class_names.end(), name) > 0)
      refuse(given.at("name"), path + ".name", "\"" + name + "\" is given twice");
    RequestClass c;
    c.latency_objective = duration(given, "slo"), c.deadline = duration(given, "deadline");
    if (c.deadline < c.latency_objective)
      refuse(given.at("deadline"), path + ".deadline", "is under the slo");
    c.priority_weight = given.real("worth");
    c.semantics = choice<Semantics>(given, "semantics",
                                    {{"retryable", Semantics::idempotent},
                                     {"dedup", Semantics::idempotent_with_key},
                                     {"fragile", Semantics::not_idempotent}});
    c.idempotency_scope = choice<IdempotencyScope>(given.at("dedup"), "scope",
                                                   {{"all", IdempotencyScope::everywhere},
                                                    {"zone", IdempotencyScope::locality},
                                                    {"cell", IdempotencyScope::cell}});
    c.idempotency_window = duration(given.at("dedup"), "window");
    if (c.semantics == Semantics::idempotent_with_key && c.idempotency_window <= Duration{})
      refuse(given.at("dedup").at("window"), path + ".dedup.window", "a dedup class needs a window above 0");
    c.local_only = given.flag("home_only");
    out.class_names.push_back(name);
    out.policy.classes.push_back(c);
  }
}

std::string base64(const std::string& text) {
  constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t k = 0; k < text.size(); k += 3) {
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i)
      bits = bits << 8 | (k + i < text.size() ? static_cast<unsigned char>(text[k + i]) : 0);
    for (std::size_t i = 0; i < 4; ++i)
      out += k + i <= text.size() ? kDigits[bits >> (18 - 6 * i) & 63] : '=';
  }
  return out;
}

std::string authorization(const Tree& credentials) {
  const Tree& file = credentials.at("file");
  auto secret = base::read_file(file.text);
  if (!secret) refuse(file, "remote_write.credentials.file", "there is no file " + file.text);
  while (!secret->empty() && (secret->back() == '\n' || secret->back() == '\r')) secret->pop_back();
  if (secret->empty() || secret->find_first_of("\r\n") != secret->npos)
    refuse(file, "remote_write.credentials.file", "it must hold one line and no more");
  return credentials.string("kind") == "bearer" ? "Bearer " + *secret : "Basic " + base64(*secret);
}

telemetry::RemoteWriterSettings read_remote_write(const Tree& tree, const Site& site) {
  telemetry::RemoteWriterSettings out;
  const Tree& url = tree.at("url");
  std::size_t host = url.text.find("://") + 3, path = url.text.find('/', host);
  out.host = url.text.substr(host, path - host);
  out.path = url.text.substr(path);
  auto receiver = net::parse_address(out.host);
  if (!receiver) refuse(url, "remote_write.url", "'" + out.host + "' is no address such as 127.0.0.1:9090");
  out.receiver = *receiver;
  out.local_address = {site.channel.ip, 0};
  out.scrape_interval = tree.real("interval"), out.request_timeout = tree.real("timeout");
  out.external_labels.emplace_back("instance", std::to_string(site.instance));
  for (const Tree& label : tree.at("external").items) {
    for (auto& [name, value] : out.external_labels)
      if (name == label.string("name")) refuse(label, "remote_write.external", "a label is given twice");
    out.external_labels.emplace_back(label.string("name"), label.string("value"));
  }
  if (url.text.starts_with("https")) {
    try {
      out.tls = net::TlsContext::client(tree.string("ca_file"));
    } catch (const net::TlsError& error) {
      refuse(tree.at("ca_file"), "remote_write.ca_file", error.what());
    }
  }
  if (auto* credentials = tree.find("credentials")) out.authorization = authorization(*credentials);
  out.sender.shards = static_cast<std::size_t>(tree.whole("shards"));
  out.sender.batch_samples = static_cast<std::size_t>(tree.at("batch").whole("samples"));
  out.sender.batch_wait = tree.at("batch").real("wait");
  out.sender.min_backoff = tree.at("backoff").real("least");
  out.sender.max_backoff = tree.at("backoff").real("most");
  out.sender.seed = site.policy.seed;
  const Tree& buffer = tree.at("buffer");
  out.buffer.bytes = static_cast<std::uint64_t>(buffer.real("bytes"));
  out.buffer.segment_bytes = static_cast<std::uint64_t>(buffer.real("segment"));
  out.buffer.age_ms = static_cast<std::int64_t>(buffer.real("age"));
  out.folder = site.state_folder + "/metrics";
  return out;
}

Site::Control read_control(const Tree& tree) {
  Site::Control out;
  out.origin = tree.string("origin");
  for (const Tree& service : tree.at("services").items) out.services.push_back(address(service));
  out.heartbeat = tree.real("heartbeat"), out.deliver_within = tree.real("deliver_within");
  out.return_after = tree.real("return_after");
  out.backoff_least = tree.at("backoff").real("least"), out.backoff_most = tree.at("backoff").real("most");
  out.most_frame = static_cast<std::size_t>(tree.whole("most_frame"));
  out.most_bytes = static_cast<std::size_t>(tree.whole("most_bytes"));
  out.most_resources = static_cast<std::size_t>(tree.whole("most_resources"));
  out.shadow_length = tree.at("shadow").real("length"), out.shadow_budget = tree.at("shadow").real("budget");
  const Tree& watch = tree.at("watch");
  out.watch = watch.real("time"), out.service_drop = watch.real("service_drop");
  out.least_requests = watch.real("least_requests");
  return out;
}

}  // namespace

void read_site(const Tree& site, Site& out) {
  Settings& p = out.policy;
  read_localities(site, out);
  read_classes(site, out);
  p.proxy_count = static_cast<int>(site.whole("proxies"));
  p.admission_limit_kind = choice<AdmissionLimitKind>(site, "levels",
                                                      {{"share", AdmissionLimitKind::share},
                                                       {"rate", AdmissionLimitKind::rate},
                                                       {"none", AdmissionLimitKind::none}});
  p.default_retry_mode = choice<RetryMode>(site, "default_retry",
                                           {{"never", RetryMode::never},
                                            {"after_proof", RetryMode::if_not_processed},
                                            {"once", RetryMode::once},
                                            {"twice", RetryMode::twice}});
  p.attempt_timeout_factor = site.real("retry_wait_factor");
  p.connection_idle_timeout = duration(site, "connection_idle");
  p.local_proxies_only = site.flag("local_proxies_only");

  const Tree& channel = site.at("channel");
  p.channel_lines_per_second = channel.real("lines_per_s");
  p.message_overhead_lines = channel.real("envelope_lines");
  p.max_queued_lines = channel.real("most_waiting_lines");
  p.max_messages_per_window = static_cast<int>(channel.whole("messages"));
  p.message_window = duration(channel, "span");
  p.update_delay = duration(channel, "delay");
  p.max_update_delay = duration(channel, "delay_most");
  if (p.max_update_delay < p.update_delay)
    refuse(channel.at("delay_most"), "site.channel.delay_most", "is under the mean delay");

  const Tree& reports = site.at("reports");
  p.report_period = duration(reports, "period");
  p.load_reports_by_health_check = reports.string("load") == "probe";
  out.report_lines_per_s = reports.real("lines_per_s");

  const Tree& list = site.at("list");
  p.endpoint_list_by_subscription = list.flag("on_request");
  p.subscription_lifetime = duration(list, "must_ask_in");
  out.list_quiet = list.real("quiet");

  p.health_checks_allowed = site.at("probes").flag("allowed");
  out.probe_timeout = site.at("probes").real("timeout");
  if (p.load_reports_by_health_check && !p.health_checks_allowed)
    refuse(reports.at("load"), "site.reports.load", "\"probe\" needs site.probes.allowed");

  const Tree& g = site.at("guarantees");
  p.max_time_without_endpoints = duration(g, "empty_for");
  p.drain_grace_period = duration(g, "drain_grace");
  p.warm_up_time = duration(g, "warm_up");
  p.overload_window = duration(g, "fall");
  p.initial_capacity = g.real("start_capacity");
  p.overload_multiple = g.real("tip_multiple");
  p.removal_is_advisory = g.flag("gone_is_advice");
}

Site to_site(const Tree& tree) {
  Site out;
  read_site(tree.at("site"), out);
  out.instance = static_cast<std::uint32_t>(tree.whole("instance"));
  out.policy.seed = static_cast<std::uint64_t>(tree.whole("seed"));
  auto& names = out.policy.localities;
  auto home = std::find(names.begin(), names.end(), tree.string("home"));
  if (home == names.end()) refuse(tree.at("home"), "home", "\"" + tree.string("home") + "\" is no locality");
  out.policy.own_locality = Locality(home - names.begin());

  const Tree& listen = tree.at("listen");
  out.channel = address(listen.at("channel"));
  if (auto* admin = listen.find("admin")) out.admin = address(*admin);
  out.discovery = address(tree.at("discovery"));
  for (const Tree& prefix : tree.at("admit").items) {
    out.admits_all = false;
    if (auto reason = out.admitted.add(prefix.text, 1)) refuse(prefix, "admit", *reason);
  }
  std::set<std::uint32_t> known{out.instance};
  for (const Tree& peer : tree.at("peers").items) {
    auto instance = static_cast<std::uint32_t>(peer.whole("instance"));
    if (!known.insert(instance).second) refuse(peer.at("instance"), "peers", "an instance is given twice");
    out.peers.emplace_back(instance, address(peer.at("address")));
  }
  out.state_folder = tree.string("state");
  if (tree.has("record")) out.record_file = tree.string("record");
  if (tree.at("log").has("file")) out.log_file = tree.at("log").string("file");
  out.log_level = tree.at("log").string("level");

  const Tree& streams = tree.at("streams");
  out.heartbeat = streams.real("heartbeat");
  out.hello_within = streams.real("hello_within");
  out.confirm_within = streams.real("confirm_within");
  out.most_streams = static_cast<std::size_t>(streams.whole("most"));
  out.most_unsent = static_cast<std::size_t>(streams.whole("most_unsent"));
  out.most_frame = static_cast<std::size_t>(streams.whole("most_frame"));
  out.stop_within = tree.real("stop_within");
  if (auto* control = tree.find("control")) out.control = read_control(*control);
  if (auto* remote = tree.find("remote_write")) out.remote_write = read_remote_write(*remote, out);
  return out;
}

Site load_site(const std::vector<config::Source>& sources) {
  return to_site(config::load(schema(), "#Assigner", sources));
}

}  // namespace beamshunt::assigner
