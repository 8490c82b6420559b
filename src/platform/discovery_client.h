// Keeps the endpoint list up to date with discovery: opens watches, applies their objects and those of
// fetches to the directory, and tells the controller what changed or that the list was lost. It performs no
// I/O; the shell carries the requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "platform/configuration.h"
#include "platform/effects.h"
#include "platform/endpoint_catalog.h"
#include "platform/list_watch.h"

namespace beamshunt::platform {

class DiscoveryClient {
 public:
  // Both must outlive this; `configuration` may be replaced in place, see on_reconfigured().
  DiscoveryClient(const Configuration& configuration, Outputs& outputs)
      : configuration_(configuration), outputs_(outputs), watches_(configuration.seed) {}

  [[nodiscard]] const EndpointCatalog& catalog() const { return catalog_; }

  // Takes over the configuration's cached list, if it has one. A malformed one is logged and left out.
  // `now`: ms of the monotonic clock, `wall_now`: ms since 1970 at the same instant, here and below.
  void load_cached_list(Ms now, double wall_now);

  // ---- For the controller ----
  // A controller starts: it is told the list as it is known.
  void start_controller();
  void subscribe();
  void unsubscribe();
  void fetch();

  // ---- From the shell ----
  void on_watch_bytes(ListWatch::Id watch, std::string_view bytes, Ms now, double wall_now);
  void on_watch_ended(ListWatch::Id watch, const std::string& reason, Ms now);
  void on_fetched(std::string_view json, Ms now, double wall_now);
  void on_fetch_failed(const std::string& reason);

  // The configuration was replaced. A new address is watched at once.
  void on_reconfigured(bool address_changed, bool localities_changed);

  // Opens a lost watch again once its backoff has passed.
  void run_timers(Ms now);
  // When run_timers() has something to do; nothing: not before another event.
  [[nodiscard]] std::optional<Ms> next_due() const;

 private:
  [[nodiscard]] bool apply_list(std::string_view json, Ms now, double wall_now);
  void report_list_lost(const std::string& reason);
  void open_watch();
  void close_watches(const std::vector<ListWatch::Id>& watches);

  const Configuration& configuration_;
  Outputs& outputs_;
  EndpointCatalog catalog_;
  ListWatch watches_;
  bool reopen_watch_ = false;  // once the backoff has passed
};

}  // namespace beamshunt::platform
