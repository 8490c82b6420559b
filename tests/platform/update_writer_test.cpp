// Tests how actions become parts of update messages: which updates share a part and which must not.
#include "platform/update_writer.h"

#include <gtest/gtest.h>

#include "platform/core_harness.h"

namespace beamshunt::platform::test {
namespace {

constexpr ProxyId kProxy{3};
constexpr TableId kTable{1};
constexpr ClassMask kLook = 1;
constexpr ClassMask kBoth = 3;

struct UpdateWriterTest : ::testing::Test {
  UpdateWriterTest() {
    catalog.apply(four_endpoints().dump(), {{"north", "south"}, {"look", "buy"}}, 0, 0);
    writer.start_controller(2);
    writer.register_proxy(kProxy);
  }
  EndpointId endpoint(const char* uid) const { return catalog.find(uid).value(); }
  UpdateWriter::Parts take_parts() { return writer.take_messages()[kProxy]; }

  EndpointCatalog catalog;
  UpdateWriter writer{catalog};
};

TEST_F(UpdateWriterTest, AssignedTableIsWrittenWithItsWeightsInOnePart) {
  writer.apply(SetWeight{kTable, endpoint("s-a"), 1.5});
  writer.apply(SetWeight{kTable, endpoint("s-b"), 0.5});
  EXPECT_TRUE(writer.take_messages().empty()) << "no proxy uses the table";
  writer.apply(AssignTable{kLook, kProxy, kTable});
  auto parts = take_parts();
  ASSERT_EQ(parts.size(), 1u);
  EXPECT_EQ(parts[0].classes, kLook);
  EXPECT_TRUE(parts[0].replaces_table);
  EXPECT_EQ(parts[0].weights.size(), 2u);
}

TEST_F(UpdateWriterTest, LastWeightOfAnEndpointIsWritten) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.apply(SetWeight{kTable, endpoint("s-a"), 1});
  writer.apply(SetWeight{kTable, endpoint("s-a"), 2});
  auto parts = take_parts();
  ASSERT_EQ(parts.size(), 1u);
  ASSERT_EQ(parts[0].weights.size(), 1u);
  EXPECT_EQ(parts[0].weights[0].weight, 2);
}

// A proxy applies parts in order, and a replacement of a table invalidates the limits before it. A limit
// added to the part of an earlier replacement would be lost with the later replacement.
TEST_F(UpdateWriterTest, LimitFollowsTheReplacementThatWouldInvalidateIt) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.apply(SetAdmissionLimit{kTable, false, kLook, 4, RetryMode::once});
  writer.apply(ClearTable{kTable});
  writer.apply(SetAdmissionLimit{kTable, false, kLook, 5, RetryMode::once});
  auto parts = take_parts();
  std::size_t last_replacement = 0;
  std::size_t last_limit = 0;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    if (parts[index].replaces_table) last_replacement = index;
    if (parts[index].limit) last_limit = index;
  }
  EXPECT_GT(last_limit, last_replacement);
  EXPECT_EQ(parts[last_limit].classes, kLook);
  EXPECT_EQ(parts[last_limit].limit->admission_limit, 5);
}

TEST_F(UpdateWriterTest, ExclusionsAndReadmissionsNameTheEndpoint) {
  writer.apply(ExcludeEndpoint{endpoint("s-c"), true});
  writer.apply(ExcludeEndpoint{endpoint("s-c"), false});
  auto parts = take_parts();
  ASSERT_EQ(parts.size(), 2u);
  EXPECT_EQ(parts[0].excluded, std::vector<std::string>{"s-c"});
  EXPECT_EQ(parts[1].readmitted, std::vector<std::string>{"s-c"});
  EXPECT_EQ(parts[0].classes, 0u);
}

// Guards against an exclusion in place of the removal: a proxy keeps exclusions over its streams, and nobody
// would end them after another assigner took over.
TEST_F(UpdateWriterTest, RemovalFromHeldTablesIsAWeightOfZeroForAllClasses) {
  writer.remove_held_endpoint({kProxy, endpoint("s-c")});
  writer.remove_held_endpoint({kProxy, endpoint("s-a")});
  auto parts = take_parts();
  ASSERT_EQ(parts.size(), 1u);
  EXPECT_EQ(parts[0].classes, kBoth);
  EXPECT_FALSE(parts[0].replaces_table);
  EXPECT_TRUE(parts[0].excluded.empty());
  ASSERT_EQ(parts[0].weights.size(), 2u);
  for (const WeightEntry& entry : parts[0].weights) EXPECT_EQ(entry.weight, 0);
}

TEST_F(UpdateWriterTest, RemovalFromHeldTablesComesBeforeTheFirstTable) {
  writer.remove_held_endpoint({kProxy, endpoint("s-c")});
  writer.apply(SetWeight{kTable, endpoint("s-c"), 1});
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  auto parts = take_parts();
  ASSERT_EQ(parts.size(), 2u);
  EXPECT_EQ(parts[0].weights[0].weight, 0);
  EXPECT_TRUE(parts[1].replaces_table);
  EXPECT_EQ(parts[1].weights[0].weight, 1);
}

// The controller names an endpoint that the catalog has dropped. The update must omit it, because a proxy
// closes a stream that names an endpoint which discovery never listed. The message is still sent, because the
// controller has counted it.
TEST_F(UpdateWriterTest, EndpointWithoutAUidIsNeverNamed) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  static_cast<void>(writer.take_messages());
  writer.apply(SetWeight{kTable, EndpointId{12345}, 1});
  auto messages = writer.take_messages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_TRUE(messages.at(kProxy).empty());
}

// A proxy disconnects during a batch. Nothing more is written for it.
TEST_F(UpdateWriterTest, MessageOfARemovedProxyIsDropped) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.remove_proxy(kProxy);
  EXPECT_TRUE(writer.take_messages().empty());
}

}  // namespace
}  // namespace beamshunt::platform::test
