// Changes of settings with what is known of them: whether they would harm the fleet of the test, and by which
// rule.
#pragma once

#include <string>
#include <vector>

namespace beamshunt::gate::test {

enum class Fleet { warm, one_cold, south_gone, busy_channel, large };

struct Change {
  const char* type;
  std::string body;
  const char* rule = "";  // that the gate is to name; empty: harmless
  Fleet fleet = Fleet::warm;
};

inline constexpr const char* kPresent = R"(
home: "north"
listen: channel: "127.10.0.1:7000"
discovery: "127.10.0.1:7100"
state: "unused"
streams: {heartbeat: 200ms, most: 50, most_frame: 64KiB}
control: {origin: "ops", services: ["127.10.0.9:7300"], shadow: budget: 60s}
site: {
  localities: [{name: "north", prefixes: ["127.10.0.0/16"]}, {name: "south", prefixes: ["127.20.0.0/16"]}]
  classes: [
    {name: "read", slo: 500ms, deadline: 2s, semantics: "retryable"},
    {name: "buy", slo: 500ms, deadline: 2s, worth: 3, semantics: "dedup", dedup: {scope: "cell", window: 3s}},
    {name: "pay", slo: 500ms, deadline: 2s, worth: 3},
  ]
  proxies: 8
  channel: {lines_per_s: 2000/s, most_waiting_lines: 2000, delay: 20ms, delay_most: 100ms}
  reports: {period: 250ms, lines_per_s: 1000/s}
  guarantees: {empty_for: 2s, drain_grace: 1s, warm_up: 3s, fall: 800ms}
  guarantees: {start_capacity: 0.25, tip_multiple: 4}
}
)";

inline std::string classes(const std::string& read, const std::string& buy, const std::string& pay) {
  return "site: classes: [" + read + ", " + buy + ", " + pay + "]";
}
inline constexpr const char* kRead = R"({name: "read", slo: 500ms, deadline: 2s, semantics: "retryable"})";
inline constexpr const char* kBuy = R"({name: "buy", slo: 500ms, deadline: 2s, worth: 3, semantics: "dedup",
    dedup: {scope: "cell", window: 3s}})";
inline constexpr const char* kPay = R"({name: "pay", slo: 500ms, deadline: 2s, worth: 3})";
inline std::string buy(const std::string& dedup, const std::string& slo = "500ms") {
  return "{name: \"buy\", slo: " + slo + ", deadline: 4s, worth: 3, semantics: \"dedup\", dedup: " + dedup +
         "}";
}
inline std::string localities(const std::string& list) { return "site: localities: [" + list + "]"; }
inline constexpr const char* kNorth = R"({name: "north", prefixes: ["127.10.0.0/16"]})";
inline constexpr const char* kSouth = R"({name: "south", prefixes: ["127.20.0.0/16"]})";

