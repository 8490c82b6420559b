// What the controller decided, as update messages: each action on tables becomes the updates of the proxies
// that it concerns, and the updates of one batch to one proxy become the parts of one message. It sends
// nothing.
//
// The protocol has no table numbers: a proxy has one table a class, so a table's change goes out for the
// classes that the proxy uses it for. Nor has it a limit for all tables: what goes out is the limit in force
// for each table and class, again after each replacement of a table, which voids its limits.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "assignments/assignment_tables.h"
#include "platform/endpoint_catalog.h"
#include "platform/message.h"

namespace beamshunt::platform {

class UpdateWriter {
 public:
  using Parts = std::vector<UpdatePart>;

  // `directory` must outlive this.
  explicit UpdateWriter(const EndpointCatalog& catalog) : catalog_(catalog), tables_(0) {}

  // A controller starts: it has decided nothing yet. Proxies have to be registered again. `class_count`:
  // number of request classes, at most 63.
  void start_controller(std::size_t class_count) { tables_ = assignments::AssignmentTables(class_count); }

  void register_proxy(ProxyId proxy) { tables_.register_proxy(proxy); }
  // Its message of this batch is dropped too.
  void remove_proxy(ProxyId proxy);

  // Adds what the action comes to for each registered proxy that it concerns. `TableAction`: any that
  // AssignmentTables applies.
  template <typename TableAction>
  void apply(const TableAction& action) {
    tables_.apply(action, [this](ProxyId proxy, const assignments::Update& update) { write(proxy, update); });
  }
  // The proxy gets a message in this batch, if only to acknowledge it.
  void add_message(ProxyId proxy) { messages_[proxy]; }

  // The messages of this batch by proxy, and begins the next batch.
  [[nodiscard]] std::map<ProxyId, Parts> take_messages();

  // What the controller has decided so far.
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
  std::map<ProxyId, Parts> messages_;  // of this batch
};

}  // namespace beamshunt::platform
