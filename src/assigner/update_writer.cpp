#include "assigner/update_writer.h"

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

// Far more tables than a controller makes; what is left of the number's 32 bits tells controllers apart. The
// last range stays free, for native_protocol::kAllTables is in it.
constexpr std::uint32_t kTablesPerController = 1 << 16;
constexpr std::uint32_t kControllerRanges = 0xffffffff / kTablesPerController - 1;

class ChannelUpdateVisitor {
 public:
  ChannelUpdateVisitor(std::uint32_t controller, const EndpointCatalog& endpoints)
      : controller_(controller), endpoints_(endpoints) {}

  native_protocol::Update operator()(const assignments::TableAssigned& x) const {
    return native_protocol::AssignTableUpdate{x.classes, wire_table_id(controller_, x.table)};
  }
  native_protocol::Update operator()(const assignments::WeightChanged& x) const {
    native_protocol::WeightUpdate update{.table = wire_table_id(controller_, x.table),
                                         .endpoint = to_underlying(x.endpoint),
                                         .weight = x.weight};
    const EndpointListEntry* endpoint = endpoints_.find(update.endpoint);
    if (endpoint && x.weight > 0) {
      update.locality = static_cast<std::uint16_t>(endpoint->locality);
      update.cell = endpoint->cell;
      update.ip = endpoint->address.ip;
      update.port = endpoint->address.port;
    }
    return update;
  }
  native_protocol::Update operator()(const assignments::TableCleared& x) const {
    return native_protocol::ClearTableUpdate{wire_table_id(controller_, x.table)};
  }
  native_protocol::Update operator()(const assignments::LimitChanged& x) const {
    return native_protocol::AdmissionLimitUpdate{
        x.all_tables ? native_protocol::kAllTables : wire_table_id(controller_, x.table), x.classes,
        x.limit.limit, static_cast<std::uint8_t>(x.limit.retry_mode)};
  }
  native_protocol::Update operator()(const assignments::EndpointExcluded& x) const {
    return native_protocol::ExcludeEndpointUpdate{to_underlying(x.endpoint), x.excluded};
  }

 private:
  std::uint32_t controller_;
  const EndpointCatalog& endpoints_;
};

}  // namespace

std::uint32_t wire_table_id(std::uint32_t controller, TableId table) {
  return controller % kControllerRanges * kTablesPerController + to_underlying(table);
}

native_protocol::Update to_channel_update(std::uint32_t controller, const assignments::Update& update,
                                          const EndpointCatalog& endpoints) {
  return std::visit(ChannelUpdateVisitor(controller, endpoints), update);
}

void UpdateWriter::request_acks(std::uint32_t sequence_number, bool all_proxies,
                                const SessionTable& sessions) {
  if (all_proxies)
    for (const auto& [proxy, stream] : sessions.proxies()) messages_.try_emplace(proxy);
  for (auto& [proxy, updates] : messages_)
    updates.emplace_back(native_protocol::AckRequestUpdate{sequence_number});
}

}  // namespace beamshunt::assigner
