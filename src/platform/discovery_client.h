// Keeps the endpoint list up to date with discovery: opens watches, applies the objects that watches and
// fetches deliver to the endpoint catalog, and tells the controller what changed or that the list was lost.
// Performs no I/O; the shell sends the requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "platform/configuration.h"
#include "platform/effects.h"
#include "platform/endpoint_catalog.h"
#include "platform/watch_set.h"

namespace beamshunt::platform {

// The connection between discovery, the endpoint catalog and the controller.
class DiscoveryClient {
 public:
  // Both arguments must outlive the client. `configuration` may be replaced in place; on_reconfigured() must
  // be called afterwards.
  DiscoveryClient(const Configuration& configuration, Outputs& outputs)
      : configuration_(configuration), outputs_(outputs), watches_(configuration.seed) {}

  // Returns the endpoints known from discovery and the cached list.
  [[nodiscard]] const EndpointCatalog& catalog() const { return catalog_; }

  // Applies the configuration's cached list, if there is one. An invalid list is logged and ignored. Here and
  // below, `now` is in ms of the monotonic clock, and `wall_now` in ms since 1970 at the same instant.
  void load_cached_list(Ms now, double wall_now);

  // ---- Requests of the controller ----
  // Passes the list as it is known now to a new controller.
  void start_controller();
  // Opens a watch unless one is open.
  void subscribe();
  // Closes all watches and cancels a pending retry.
  void unsubscribe();
  // Requests the complete list once.
  void fetch();

  // ---- Results from the shell ----
  // Applies the objects that `bytes` completes. Once an object of the watch was applied, older watches are
  // closed.
  void on_watch_bytes(WatchSet::Id watch, std::string_view bytes, Ms now, double wall_now);
  // Reports the list as lost if no watch is open any more. If only an older watch is left, schedules a retry
  // of the newest one. `reason` is logged.
  void on_watch_ended(WatchSet::Id watch, const std::string& reason, Ms now);
  // Applies the list object in the response to a fetch.
  void on_fetched(std::string_view json, Ms now, double wall_now);
  // Reports the list as lost if no watch is open. `reason` is logged.
  void on_fetch_failed(const std::string& reason);

  // Adapts to a configuration that was replaced. Opens a watch at once if the address or the localities
  // changed.
  void on_reconfigured(bool address_changed, bool localities_changed);

  // Reopens a lost watch once its backoff has passed.
  void run_timers(Ms now);
  // Returns the time (ms) at which run_timers() must be called, or nothing if no watch is to be reopened.
  [[nodiscard]] std::optional<Ms> next_due() const;

 private:
  [[nodiscard]] bool apply_list(std::string_view json, Ms now, double wall_now);
  void report_list_lost(const std::string& reason);
  void open_watch();
  void close_watches(const std::vector<WatchSet::Id>& watches);

  const Configuration& configuration_;
  Outputs& outputs_;
  EndpointCatalog catalog_;
  WatchSet watches_;
  bool reopen_watch_ = false;  // true: a watch is opened as soon as the backoff has passed
};

}  // namespace beamshunt::platform
