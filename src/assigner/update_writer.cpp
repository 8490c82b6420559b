#include "assigner/update_writer.h"

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

// A table id on the wire has 32 bits. Its lower 16 bits number the tables of a controller, far more than a
// controller creates; its upper bits distinguish controllers. The last range is not used because it contains
// native_protocol::kAllTables.
constexpr std::uint32_t kTablesPerController = 1 << 16;
constexpr std::uint32_t kControllerRanges = 0xffffffff / kTablesPerController - 1;

class ProtocolUpdateVisitor {
 public:
  ProtocolUpdateVisitor(std::uint32_t controller, const EndpointCatalog& endpoints)
      : controller_(controller), endpoints_(endpoints) {}

  native_protocol::Update operator()(const assignments::TableAssigned& change) const {
    return native_protocol::AssignTableUpdate{change.classes, wire_table_id(controller_, change.table)};
  }
  native_protocol::Update operator()(const assignments::WeightChanged& change) const {
    native_protocol::WeightUpdate update{.table = wire_table_id(controller_, change.table),
                                         .endpoint = to_underlying(change.endpoint),
                                         .weight = change.weight};
    const EndpointListEntry* endpoint = endpoints_.find(update.endpoint);
    if (endpoint && change.weight > 0) {
      update.locality = static_cast<std::uint16_t>(endpoint->locality);
      update.cell = endpoint->cell;
      update.ip = endpoint->address.ip;
      update.port = endpoint->address.port;
    }
    return update;
  }
  native_protocol::Update operator()(const assignments::TableCleared& change) const {
    return native_protocol::ClearTableUpdate{wire_table_id(controller_, change.table)};
  }
  native_protocol::Update operator()(const assignments::LimitChanged& change) const {
    return native_protocol::AdmissionLimitUpdate{
        change.all_tables ? native_protocol::kAllTables : wire_table_id(controller_, change.table),
        change.classes, change.limit.limit, static_cast<std::uint8_t>(change.limit.retry_mode)};
  }
  native_protocol::Update operator()(const assignments::EndpointExcluded& change) const {
    return native_protocol::ExcludeEndpointUpdate{to_underlying(change.endpoint), change.excluded};
  }

 private:
  std::uint32_t controller_;
  const EndpointCatalog& endpoints_;
};

}  // namespace

std::uint32_t wire_table_id(std::uint32_t controller, TableId table) {
  return controller % kControllerRanges * kTablesPerController + to_underlying(table);
}

native_protocol::Update to_protocol_update(std::uint32_t controller, const assignments::Update& update,
                                           const EndpointCatalog& endpoints) {
  return std::visit(ProtocolUpdateVisitor(controller, endpoints), update);
}

void UpdateWriter::request_acks(std::uint32_t sequence_number, bool all_proxies,
                                const SessionTable& sessions) {
  if (all_proxies)
    for (const auto& [proxy, stream] : sessions.proxies()) updates_.try_emplace(proxy);
  for (auto& [proxy, updates] : updates_)
    updates.emplace_back(native_protocol::AckRequestUpdate{sequence_number});
}

}  // namespace beamshunt::assigner
