#include "Parsleystair/KeyRanges/Handover.h"
#include "platform/Protocols.h"

#include <gtest/gtest.h>

// Responses to orders are read once, in `platform/`. What passes here is
// written to the store and sent to other routers and targets.

namespace parsleystair {

namespace {

order_response Read(const std::vector<http_header>& aHeaders)
{
  return platform::wire_orders().ReadOrderResponse({ 200, aHeaders, "" });
}

} // namespace

// Guards against a handover that is kept although it can't be stored or sent.
TEST(OrderResponse, UnusableHandoverIsNoneAndIsReported)
{
  for (const std::string& value : { std::string("\xff"),
                                    std::string("a\x7f"),
                                    std::string("a b"),
                                    std::string("a\x01"),
                                    std::string(),
                                    std::string(kMaxHandoverBytes + 1, 'a') }) {
    const order_response response = Read({ { "X-Handover", value } });
    EXPECT_EQ(response.mHandover, "") << value;
    EXPECT_TRUE(response.mHasUnusableHandover) << value;
    EXPECT_EQ(response.mResult, order_result::kAccepted);
  }
  const std::string longest(kMaxHandoverBytes, 'a');
  EXPECT_EQ(Read({ { "X-Handover", longest } }).mHandover, longest);
  EXPECT_FALSE(Read({ { "X-Handover", longest } }).mHasUnusableHandover);
  EXPECT_FALSE(Read({}).mHasUnusableHandover);
}

// Guards against a response with the identifiers of two orders that passes as
// the response to the first.
TEST(OrderResponse, TwoIdentifiersAreThoseOfNoOrder)
{
  const order_response two =
    Read({ { "X-Request-Id", "order-1" }, { "x-request-id", "order-2" } });
  EXPECT_FALSE(two.mRequestId.empty());
  EXPECT_NE(two.mRequestId, "order-1");
  EXPECT_NE(two.mRequestId, "order-2");
  const order_response same =
    Read({ { "X-Request-Id", "order-1" }, { "x-request-id", "order-1" } });
  EXPECT_EQ(same.mRequestId, "order-1");
}

// Guards against the same in a response to a caller's request.
TEST(OrderResponse, TwoIdentifiersAreThoseOfNoRequest)
{
  const http_response response{
    200, { { "X-Request-Id", "a" }, { "X-Request-Id", "b" } }, ""
  };
  const auto terms =
    platform::wire_requests().ReadResponse(response, target_name("t-1"));
  EXPECT_EQ(terms.mRequestId, "a, b");
}

} // namespace parsleystair
