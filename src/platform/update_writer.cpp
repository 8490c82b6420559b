#include "platform/update_writer.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <ranges>
#include <string>
#include <utility>

#include "base/enums.h"

namespace beamshunt::platform {
namespace {

ClassMask mask_of(ClassId request_class) { return ClassMask{1} << base::to_underlying(request_class); }

// The part that may take one more update for exactly these classes, a new one if there is none. A proxy
// applies parts in their order, so an update may not join a part before a later one that concerns one of the
// classes and that it must follow: `must_follow` tells whether that holds of a part.
template <typename Predicate>
UpdatePart& part_for(UpdateWriter::Parts& parts, ClassMask classes, Predicate must_follow) {
  for (UpdatePart& part : std::views::reverse(parts)) {
    if (part.classes == classes) return part;
    if ((part.classes & classes) != 0 && must_follow(part)) break;
  }
  parts.emplace_back().classes = classes;
  return parts.back();
}

}  // namespace

void UpdateWriter::remove_proxy(ProxyId proxy) {
  messages_.erase(proxy);
  tables_.remove_proxy(proxy);
}

std::map<ProxyId, UpdateWriter::Parts> UpdateWriter::take_messages() { return std::exchange(messages_, {}); }

void UpdateWriter::write(ProxyId proxy, const assignments::Update& update) {
  // The proxy is sent a message even where nothing of the update can be written, as the controller counted
  // it.
  add_message(proxy);
  std::visit([&](const auto& concrete) { write_update(proxy, concrete); }, update);
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::TableAssigned& update) {
  messages_[proxy].push_back(UpdatePart{.classes = update.classes, .replaces_table = true});
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::TableCleared& update) {
  const ClassMask classes = tables_.classes_using(proxy, update.table);
  messages_[proxy].push_back(UpdatePart{.classes = classes, .replaces_table = true});
  // The limit for all tables outlives the table's own.
  write_limits(proxy, update.table, classes);
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::WeightChanged& update) {
  // A proxy ends a stream that names an endpoint which discovery never listed.
  const std::string* uid = catalog_.uid(update.endpoint);
  if (uid == nullptr) return;
  UpdatePart& part =
      part_for(messages_[proxy], tables_.classes_using(proxy, update.table),
               [](const UpdatePart& later) { return later.replaces_table || !later.weights.empty(); });
  auto same = std::find_if(part.weights.begin(), part.weights.end(),
                           [&](const WeightEntry& entry) { return entry.uid == *uid; });
  if (same != part.weights.end()) same->weight = update.weight;
  else part.weights.push_back({*uid, update.weight});
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::LimitChanged& update) {
  if (!update.all_tables) {
    write_limits(proxy, update.table, update.classes & tables_.classes_using(proxy, update.table));
    return;
  }
  for (TableId table : tables_.tables_of(proxy))
    write_limits(proxy, table, update.classes & tables_.classes_using(proxy, table));
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::EndpointExcluded& update) {
  const std::string* uid = catalog_.uid(update.endpoint);
  if (uid == nullptr) return;
  UpdatePart& part = messages_[proxy].emplace_back();
  (update.excluded ? part.excluded : part.readmitted).push_back(*uid);
}

void UpdateWriter::write_limits(ProxyId proxy, TableId table, ClassMask classes) {
  for (std::uint32_t index = 0; (classes >> index) != 0; ++index) {
    if ((classes >> index & 1) == 0) continue;
    const ClassId request_class{index};
    auto limit = tables_.effective_limit(table, request_class);
    if (!limit) continue;
    UpdatePart& part = part_for(messages_[proxy], mask_of(request_class), [](const UpdatePart& later) {
      return later.replaces_table || later.limit.has_value();
    });
    part.limit = PartLimit{limit->limit, limit->retry_mode};
  }
}

}  // namespace beamshunt::platform
