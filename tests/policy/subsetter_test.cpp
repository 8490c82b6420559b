// Tests of the subsets of endpoints that tables contain.
#include "policy/subsetter.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

// A table in which every weight is 0, as while all its endpoints are starting with a capacity of 0, has no
// shares of its load. Its quotient of 0 / 0 must not reach the other tables of the locality.
TEST(Subsetter, TableWithoutWeightsLeavesTheOtherTablesOfItsLocality) {
  const Settings settings = two_locality_settings();
  SlowStart slow_start(settings);
  EndpointMap endpoints;
  endpoints[EndpointId(11)].listed = make_endpoint(11, 0);
  endpoints[EndpointId(12)].listed = make_endpoint(12, 0);
  ProxyGroupMap groups;
  auto add_group = [&](int rate_band, const EndpointWeights& weights) {
    ProxyGroup& group = groups[{.locality = Locality(0), .rate_band = rate_band}];
    group.members = {ProxyId(static_cast<std::uint32_t>(rate_band))};
    group.admitted = {10, 10};
    group.tables[false].desired = weights;
  };
  add_group(1, {{EndpointId(11), 0}});
  add_group(2, {{EndpointId(12), 2}});
  Subsetter(settings).balance_shared_endpoints(groups, {endpoints, slow_start, Time(Duration(100000))});
  const ProxyGroup& second = groups[{.locality = Locality(0), .rate_band = 2}];
  EXPECT_DOUBLE_EQ(second.tables.at(false).desired.at(EndpointId(12)), 2);
}

}  // namespace
}  // namespace beamshunt::test
