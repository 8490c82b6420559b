// What one controller has decided so far, and what each decision comes to for each proxy: weights, admission
// limits, table assignments and exclusions. Both protocols to proxies write from it. It performs no I/O and
// decides nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include "policy/controller.h"

namespace beamshunt::assignments {

struct AdmissionLimit {
  double limit = 0;  // a share or requests a second, by Settings::admission_limit_kind
  RetryMode retry_mode = RetryMode::never;
  bool operator==(const AdmissionLimit&) const = default;
};

// A weight table that proxies share.
struct WeightTable {
  std::map<EndpointId, double> weights;
  std::map<ClassId, AdmissionLimit> limits;
  std::map<ProxyId, ClassMask> proxies;  // that use it, and for which classes
};

// ---- Updates to one proxy. Class masks name their classes: 0 means none here. ----
struct TableAssigned {  // the proxy's table is empty now; its weights and limits follow
  ClassMask classes = 0;
  TableId table{};
};
struct WeightChanged {
  TableId table{};
  EndpointId endpoint{};
  double weight = 0;  // 0 removes the entry
};
struct TableCleared {  // of weights and limits
  TableId table{};
};
struct LimitChanged {
  TableId table{};
  bool all_tables =
      false;  // the lower of this and a table's own limit holds, with the table's own retry mode
  ClassMask classes = 0;
  AdmissionLimit limit;
};
struct EndpointExcluded {
  EndpointId endpoint{};
  bool excluded = true;
};
using Update = std::variant<TableAssigned, WeightChanged, TableCleared, LimitChanged, EndpointExcluded>;

class AssignmentTables {
 public:
  // Receives each update; called during apply(), which must not be called again from within.
  using WriteUpdate = std::function<void(ProxyId, const Update&)>;

  // `class_count`: number of request classes, at most 63.
  explicit AssignmentTables(std::size_t class_count) : all_classes_((ClassMask{1} << class_count) - 1) {}

  // A proxy is written to from its registration to its removal.
  void register_proxy(ProxyId proxy) { tables_of_proxy_.try_emplace(proxy); }
  void remove_proxy(ProxyId proxy);
  [[nodiscard]] bool is_registered(ProxyId proxy) const { return tables_of_proxy_.contains(proxy); }

  // Carries an action out. Each proxy that it concerns is written to, in ascending order of proxy ids.
  void apply(const SetWeight& action, const WriteUpdate& write);
  void apply(const ClearTable& action, const WriteUpdate& write);
  void apply(const AssignTable& action, const WriteUpdate& write);  // ignored for an unregistered proxy
  void apply(const ExcludeEndpoint& action, const WriteUpdate& write);
  void apply(const SetAdmissionLimit& action, const WriteUpdate& write);

  [[nodiscard]] const std::map<TableId, WeightTable>& tables() const { return tables_; }
  [[nodiscard]] const std::map<ClassId, AdmissionLimit>& limits_for_all_tables() const {
    return limits_for_all_tables_;
  }
  // The classes for which a proxy uses the table; 0: none.
  [[nodiscard]] ClassMask classes_using(ProxyId proxy, TableId table) const;
  // The tables of a registered proxy. Throws std::out_of_range for any other.
  [[nodiscard]] const std::set<TableId>& tables_of(ProxyId proxy) const { return tables_of_proxy_.at(proxy); }
  // The limit in force for a class of the table: its own, that for all tables, or the lower of the two.
  [[nodiscard]] std::optional<AdmissionLimit> effective_limit(TableId table, ClassId request_class) const;

 private:
  ClassMask all_classes_;
  std::map<TableId, WeightTable> tables_;
  std::map<ProxyId, std::set<TableId>> tables_of_proxy_;  // of registered proxies
  std::set<EndpointId> excluded_;
  std::map<ClassId, AdmissionLimit> limits_for_all_tables_;
};

}  // namespace beamshunt::assignments
