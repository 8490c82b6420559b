#include "day/day.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace beamshunt::day {
namespace {

using config::Tree;

constexpr const char* kDaySchema = R"cue(
#Trouble: {
  at: duration & >=0ms           // since the traffic began
  kind: "balancer_crash" | "burst" | "crash" | "deploy" | "discovery_down" | "discovery_stale" |
    "fast_errors" | "flapping" | "grow" | "hang" | "mass_restart" | "shared_slow" | "shift" | "slow" |
    "slow_link" | "vanish" | "zone_cut" | "zone_loss" | "ageing" | "class_fail" | "false_reports" |
    "reports_late" |
    "receiver_away" | "receiver_hangs" | "receiver_cuts" | "receiver_status" | "config" | "control_away"
  for: duration & >=0ms | *3s
  part: number & >0 & <=1 | *0.3 // of what can be struck
  size: number & >=0 | *2        // how much; its meaning is the kind's
  extra: number & >=0 | *0.5
  locality?: string              // strikes only there
  class?: string
  how: string | *""
}
#Day: {
  name: string & =~"^[a-z0-9][a-z0-9-]*$"
  about: string | *""
  seed: int & >=0 | *1
  length: duration & >0s
  heartbeat: duration & >=10ms | *200ms
  calm: duration & >0s | *1500ms // all starts and joins, before the traffic begins
  assigners: [...{
    instance: int & >=0 & <1000 | *0
    locality: string
    count: int & >0 & <=100 | *1 // instances from this one on
  }]
  servers: [...{
    locality: string
    count: int & >0 & <=100000
    cores: int & >0 | *2
    speed: number & >0 | *1
    queue: int & >=0 | *64
    cell: int & >0 | *3          // servers of a pod
  }]
  proxies: [...{ locality: string, count: int & >0 & <=1000000 }]
  proxy: {
    pick: *"weighted" | "two" | "round" | "least"
    avoid_after: int & >=0 | *3
    avoid_for: duration | *2s
    standing: int & >0 | *3
    redial: duration & >0ms | *300ms
  }
  traffic: {
    rate: rate
    classes: [...{ name: string, share: number & >0, work: duration & >0ms }]
    retries: int & >=0 | *1
    retry_wait: duration | *100ms
    front_notice: duration | *1s // clients go on asking a dead proxy for so long
  }
  list: {
    notice: duration | *300ms
    silent_notice: duration | *1500ms
    add: duration | *200ms
  }
  metrics: {                     // a remote write receiver beside the assigners
    receiver: bool | *false
    interval: duration & >=50ms | *200ms
    rules: [...string]           // alert rule files that it evaluates
    expect: [...string]          // alerts that must fire; no others may
  }
  control: {                     // configuration services beside the assigners
    services: int & >=0 & <=2 | *0
    watch: duration | *1s        // of a version in force
    service_drop: number & >0 & <=1 | *0.5
  }
  troubles: [...#Trouble]
  expect: service: number & >=0 & <=1 | *0 // at least, or the day has failed
  audit: {
    margin: duration & >=0ms | *500ms
    capacity_slack: number & >=1 | *1.3
  }
  site: #Site
}
)cue";

[[noreturn]] void refuse(const Tree& at, const std::string& path, const std::string& reason) {
  throw config::ConfigError(config::to_string(at.from) + ": " + path + ": " + reason);
}

class Reader {
 public:
  explicit Reader(const Tree& tree) : tree_(tree) {}

  Day read() {
    read_site_settings();
    day_.name = tree_.string("name"), day_.about = tree_.string("about");
    day_.seed = static_cast<std::uint64_t>(tree_.whole("seed"));
    day_.length = tree_.real("length"), day_.calm = tree_.real("calm");
    day_.heartbeat = tree_.real("heartbeat");
    read_fleet();
    read_traffic();
    const Tree& list = tree_.at("list");
    day_.list_notice = list.real("notice"), day_.list_silent_notice = list.real("silent_notice");
    day_.list_add = list.real("add");
    for (const Tree& t : tree_.at("troubles").items) day_.troubles.push_back(trouble(t));
    std::stable_sort(day_.troubles.begin(), day_.troubles.end(),
                     [](auto& a, auto& b) { return a.at < b.at; });
    const Tree& metrics = tree_.at("metrics");
    day_.receiver = metrics.flag("receiver"), day_.metrics_interval = metrics.real("interval");
    for (const Tree& file : metrics.at("rules").items) day_.alert_rules.push_back(file.text);
    for (const Tree& name : metrics.at("expect").items) day_.alerts_expected.push_back(name.text);
    const Tree& control = tree_.at("control");
    day_.controls = static_cast<int>(control.whole("services"));
    day_.config_watch = control.real("watch"), day_.config_drop = control.real("service_drop");
    day_.expect_service = tree_.at("expect").real("service");
    read_limits();
    return std::move(day_);
  }

