#include "platform/discovery_client.h"

#include <utility>

namespace beamshunt::platform {

void DiscoveryClient::load_cached_list(Ms now, double wall_now) {
  if (configuration_.cached_list.empty()) return;
  try {
    catalog_.apply(configuration_.cached_list, configuration_.names, now, wall_now);
  } catch (const EndpointListError& error) {
    outputs_.log(log::Level::error, "cached_list_rejected", {{"reason", error.what()}});
  }
}

void DiscoveryClient::start_controller() {
  outputs_.events.emplace_back(EndpointList{EndpointListKind::cached, catalog_.listed()});
  if (!configuration_.settings.endpoint_list_by_subscription && !watches_.any_open()) reopen_watch_ = true;
}

void DiscoveryClient::subscribe() {
  // A watch that is open brings all that a new one would.
  if (!watches_.any_open()) open_watch();
}

void DiscoveryClient::unsubscribe() {
  reopen_watch_ = false;
  close_watches(watches_.close_all());
}

void DiscoveryClient::fetch() { outputs_.effects.emplace_back(FetchEndpointList{configuration_.discovery}); }

void DiscoveryClient::on_watch_bytes(ListWatch::Id watch, std::string_view bytes, Ms now, double wall_now) {
  try {
    for (const std::string& object : watches_.receive(watch, bytes)) {
      if (!apply_list(object, now, wall_now)) continue;
      // Former watches are closed only now that the new one is known to serve: until then they were the only
      // ones to bring a drain.
      close_watches(watches_.mark_serving(watch));
    }
  } catch (const WatchError& error) {
    close_watches({watch});
    on_watch_ended(watch, error.what(), now);
  }
}

void DiscoveryClient::on_watch_ended(ListWatch::Id watch, const std::string& reason, Ms now) {
  switch (watches_.end(watch, now)) {
    case ListWatch::EndEffect::none:
      return;
    case ListWatch::EndEffect::all_lost:
      report_list_lost(reason);
      return;
    case ListWatch::EndEffect::newest_lost:
      reopen_watch_ = true;
      outputs_.log(log::Level::warning, "watch_lost",
                   {{"reason", reason}, {"endpoint_list", "a former watch still serves"}});
      return;
  }
}

void DiscoveryClient::on_fetched(std::string_view json, Ms now, double wall_now) {
  static_cast<void>(apply_list(json, now, wall_now));  // a malformed one is logged
}

void DiscoveryClient::on_fetch_failed(const std::string& reason) {
  if (!watches_.any_open()) report_list_lost(reason);
  else outputs_.log(log::Level::warning, "endpoint_list_fetch_failed", {{"reason", reason}});
}

// Whether the bytes were an object of the list.
bool DiscoveryClient::apply_list(std::string_view json, Ms now, double wall_now) {
  EndpointCatalog::Change change;
  try {
    change = catalog_.apply(json, configuration_.names, now, wall_now);
  } catch (const EndpointListError& error) {
    outputs_.log(log::Level::error, "endpoint_list_rejected",
                 {{"reason", error.what()}, {"field", error.field}, {"expected", error.expected}});
    return false;
  }
  for (const ListEntryError& error : change.errors)
    outputs_.log(log::Level::warning, "endpoint_list_entry_malformed", {{"reason", error.message()}});
  const bool is_complete = change.list.kind == EndpointListKind::complete;
  outputs_.log(log::Level::info, "endpoint_list_applied",
               {{"version", std::to_string(catalog_.version())},
                {"complete", is_complete ? "yes" : "no"},
                {"outdated", change.outdated ? "yes" : "no"},
                {"entries", std::to_string(change.list.entries.size())}});
  outputs_.events.emplace_back(std::move(change.list));
  return true;
}

void DiscoveryClient::report_list_lost(const std::string& reason) {
  // Under subscriptions the controller says when to subscribe again.
  if (!configuration_.settings.endpoint_list_by_subscription) reopen_watch_ = true;
  outputs_.log(log::Level::warning, "endpoint_list_lost", {{"reason", reason}});
  outputs_.events.emplace_back(EndpointList{EndpointListKind::lost, {}});
}

void DiscoveryClient::on_reconfigured(bool address_changed, bool localities_changed) {
  // The list's localities are numbers of the former settings, and may be none of the present ones.
  if (localities_changed) catalog_.rename(configuration_.names);
  if (address_changed || localities_changed) open_watch();
}

void DiscoveryClient::open_watch() {
  reopen_watch_ = false;
  catalog_.on_resubscribe();
  ListWatch::Opened opened = watches_.open();
  close_watches(opened.superseded);
  outputs_.effects.emplace_back(OpenWatch{opened.id, configuration_.discovery, catalog_.version()});
}

void DiscoveryClient::close_watches(const std::vector<ListWatch::Id>& watches) {
  for (ListWatch::Id watch : watches) outputs_.effects.emplace_back(CloseWatch{watch});
}

void DiscoveryClient::run_timers(Ms now) {
  if (reopen_watch_ && now >= watches_.retry_at()) open_watch();
}

std::optional<Ms> DiscoveryClient::next_due() const {
  if (!reopen_watch_) return std::nullopt;
  return watches_.retry_at();
}

}  // namespace beamshunt::platform
