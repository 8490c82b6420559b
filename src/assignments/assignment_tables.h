// The assignments that one controller has decided: weight tables, admission limits, the tables that each
// proxy uses, and excluded endpoints. AssignmentTables stores them and translates each action of the
// controller into updates to single proxies, for both protocols to proxies. It performs no I/O and makes no
// decisions.
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

// The admission limit of a request class.
struct AdmissionLimit {
  double limit = 0;  // share of requests or requests per second, depending on Settings::admission_limit_kind
  RetryMode retry_mode = RetryMode::never;
  bool operator==(const AdmissionLimit&) const = default;
};

// A weight table, its admission limits and the proxies that use it.
struct WeightTable {
  std::map<EndpointId, double> weights;
  std::map<ClassId, AdmissionLimit> limits;
  std::map<ProxyId, ClassMask> proxies;  // users of the table, each with the classes it uses the table for
};

// ---- Updates to one proxy. In an update a class mask of 0 means no class, whereas in an action it means
// all. ----

// The proxy uses the table for the given classes from now on. The proxy must start with an empty table;
// updates with the weights and limits follow.
struct TableAssigned {
  ClassMask classes = 0;
  TableId table{};
};
// An endpoint's weight in a table has changed.
struct WeightChanged {
  TableId table{};
  EndpointId endpoint{};
  double weight = 0;  // 0 removes the entry
};
// All weights and limits of a table have been removed.
struct TableCleared {
  TableId table{};
};
// The admission limit of the given classes has changed, for one table or for all tables. If a table has a
// limit of its own, the lower of that and the limit for all tables applies, with the retry mode of the
// table's own.
struct LimitChanged {
  TableId table{};  // unused if `all_tables` is set
  bool all_tables = false;
  ClassMask classes = 0;
  AdmissionLimit limit;
};
// An endpoint has been excluded for all proxies, or its exclusion has ended.
struct EndpointExcluded {
  EndpointId endpoint{};
  bool excluded = true;
};
using Update = std::variant<TableAssigned, WeightChanged, TableCleared, LimitChanged, EndpointExcluded>;

// The current assignments of one controller and the registered proxies.
class AssignmentTables {
 public:
  // Callback that receives each update and the proxy to send it to. It is called during apply() and must not
  // call apply() itself.
  using WriteUpdate = std::function<void(ProxyId, const Update&)>;

  // `class_count` is the number of request classes, at most 63.
  explicit AssignmentTables(std::size_t class_count) : all_classes_((ClassMask{1} << class_count) - 1) {}

  // Starts and stops updates to a proxy. Registering a registered proxy and removing an unknown one have no
  // effect.
  void register_proxy(ProxyId proxy) { tables_of_proxy_.try_emplace(proxy); }
  void remove_proxy(ProxyId proxy);
  [[nodiscard]] bool is_registered(ProxyId proxy) const { return tables_of_proxy_.contains(proxy); }

  // Applies an action and passes an update for each affected proxy to `write`, in ascending order of proxy
  // ids. A class mask of 0 in an action means all classes.
  void apply(const SetWeight& action, const WriteUpdate& write);
  void apply(const ClearTable& action, const WriteUpdate& write);
  void apply(const AssignTable& action, const WriteUpdate& write);  // no effect for an unregistered proxy
  void apply(const ExcludeEndpoint& action, const WriteUpdate& write);
  void apply(const SetAdmissionLimit& action, const WriteUpdate& write);

  // Returns the mask of all request classes.
  [[nodiscard]] ClassMask all_classes() const { return all_classes_; }
  [[nodiscard]] const std::map<TableId, WeightTable>& tables() const { return tables_; }
  [[nodiscard]] const std::map<ClassId, AdmissionLimit>& limits_for_all_tables() const {
    return limits_for_all_tables_;
  }
  // Returns the classes for which the proxy uses the table, 0 if it does not use it.
  [[nodiscard]] ClassMask classes_using(ProxyId proxy, TableId table) const;
  // Returns the tables that a registered proxy uses. Throws std::out_of_range if the proxy is not registered.
  [[nodiscard]] const std::set<TableId>& tables_of(ProxyId proxy) const { return tables_of_proxy_.at(proxy); }
  // Returns the limit that applies to a class in the table: the table's own limit, the limit for all tables,
  // or the lower of the two, with the retry mode of the table's own, if both exist; nullopt if neither does.
  [[nodiscard]] std::optional<AdmissionLimit> effective_limit(TableId table, ClassId request_class) const;

 private:
  ClassMask all_classes_;
  std::map<TableId, WeightTable> tables_;
  std::map<ProxyId, std::set<TableId>> tables_of_proxy_;  // an entry for each registered proxy
  std::set<EndpointId> excluded_;
  std::map<ClassId, AdmissionLimit> limits_for_all_tables_;
};

}  // namespace beamshunt::assignments
