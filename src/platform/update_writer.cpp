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

ClassMask class_mask(ClassId request_class) { return ClassMask{1} << base::to_underlying(request_class); }

// Returns the part to which an update for exactly `classes` can be added; appends a part if there is none. A
// proxy applies parts in order, so the update must not be added before a part that shares one of the classes
// and that the update must follow. `must_follow` returns true for such a part.
template <typename Predicate>
UpdatePart& find_or_add_part(UpdateWriter::Parts& parts, ClassMask classes, Predicate must_follow) {
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

// A part for all classes changes the tables that the proxy brought along. Unlike an exclusion, which a proxy
// keeps over its streams, the removal leaves nothing to undo when the endpoint becomes available again.
void UpdateWriter::remove_held_endpoint(const RemoveHeldEndpoint& action) {
  if (!tables_.is_registered(action.proxy)) return;
  add_message(action.proxy);
  const std::string* uid = catalog_.uid(action.endpoint);
  if (uid == nullptr) return;
  const ClassMask all_classes = tables_.all_classes();
  UpdatePart& part =
      find_or_add_part(messages_[action.proxy], all_classes, [](const UpdatePart&) { return true; });
  part.weights.push_back({*uid, 0});
}

void UpdateWriter::write(ProxyId proxy, const assignments::Update& update) {
  // The proxy receives a message even if no part of the update can be written, because the controller has
  // counted the message.
  add_message(proxy);
  std::visit([&](const auto& concrete) { write_update(proxy, concrete); }, update);
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::TableAssigned& update) {
  messages_[proxy].push_back(UpdatePart{.classes = update.classes, .replaces_table = true});
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::TableCleared& update) {
  const ClassMask classes = tables_.classes_using(proxy, update.table);
  messages_[proxy].push_back(UpdatePart{.classes = classes, .replaces_table = true});
  // Clearing removes the table's own limits; the limit for all tables stays in force.
  write_limits(proxy, update.table, classes);
}

void UpdateWriter::write_update(ProxyId proxy, const assignments::WeightChanged& update) {
  // A proxy closes a stream on which it receives the name of an endpoint that discovery never listed.
  const std::string* uid = catalog_.uid(update.endpoint);
  if (uid == nullptr) return;
  UpdatePart& part = find_or_add_part(
      messages_[proxy], tables_.classes_using(proxy, update.table),
      [](const UpdatePart& later) { return later.replaces_table || !later.weights.empty(); });
  auto existing = std::find_if(part.weights.begin(), part.weights.end(),
                               [&](const WeightEntry& entry) { return entry.uid == *uid; });
  if (existing != part.weights.end()) existing->weight = update.weight;
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
    UpdatePart& part = find_or_add_part(
        messages_[proxy], class_mask(request_class),
        [](const UpdatePart& later) { return later.replaces_table || later.limit.has_value(); });
    part.limit = PartLimit{limit->limit, limit->retry_mode};
  }
}

}  // namespace beamshunt::platform