 private:
  std::uint32_t locality(const Tree& at, const std::string& path) const {
    auto& names = day_.policy.localities;
    auto found = std::find(names.begin(), names.end(), at.text);
    if (found == names.end()) refuse(at, path, "\"" + at.text + "\" is no locality of the site");
    return static_cast<std::uint32_t>(found - names.begin());
  }
  std::size_t request_class(const Tree& at, const std::string& path) const {
    auto found = std::find(class_names_.begin(), class_names_.end(), at.text);
    if (found == class_names_.end()) refuse(at, path, "\"" + at.text + "\" is no class of the site");
    return static_cast<std::size_t>(found - class_names_.begin());
  }

  void read_site_settings() {
    day_.site = tree_.at("site");
    assigner::AssignerSettings site;  // as an assigner will read it
    assigner::read_site_settings(day_.site, site);
    day_.policy = site.policy;
    class_names_ = day_.class_names = site.class_names;
  }

  void read_fleet() {
    std::set<std::uint32_t> instances;
    for (const Tree& a : tree_.at("assigners").items)
      for (int k = 0; k < a.whole("count"); ++k) {
        auto instance = static_cast<std::uint32_t>(a.whole("instance") + k);
        if (!instances.insert(instance).second)
          refuse(a, "assigners.instance", fmt::format("{} is there twice", instance));
        day_.assigners.emplace_back(instance, locality(a.at("locality"), "assigners.locality"));
      }
    if (day_.assigners.empty()) refuse(tree_.at("assigners"), "assigners", "at least one is needed");
    for (const Tree& s : tree_.at("servers").items)
      day_.servers.push_back({locality(s.at("locality"), "servers.locality"),
                              static_cast<int>(s.whole("count")), static_cast<int>(s.whole("cores")),
                              static_cast<int>(s.whole("cell")), s.real("speed"),
                              static_cast<std::size_t>(s.whole("queue"))});
    day_.proxies.assign(day_.policy.localities.size(), 0);
    for (const Tree& p : tree_.at("proxies").items)
      day_.proxies[locality(p.at("locality"), "proxies.locality")] += static_cast<int>(p.whole("count"));
    const Tree& proxy = tree_.at("proxy");
    using standin::Pick;
    const std::map<std::string, Pick> kPicks{
        {"weighted", Pick::weighted}, {"two", Pick::two}, {"round", Pick::round}, {"least", Pick::least}};
    day_.pick = kPicks.at(proxy.string("pick"));
    day_.avoid_after = static_cast<int>(proxy.whole("avoid_after"));
    day_.avoid_for = proxy.real("avoid_for"), day_.redial = proxy.real("redial");
    day_.standing = static_cast<std::size_t>(proxy.whole("standing"));
  }

  void read_traffic() {
    const Tree& traffic = tree_.at("traffic");
    day_.rate = traffic.real("rate");
    day_.retries = static_cast<int>(traffic.whole("retries"));
    day_.retry_wait = traffic.real("retry_wait"), day_.front_notice = traffic.real("front_notice");
    day_.classes.resize(day_.policy.classes.size());
    for (standin::TrafficClass& c : day_.classes) c.share = 0;
    for (const Tree& t : traffic.at("classes").items) {
      std::size_t c = request_class(t.at("name"), "traffic.classes.name");
      const RequestClass& rules = day_.policy.classes[c];
      bool keyed = rules.semantics == Semantics::idempotent_with_key;
      day_.classes[c] = {t.real("share"),
                         t.real("work"),
                         rules.latency_objective.count(),
                         rules.deadline.count(),
                         keyed,
                         rules.semantics == Semantics::idempotent ||
                             (keyed && rules.idempotency_scope == IdempotencyScope::everywhere)};
    }
  }

  Trouble trouble(const Tree& t) const {
    Trouble out;
    out.at = t.real("at"), out.lasts = t.real("for");
    out.kind = t.string("kind"), out.how = t.string("how");
    out.part = t.real("part"), out.size = t.real("size"), out.extra = t.real("extra");
    if (auto* l = t.find("locality")) out.locality = locality(*l, "troubles.locality");
    if (auto* c = t.find("class")) out.request_class = request_class(*c, "troubles.class");
    out.from = t.from;
    return out;
  }

  void read_limits() {
    day_.limits = audit::limits_of(day_.policy);
    day_.limits.margin = tree_.at("audit").real("margin");
    day_.limits.capacity_slack = tree_.at("audit").real("capacity_slack");
  }

  const Tree& tree_;
  Day day_;
  std::vector<std::string> class_names_;
};

}  // namespace

const config::Source& schema() {
  static const config::Source kSchema{"schema", assigner::settings_schema().text + kDaySchema};
  return kSchema;
}

Day load_day(const std::vector<config::Source>& sources, const std::vector<config::Source>& over) {
  Tree tree = config::load(schema(), "#Day", sources, over);
  return Reader(tree).read();
}

}  // namespace beamshunt::day
