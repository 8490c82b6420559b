#include "assignments/assignment_tables.h"

#include <algorithm>
#include <utility>

namespace beamshunt::assignments {
namespace {

ClassMask mask_of(ClassId request_class) { return ClassMask{1} << static_cast<std::uint32_t>(request_class); }

}  // namespace

void AssignmentTables::remove_proxy(ProxyId proxy) {
  auto found = tables_of_proxy_.find(proxy);
  if (found == tables_of_proxy_.end()) return;
  for (TableId id : found->second) tables_.at(id).proxies.erase(proxy);
  tables_of_proxy_.erase(found);
}

void AssignmentTables::apply(const SetWeight& action, const WriteUpdate& write) {
  WeightTable& table = tables_[action.table];
  if (action.weight > 0) table.weights[action.endpoint] = action.weight;
  else table.weights.erase(action.endpoint);
  for (const auto& [proxy, classes] : table.proxies)
    write(proxy, WeightChanged{action.table, action.endpoint, action.weight});
}

void AssignmentTables::apply(const ClearTable& action, const WriteUpdate& write) {
  WeightTable& table = tables_[action.table];
  table.weights.clear();
  table.limits.clear();
  for (const auto& [proxy, classes] : table.proxies) write(proxy, TableCleared{action.table});
}

void AssignmentTables::apply(const AssignTable& action, const WriteUpdate& write) {
  auto registered = tables_of_proxy_.find(action.proxy);
  if (registered == tables_of_proxy_.end()) return;  // it has disconnected since the decision
  ClassMask classes = action.classes != 0 ? action.classes : all_classes_;
  std::erase_if(registered->second, [&](TableId used) {
    auto& proxies = tables_.at(used).proxies;
    auto user = proxies.find(action.proxy);
    user->second &= ~classes;
    if (user->second != 0) return false;
    proxies.erase(user);
    return true;
  });
  WeightTable& table = tables_[action.table];
  table.proxies[action.proxy] |= classes;
  registered->second.insert(action.table);

  write(action.proxy, TableAssigned{classes, action.table});
  for (const auto& [endpoint, weight] : table.weights)
    write(action.proxy, WeightChanged{action.table, endpoint, weight});
  for (const auto& [request_class, limit] : table.limits)
    write(action.proxy, LimitChanged{action.table, false, mask_of(request_class), limit});
  for (const auto& [request_class, limit] : limits_for_all_tables_)
    write(action.proxy, LimitChanged{{}, true, mask_of(request_class), limit});
  for (EndpointId endpoint : excluded_) write(action.proxy, EndpointExcluded{endpoint, true});
}

void AssignmentTables::apply(const ExcludeEndpoint& action, const WriteUpdate& write) {
  if (action.excluded) excluded_.insert(action.endpoint);
  else excluded_.erase(action.endpoint);
  for (const auto& [proxy, tables] : tables_of_proxy_)
    write(proxy, EndpointExcluded{action.endpoint, action.excluded});
}

void AssignmentTables::apply(const SetAdmissionLimit& action, const WriteUpdate& write) {
  ClassMask classes = action.classes != 0 ? action.classes : all_classes_;
  AdmissionLimit limit{action.limit, action.retry_mode};
  auto& limits = action.all_tables ? limits_for_all_tables_ : tables_[action.table].limits;
  for (std::uint32_t c = 0; (classes >> c) != 0; ++c)
    if ((classes & mask_of(ClassId{c})) != 0) limits[ClassId{c}] = limit;

  LimitChanged update{action.table, action.all_tables, classes, limit};
  if (action.all_tables) {
    for (const auto& [proxy, tables] : tables_of_proxy_) write(proxy, update);
  } else {
    for (const auto& [proxy, used_for] : tables_[action.table].proxies) write(proxy, update);
  }
}

ClassMask AssignmentTables::classes_using(ProxyId proxy, TableId table) const {
  auto found = tables_.find(table);
  if (found == tables_.end()) return 0;
  auto user = found->second.proxies.find(proxy);
  return user == found->second.proxies.end() ? 0 : user->second;
}

std::optional<AdmissionLimit> AssignmentTables::effective_limit(TableId table, ClassId request_class) const {
  std::optional<AdmissionLimit> own;
  if (auto found = tables_.find(table); found != tables_.end()) {
    auto limit = found->second.limits.find(request_class);
    if (limit != found->second.limits.end()) own = limit->second;
  }
  auto for_all = limits_for_all_tables_.find(request_class);
  if (for_all == limits_for_all_tables_.end()) return own;
  if (!own) return for_all->second;
  return AdmissionLimit{std::min(own->limit, for_all->second.limit), own->retry_mode};
}

}  // namespace beamshunt::assignments
