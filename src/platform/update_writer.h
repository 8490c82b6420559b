// Translates the controller's decisions into update messages. Each action on tables becomes updates for the
// affected proxies, and all updates of one batch for one proxy become the parts of one message. The writer
// sends nothing.
//
// The protocol has no table numbers: a proxy has one table per class, so a change of a table is written for
// the classes for which the proxy uses the table. The protocol has no limit for all tables either: the writer
// writes the limit in force for each table and class, and repeats it after each replacement of a table, which
// invalidates the table's limits.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "assignments/assignment_tables.h"
#include "platform/endpoint_catalog.h"
#include "platform/message.h"

namespace beamshunt::platform {

// The tables of the present controller and the messages of the current batch.
class UpdateWriter {
 public:
  using Parts = std::vector<UpdatePart>;

  // `catalog` must outlive the writer.
  explicit UpdateWriter(const EndpointCatalog& catalog) : catalog_(catalog), tables_(0) {}

  // Resets all tables for a new controller, which has made no decisions yet. Proxies must be registered
  // again. `class_count` is the number of request classes, at most 63.
  void start_controller(std::size_t class_count) { tables_ = assignments::AssignmentTables(class_count); }

  // Starts writing updates for the proxy.
  void register_proxy(ProxyId proxy) { tables_.register_proxy(proxy); }
  // Removes the proxy and drops its message of the current batch.
  void remove_proxy(ProxyId proxy);

  // Applies an action to the tables and adds the resulting updates for each affected registered proxy.
  // `TableAction` is any action type that AssignmentTables::apply() accepts.
  template <typename TableAction>
  void apply(const TableAction& action) {
    tables_.apply(action, [this](ProxyId proxy, const assignments::Update& update) { write(proxy, update); });
  }
  // Adds the removal of an endpoint from all tables that the proxy holds from earlier streams.
  void remove_held_endpoint(const RemoveHeldEndpoint& action);
  // Ensures that the proxy receives a message in this batch, even one that only requests an ack.
  void add_message(ProxyId proxy) { messages_[proxy]; }

  // Returns the messages of this batch by proxy and starts the next batch.
  [[nodiscard]] std::map<ProxyId, Parts> take_messages();

  // Returns the tables that result from the controller's decisions so far.
  [[nodiscard]] const assignments::AssignmentTables& tables() const { return tables_; }

 private:
  void write(ProxyId proxy, const assignments::Update& update);
  void write_update(ProxyId proxy, const assignments::TableAssigned& update);
  void write_update(ProxyId proxy, const assignments::TableCleared& update);
  void write_update(ProxyId proxy, const assignments::WeightChanged& update);
  void write_update(ProxyId proxy, const assignments::LimitChanged& update);
  void write_update(ProxyId proxy, const assignments::EndpointExcluded& update);
  void write_limits(ProxyId proxy, TableId table, ClassMask classes);

  const EndpointCatalog& catalog_;
  assignments::AssignmentTables tables_;
  std::map<ProxyId, Parts> messages_;  // messages of the current batch
};

}  // namespace beamshunt::platform