inline std::vector<Change> harmful() {
  std::vector<Change> out;
  auto each = [&](const char* type, const std::string& before, const std::vector<std::string>& values,
                  const char* rule, Fleet fleet = Fleet::warm) {
    for (auto& value : values) out.push_back({type, before + value, rule, fleet});
  };
  each("limits", "site: guarantees: drain_grace: ", {"120ms", "100ms", "60ms", "10ms"}, "rule 3");
  each("limits", "site: channel: delay_most: ", {"980ms", "1s", "3s"}, "rule 3");
  each("limits", "site: channel: lines_per_s: ", {"52/s", "20/s", "10/s", "1/s"}, "rule 3");
  each("limits", "site: channel: envelope_lines: ", {"240", "1000"}, "rule 3");
  each("limits", "site: channel: most_waiting_lines: ", {"135", "100", "50", "10", "1"}, "rule 5");
  each("settings", "site: proxies: ", {"7", "4", "1", "200", "50000"}, "rule 5");
  each("limits", "site: channel: messages: ", {"1", "3"}, "rule 3");
  each("limits", "site: channel: messages: ", {"11", "8", "5", "2"}, "rule 5", Fleet::busy_channel);
  each("settings", "streams: confirm_within: ", {"100ms"}, "rule 1");
  each("settings", "streams: heartbeat: ", {"10ms", "30ms", "60ms"}, "rule 1");
  each("limits", "streams: most: ", {"9", "4", "1"}, "rule 1");
  each("limits", "streams: most_frame: ", {"1KiB", "2KiB", "3KiB"}, "rule 1", Fleet::large);
  each("limits", "streams: most_unsent: ", {"4KiB"}, "rule 1", Fleet::large);
  each("limits", "site: guarantees: empty_for: ", {"100ms", "50ms", "10ms"}, "rule 1");
  each("limits", "site: guarantees: start_capacity: ", {"0.3", "0.5", "1"}, "rule 4", Fleet::one_cold);
  each("limits", "site: guarantees: tip_multiple: ", {"5", "8"}, "rule 4", Fleet::one_cold);
  each("limits", "site: guarantees: warm_up: ", {"1s", "2s"}, "rule 4", Fleet::one_cold);
  each("limits", "site: guarantees: fall: ", {"2s"}, "rule 4", Fleet::one_cold);
  each("settings", "site: levels: ", {"\"share\"", "\"none\""}, "rule 1");
  each("settings", "site: retry_wait_factor: ", {"6", "20"}, "rule 2");
  out.insert(
      out.end(),
      {{"classes",
        classes(R"({name: "read", slo: 500ms, deadline: 2s, semantics: "retryable", home_only: true})", kBuy,
                kPay),
        "rule 1", Fleet::south_gone},
       {"classes",
        classes(kRead, kBuy, R"({name: "pay", slo: 500ms, deadline: 2s, worth: 3, home_only: true})"),
        "rule 1", Fleet::south_gone},
       {"classes", classes(kRead, R"({name: "buy", slo: 500ms, deadline: 2s, semantics: "retryable"})", kPay),
        "rule 2"},
       {"classes", classes(kRead, kBuy, R"({name: "pay", slo: 500ms, deadline: 2s, semantics: "retryable"})"),
        "rule 2"},
       {"classes",
        classes(kRead, kBuy,
                R"({name: "pay", slo: 500ms, deadline: 2s, semantics: "dedup", dedup: window: 3s})"),
        "rule 2"},
       {"classes", classes(kRead, buy(R"({scope: "zone", window: 3s})"), kPay), "rule 2"},
       {"classes", classes(kRead, buy(R"({scope: "all", window: 3s})"), kPay), "rule 2"},
       {"classes", classes(kRead, buy(R"({scope: "cell", window: 5s})"), kPay), "rule 2"},
       {"classes", classes(kRead, buy(R"({scope: "cell", window: 500ms})"), kPay), "rule 2"},
       {"classes", classes(kRead, buy(R"({scope: "cell", window: 3s})", "3s"), kPay), "rule 2"},
       {"classes", std::string("site: classes: [") + kRead + ", " + kBuy + "]", "rule 1"},
       {"classes", classes(kBuy, kRead, kPay), "rule 1"},
       {"classes", classes(kRead, kBuy, R"({name: "till", slo: 500ms, deadline: 2s})"), "rule 1"},
       {"localities", localities(kNorth), "rule 1"},
       {"localities", localities(std::string(kSouth) + ", " + kNorth), "rule 1"},
       {"localities", localities(std::string(kNorth) + R"(, {name: "west", prefixes: ["127.20.0.0/16"]})"),
        "rule 1"},
       {"localities", localities(std::string(kNorth) + R"(, {name: "south", prefixes: ["127.20.9.0/24"]})"),
        "rule 1"},
       {"localities",
        localities(R"({name: "north", prefixes: ["127.0.0.0/8"]}, {name: "south", prefixes: []})"), "rule 1"},
       {"localities", R"(admit: ["127.10.0.0/16"])", "rule 1"},
       {"localities", R"(admit: ["127.99.0.0/16"])", "rule 1"},
       // Ill-formed, each in its own way.
       {"limits", "site: level: 0", "form"},
       {"limits", "site: channel: level: 0", "bounds"},
       {"limits", "site: channel: delay: 50", "bounds"},
       {"limits", "site: channel: delay: -5ms", "bounds"},
       {"limits", "site: channel: lines_per_s: \"many\"", "bounds"},
       {"limits", "site: channel: delay: [", "form"},
       {"limits", "site: channel: {delay: 300ms, delay_most: 200ms}", "bounds"},
       {"limits", "site: guarantees: start_capacity: 1.5", "bounds"},
       {"settings", "site: reports: load: \"probe\"\nsite: probes: allowed: false", "bounds"},
       {"wishes", "site: proxies: 9", "form"},
       {"settings", "instance: 4", "form"},
       {"settings", "discovery: \"127.10.0.1:1\"", "form"},
       {"settings", "control: origin: \"mine\"", "form"},
       {"classes", "site: classes: []", "bounds"},
       {"localities", localities(R"({name: "north", prefixes: ["127.10.0.1/16"]})"), "bounds"},
       {"localities", localities("{name: \"Nord Ost\", prefixes: []}"), "bounds"},
       {"telemetry", "remote_write: url: \"receiver\"", "bounds"},
       {"telemetry",
        R"(remote_write: {url: "http://127.0.0.1:9090/w", credentials: {kind: "bearer", file: "/nowhere"}})",
        "bounds"},
       {"alerts", "groups: [{name: g, rules: [{alert: A, expr: 'nothing_like_this > 1'}]}]", "reference"},
       {"alerts", "groups: [{name: g, rules: [{alert: A, expr: 'rate('}]}]", "form"},
       {"alerts", "groups: {", "form"},
       // Of these the last two are seen by the rehearsal alone; the last has no message left for a drain.
       {"settings", "site: reports: lines_per_s: 0.2/s", "reports"},
       {"limits", "site: channel: {messages: 4, span: 40s}", "rule 5"},
       {"limits", "site: channel: {messages: 5, span: 120s}", "rule 3"}});
  return out;
}

