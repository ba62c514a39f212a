#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/Request/Classify.h"
#include "Parsleystair/Request/RetryPolicy.h"
#include "Parsleystair/Tasks/Messages.h"

#include <optional>
#include <string>

namespace parsleystair {

/// One request on its way through a worker.
struct request_flow
{
  flow_id mId;
  exchange_id mExchange;
  http_request mRequest;
  std::string mRequestId;
  classified_request mClassified;
  time_point mArrived;
  time_point mDeadline;
  uint64_t mFingerprint = 0;
  /// The control task has been asked if the request may run, and is told how
  /// it ended.
  bool mHasAttempt = false;
  std::optional<retry_policy> mRetry;
  /// An earlier try may have run the request.
  bool mMayHaveRun = false;
  /// Tries sent to a target so far.
  uint32_t mTries = 0;
  /// Target of the last try, and what it was sent with.
  target_name mTarget;
  fence mFence;
  time_point mSentAt;
  uint32_t mInFlightAtSend = 0;
};

} // namespace parsleystair
