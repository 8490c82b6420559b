#include "audit/sabotage.h"

#include <map>
#include <set>
#include <stdexcept>

namespace beamshunt::audit {
namespace {

using assigner::EndpointCatalog;
using base::Ms;
using Updates = std::vector<native_protocol::Update>;

constexpr Ms kEmptyAfter = 3000;      // since the first message: let the day begin
constexpr double kColdWeight = 1000;  // times what was ordered
constexpr double kQueueOver = 1.5;    // of the queue's limit, in each message

void no_drains(Ms, std::uint32_t, Updates& orders, const EndpointCatalog&) {
  std::erase_if(orders, [](const native_protocol::Update& order) {
    auto* line = std::get_if<native_protocol::WeightUpdate>(&order);
    return (line && line->weight <= 0) || std::get_if<native_protocol::ExcludeEndpointUpdate>(&order);
  });
}

void always_again(Ms, std::uint32_t, Updates& orders, const EndpointCatalog&) {
  for (native_protocol::Update& order : orders)
    if (auto* admit = std::get_if<native_protocol::AdmissionLimitUpdate>(&order)) admit->retry_mode = 3;
}

}  // namespace

assigner::MessageInterceptor sabotage(std::string_view name, const assigner::AssignerSettings& site) {
  if (name == "drain") return no_drains;
  if (name == "twice") return always_again;
  if (name == "cold") {
    return [warm_up = site.policy.warm_up_time.count()](Ms now, std::uint32_t, Updates& orders,
                                                        const EndpointCatalog& book) {
      for (native_protocol::Update& order : orders)
        if (auto* line = std::get_if<native_protocol::WeightUpdate>(&order))
          if (auto start = book.start_time(line->endpoint); start && now - *start < warm_up)
            line->weight *= kColdWeight;
    };
  }
  if (name == "queue") {
    double lines = site.policy.max_queued_lines * kQueueOver;
    return [lines](Ms, std::uint32_t, Updates& orders, const EndpointCatalog&) {
      Updates once = orders;
      while (!once.empty() && static_cast<double>(orders.size()) < lines)
        orders.insert(orders.end(), once.begin(), once.end());
    };
  }
  if (name == "empty") {
    struct State {
      Ms first = -1;
      std::map<std::uint32_t, std::set<std::pair<std::uint32_t, std::uint32_t>>> given;
    };
    return [s = std::make_shared<State>()](Ms now, std::uint32_t proxy, Updates& orders,
                                           const EndpointCatalog&) {
      if (s->first < 0) s->first = now;
      auto& given = s->given[proxy];
      for (const native_protocol::Update& order : orders)
        if (auto* line = std::get_if<native_protocol::WeightUpdate>(&order))
          given.insert({line->table, line->endpoint});
      if (now - s->first < kEmptyAfter) return;
      for (auto& [table, endpoint] : given)
        orders.emplace_back(native_protocol::WeightUpdate{.table = table, .endpoint = endpoint});
    };
  }
  throw std::invalid_argument("sabotage is drain, twice, cold, queue or empty, not '" + std::string(name) +
                              "'");
}

}  // namespace beamshunt::audit