inline std::vector<Change> harmless() {
  std::vector<Change> out;
  auto each = [&](const char* type, const std::string& before, const std::vector<std::string>& values,
                  Fleet fleet = Fleet::warm) {
    for (auto& value : values) out.push_back({type, before + value, "", fleet});
  };
  each("limits", "site: guarantees: drain_grace: ", {"500ms", "900ms", "2s", "10s"});
  each("limits", "site: guarantees: empty_for: ", {"1s", "3s", "10s"});
  each("limits", "site: guarantees: warm_up: ", {"4s", "10s"});
  each("limits", "site: guarantees: warm_up: ", {"6s"}, Fleet::one_cold);
  each("limits", "site: guarantees: start_capacity: ", {"0.2", "0.1"});
  each("limits", "site: guarantees: start_capacity: ", {"0.2"}, Fleet::one_cold);
  each("limits", "site: guarantees: tip_multiple: ", {"3", "2"});
  each("limits", "site: guarantees: fall: ", {"500ms"});
  each("limits", "site: channel: delay_most: ", {"80ms", "200ms", "290ms"});
  each("limits", "site: channel: delay: ", {"10ms", "40ms"});
  each("limits", "site: channel: lines_per_s: ", {"800/s", "1500/s", "3000/s", "10000/s"});
  each("limits", "site: channel: envelope_lines: ", {"0", "2", "5"});
  each("limits", "site: channel: most_waiting_lines: ", {"1000", "4000", "100000"});
  each("limits", "site: channel: messages: ", {"20", "40", "0"});
  each("limits", "site: channel: messages: ", {"12", "15"}, Fleet::busy_channel);
  each("limits", "site: channel: span: ", {"5s", "8s"});
  each("settings", "streams: heartbeat: ", {"100ms", "300ms", "1s"});
  each("settings", "streams: hello_within: ", {"1s", "5s"});
  each("settings", "streams: confirm_within: ", {"2s", "20s"});
  each("limits", "streams: most: ", {"10", "1000"});
  each("limits", "streams: most_frame: ", {"128KiB", "1MiB"}, Fleet::large);
  each("limits", "streams: most_unsent: ", {"64KiB", "16MiB"}, Fleet::large);
  each("limits", "site: reports: period: ", {"200ms", "400ms"});
  each("limits", "site: reports: lines_per_s: ", {"500/s", "5000/s"});
  each("settings", "site: list: quiet: ", {"2s", "8s"});
  each("settings", "site: list: must_ask_in: ", {"5s", "20s"});
  each("settings", "site: probes: timeout: ", {"200ms", "1s"});
  each("settings", "site: probes: allowed: ", {"false"});
  each("settings", "site: proxies: ", {"8", "9", "20", "60"});
  each("settings", "site: retry_wait_factor: ", {"1", "1.5", "2"});
  each("settings", "site: connection_idle: ", {"5s", "30s"});
  each("settings", "site: default_retry: ", {"\"after_proof\"", "\"twice\""});
  each("settings", "log: level: ", {"\"debug\"", "\"error\""});
  each("settings", "stop_within: ", {"0ms", "3s"});
  out.insert(
      out.end(),
      {{"classes",
        classes(R"({name: "read", slo: 400ms, deadline: 2s, semantics: "retryable"})", kBuy, kPay)},
       {"classes",
        classes(R"({name: "read", slo: 500ms, deadline: 2s, worth: 2, semantics: "retryable"})", kBuy, kPay)},
       {"classes",
        classes(R"({name: "read", slo: 500ms, deadline: 3s, semantics: "retryable", home_only: true})", kBuy,
                kPay)},
       {"classes", classes(R"({name: "read", slo: 500ms, deadline: 2s})", kBuy, kPay)},
       {"classes", classes(kRead, R"({name: "buy", slo: 500ms, deadline: 2s, worth: 3})", kPay)},
       {"classes", classes(kRead, buy(R"({scope: "cell", window: 2s})"), kPay)},
       {"classes", classes(kRead, kBuy, std::string(kPay) + R"(, {name: "new", slo: 1s, deadline: 3s})")},
       {"localities", localities(std::string(kNorth) + ", " + kSouth + R"(, {name: "west", prefixes: []})")},
       {"localities", localities(R"({name: "north", prefixes: ["127.10.0.0/16", "127.11.0.0/16"]}, )" +
                                 std::string(kSouth))},
       {"localities", R"(admit: ["127.0.0.0/8"])"},
       {"localities", R"(admit: ["127.10.0.0/16", "127.20.0.0/16"])"},
       {"telemetry", "remote_write: {url: \"http://127.10.0.8:9090/w\", interval: 2s}"},
       {"alerts",
        "groups: [{name: g, rules: [{alert: A, expr: 'beamshunt_channel_backlog_lines > 100', "
        "labels: {severity: ticket}, annotations: {summary: s, runbook_url: "
        "'docs/operations.md#backlog'}}]}]"}});
  return out;
}

}  // namespace beamshunt::gate::test
