// Actions to the parts of update messages: which updates share a part, and which must not.
#include "platform/update_writer.h"

#include <gtest/gtest.h>

#include "platform/rig.h"

namespace beamshunt::platform::test {
namespace {

constexpr ProxyId kProxy{3};
constexpr TableId kTable{1};
constexpr ClassMask kLook = 1;
constexpr ClassMask kBoth = 3;

struct UpdateWriterTest : ::testing::Test {
  UpdateWriterTest() {
    catalog.apply(four().dump(), {{"north", "south"}, {"look", "buy"}}, 0, 0);
    writer.start_controller(2);
    writer.register_proxy(kProxy);
  }
  EndpointId endpoint(const char* uid) const { return catalog.find(uid).value(); }
  UpdateWriter::Parts take() { return writer.take_messages()[kProxy]; }

  EndpointCatalog catalog;
  UpdateWriter writer{catalog};
};

TEST_F(UpdateWriterTest, AnAssignedTableIsReplacedWithItsWeightsInOnePart) {
  writer.apply(SetWeight{kTable, endpoint("s-a"), 1.5});
  writer.apply(SetWeight{kTable, endpoint("s-b"), 0.5});
  EXPECT_TRUE(writer.take_messages().empty()) << "no proxy uses the table";
  writer.apply(AssignTable{kLook, kProxy, kTable});
  auto parts = take();
  ASSERT_EQ(parts.size(), 1u);
  EXPECT_EQ(parts[0].classes, kLook);
  EXPECT_TRUE(parts[0].replaces_table);
  EXPECT_EQ(parts[0].weights.size(), 2u);
}

TEST_F(UpdateWriterTest, TheLastWeightOfAnEndpointIsTheOneSent) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.apply(SetWeight{kTable, endpoint("s-a"), 1});
  writer.apply(SetWeight{kTable, endpoint("s-a"), 2});
  auto parts = take();
  ASSERT_EQ(parts.size(), 1u);
  ASSERT_EQ(parts[0].weights.size(), 1u);
  EXPECT_EQ(parts[0].weights[0].weight, 2);
}

// A proxy applies parts in their order, and a replacement voids the limits before it. A limit that joined the
// part of an earlier replacement would be lost by the later one.
TEST_F(UpdateWriterTest, ALimitFollowsTheReplacementThatWouldVoidIt) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.apply(SetAdmissionLimit{kTable, false, kLook, 4, RetryMode::once});
  writer.apply(ClearTable{kTable});
  writer.apply(SetAdmissionLimit{kTable, false, kLook, 5, RetryMode::once});
  auto parts = take();
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

TEST_F(UpdateWriterTest, ExclusionsAndTheirReversesNameTheEndpoint) {
  writer.apply(ExcludeEndpoint{endpoint("s-c"), true});
  writer.apply(ExcludeEndpoint{endpoint("s-c"), false});
  auto parts = take();
  ASSERT_EQ(parts.size(), 2u);
  EXPECT_EQ(parts[0].excluded, std::vector<std::string>{"s-c"});
  EXPECT_EQ(parts[1].readmitted, std::vector<std::string>{"s-c"});
  EXPECT_EQ(parts[0].classes, 0u);
}

// The controller names an endpoint that the directory has forgotten. A proxy ends a stream that names one
// which discovery never listed, so it is left out; the message goes out all the same, for the controller
// counted it.
TEST_F(UpdateWriterTest, AnEndpointWithoutAUidIsNeverNamed) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  static_cast<void>(writer.take_messages());
  writer.apply(SetWeight{kTable, EndpointId{12345}, 1});
  auto messages = writer.take_messages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_TRUE(messages.at(kProxy).empty());
}

// A proxy leaves in the middle of a batch: nothing is written to it any more.
TEST_F(UpdateWriterTest, ARemovedProxysMessageIsDropped) {
  writer.apply(AssignTable{kBoth, kProxy, kTable});
  writer.remove_proxy(kProxy);
  EXPECT_TRUE(writer.take_messages().empty());
}

}  // namespace
}  // namespace beamshunt::platform::test
