// The `site:` part of the settings, which all assigners of a site share: localities, request classes, and the
// limits and guarantees by which the policy decides.
#include <algorithm>
#include <cstdint>
#include <string>

#include "assigner/assigner_settings.h"
#include "assigner/settings_reading.h"

namespace beamshunt::assigner {
namespace {

using config::Tree;

// Classes are bits of a 64-bit ClassMask, and a shift by their number must stay defined.
constexpr std::size_t kMaxClasses = 63;

void read_localities(const Tree& site, AssignerSettings& out) {
  const Tree& localities = site.at("localities");
  if (localities.items.empty()) reject_setting(localities, "site.localities", "at least one is needed");
  for (std::size_t k = 0; k < localities.items.size(); ++k) {
    const Tree& locality = localities.items[k];
    std::string path = "site.localities[" + std::to_string(k) + "]";
    const std::string& name = locality.string("name");
    if (std::count(out.policy.localities.begin(), out.policy.localities.end(), name) > 0)
      reject_setting(locality.at("name"), path + ".name", "\"" + name + "\" is given twice");
    out.policy.localities.push_back(name);
    for (const Tree& prefix : locality.at("prefixes").items)
      if (auto reason = out.locality_of.add(prefix.text, static_cast<std::uint32_t>(k)))
        reject_setting(prefix, path + ".prefixes", *reason);
  }
}

void read_idempotency(const Tree& given, const std::string& path, RequestClass& out) {
  out.semantics = choice_of<Semantics>(given, "semantics",
                                       {{"retryable", Semantics::idempotent},
                                        {"dedup", Semantics::idempotent_with_key},
                                        {"fragile", Semantics::not_idempotent}});
  const Tree& dedup = given.at("dedup");
  out.idempotency_scope = choice_of<IdempotencyScope>(dedup, "scope",
                                                      {{"all", IdempotencyScope::everywhere},
                                                       {"zone", IdempotencyScope::locality},
                                                       {"cell", IdempotencyScope::cell}});
  out.idempotency_window = duration_of(dedup, "window");
  if (out.semantics == Semantics::idempotent_with_key && out.idempotency_window <= Duration{})
    reject_setting(dedup.at("window"), path + ".dedup.window", "a dedup class needs a window above 0");
}

RequestClass read_class(const Tree& given, const std::string& path) {
  RequestClass out;
  out.latency_objective = duration_of(given, "slo");
  out.deadline = duration_of(given, "deadline");
  if (out.deadline < out.latency_objective)
    reject_setting(given.at("deadline"), path + ".deadline", "is under the slo");
  out.priority_weight = given.real("worth");
  read_idempotency(given, path, out);
  out.local_only = given.flag("home_only");
  return out;
}

void read_classes(const Tree& site, AssignerSettings& out) {
  const Tree& classes = site.at("classes");
  if (classes.items.empty() || classes.items.size() > kMaxClasses)
    reject_setting(classes, "site.classes", "from 1 to " + std::to_string(kMaxClasses) + " are needed");
  for (std::size_t k = 0; k < classes.items.size(); ++k) {
    const Tree& given = classes.items[k];
    std::string path = "site.classes[" + std::to_string(k) + "]";
    const std::string& name = given.string("name");
    if (std::count(out.class_names.begin(), out.class_names.end(), name) > 0)
      reject_setting(given.at("name"), path + ".name", "\"" + name + "\" is given twice");
    RequestClass request_class = read_class(given, path);
    out.class_names.push_back(name);
    out.policy.classes.push_back(request_class);
  }
}

void read_proxies(const Tree& site, Settings& out) {
  out.proxy_count = static_cast<int>(site.whole("proxies"));
  out.admission_limit_kind = choice_of<AdmissionLimitKind>(site, "levels",
                                                           {{"share", AdmissionLimitKind::share},
                                                            {"rate", AdmissionLimitKind::rate},
                                                            {"none", AdmissionLimitKind::none}});
  out.default_retry_mode = choice_of<RetryMode>(site, "default_retry",
                                                {{"never", RetryMode::never},
                                                 {"after_proof", RetryMode::if_not_processed},
                                                 {"once", RetryMode::once},
                                                 {"twice", RetryMode::twice}});
  out.attempt_timeout_factor = site.real("retry_wait_factor");
  out.connection_idle_timeout = duration_of(site, "connection_idle");
  out.local_proxies_only = site.flag("local_proxies_only");
}

void read_channel(const Tree& channel, Settings& out) {
  out.channel_lines_per_second = channel.real("lines_per_s");
  out.message_overhead_lines = channel.real("envelope_lines");
  out.max_queued_lines = channel.real("most_waiting_lines");
  out.max_messages_per_window = static_cast<int>(channel.whole("messages"));
  out.message_window = duration_of(channel, "span");
  out.update_delay = duration_of(channel, "delay");
  out.max_update_delay = duration_of(channel, "delay_most");
  if (out.max_update_delay < out.update_delay)
    reject_setting(channel.at("delay_most"), "site.channel.delay_most", "is under the mean delay");
}

// Load reports, the endpoint list and health checks: what the policy hears.
void read_inputs(const Tree& site, AssignerSettings& out) {
  Settings& policy = out.policy;
  const Tree& reports = site.at("reports");
  policy.report_period = duration_of(reports, "period");
  policy.load_reports_by_health_check = reports.string("load") == "probe";
  out.report_lines_per_s = reports.real("lines_per_s");

  const Tree& list = site.at("list");
  policy.endpoint_list_by_subscription = list.flag("on_request");
  policy.subscription_lifetime = duration_of(list, "must_ask_in");
  out.list_quiet = list.real("quiet");

  const Tree& probes = site.at("probes");
  policy.health_checks_allowed = probes.flag("allowed");
  out.probe_timeout = probes.real("timeout");
  if (policy.load_reports_by_health_check && !policy.health_checks_allowed)
    reject_setting(reports.at("load"), "site.reports.load", "\"probe\" needs site.probes.allowed");
}

void read_guarantees(const Tree& guarantees, Settings& out) {
  out.max_time_without_endpoints = duration_of(guarantees, "empty_for");
  out.drain_grace_period = duration_of(guarantees, "drain_grace");
  out.warm_up_time = duration_of(guarantees, "warm_up");
  out.overload_window = duration_of(guarantees, "fall");
  out.initial_capacity = guarantees.real("start_capacity");
  out.overload_multiple = guarantees.real("tip_multiple");
  out.removal_is_advisory = guarantees.flag("gone_is_advice");
}

}  // namespace

void read_site_settings(const Tree& site, AssignerSettings& out) {
  read_localities(site, out);
  read_classes(site, out);
  read_proxies(site, out.policy);
  read_channel(site.at("channel"), out.policy);
  read_inputs(site, out);
  read_guarantees(site.at("guarantees"), out.policy);
}

}  // namespace beamshunt::assigner
