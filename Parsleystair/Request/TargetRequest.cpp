#include "Parsleystair/Request/TargetRequest.h"

#include "Parsleystair/Request/Deadline.h"
#include "Parsleystair/Request/RequestIdentity.h"

#include <algorithm>
#include <array>

namespace parsleystair {

namespace {

constexpr const char* kSlotHeader = "Key-Slot";
constexpr const char* kFenceHeader = "Key-Fence";

/// Headers that only the router sets.
constexpr std::array<const char*, 5> kRouterHeaders = { kRequestIdHeader,
                                                        kCallerRequestIdHeader,
                                                        kSlotHeader,
                                                        kFenceHeader,
                                                        kDeadlineHeader };

bool IsRouterHeader(const http_header& aHeader)
{
  return std::any_of(
    kRouterHeaders.begin(), kRouterHeaders.end(), [&](const char* aName) {
      return SameHeaderName(aHeader.mName, aName);
    });
}

} // namespace

http_request MakeTargetRequest(const http_request& aRequest,
                               const std::string& aTryId,
                               const std::string& aRequestId,
                               duration aTimeLeft,
                               const std::optional<owned_slot>& aSlot)
{
  http_request request;
  request.mMethod = aRequest.mMethod;
  request.mPath = aRequest.mPath;
  request.mQuery = aRequest.mQuery;
  request.mBody = aRequest.mBody;
  request.mHeaders = EndToEndHeaders(aRequest.mHeaders);
  std::erase_if(request.mHeaders, IsRouterHeader);

  using std::chrono::milliseconds;
  const int64_t leftMs =
    std::chrono::duration_cast<milliseconds>(aTimeLeft).count();
  request.mHeaders.push_back({ kRequestIdHeader, aTryId });
  request.mHeaders.push_back({ kCallerRequestIdHeader, aRequestId });
  request.mHeaders.push_back(
    { kDeadlineHeader, std::to_string(std::max<int64_t>(1, leftMs)) });
  if (aSlot) {
    const slot_id& slot = aSlot->mSlot;
    request.mHeaders.push_back(
      { kSlotHeader,
        slot.mService.Value() + "/" + std::to_string(slot.mSlot.Value()) });
    request.mHeaders.push_back(
      { kFenceHeader, std::to_string(aSlot->mFence.Value()) });
  }
  return request;
}

} // namespace parsleystair
