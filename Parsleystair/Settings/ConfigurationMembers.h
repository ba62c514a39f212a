#pragma once

#include "Parsleystair/Settings/Configuration.h"

namespace parsleystair {

/// Calls `aVisit(name, pointer to member)` for each member of the type that
/// JSON knows by that name, except for lists of targets and rules. One table
/// for decoding, encoding, comparing and changing keeps the four alike.
template<typename Visit>
void VisitMembers(const request_rule*, const Visit& aVisit)
{
  aVisit("name", &request_rule::mName);
  aVisit("method", &request_rule::mMethod);
  aVisit("path", &request_rule::mPath);
  aVisit("keySource", &request_rule::mKeySource);
  aVisit("keyName", &request_rule::mKeyName);
  aVisit("idempotent", &request_rule::mIdempotent);
  aVisit("withoutKey", &request_rule::mWithoutKey);
  aVisit("keyFormat", &request_rule::mKeyFormat);
  aVisit("priority", &request_rule::mPriority);
  aVisit("deadlineMs", &request_rule::mDeadline);
  aVisit("maxQueueTimeMs", &request_rule::mMaxQueueTime);
  aVisit("maxAttempts", &request_rule::mMaxAttempts);
}

template<typename Visit>
void VisitMembers(const target_configuration*, const Visit& aVisit)
{
  aVisit("name", &target_configuration::mName);
  aVisit("host", &target_configuration::mHost);
  aVisit("port", &target_configuration::mPort);
  aVisit("failureDomain", &target_configuration::mFailureDomain);
  aVisit("concurrency", &target_configuration::mConcurrency);
  aVisit("connections", &target_configuration::mConnections);
  aVisit("checksGrants", &target_configuration::mChecksGrants);
  aVisit("leaving", &target_configuration::mDraining);
}

template<typename Visit>
void VisitMembers(const service_configuration*, const Visit& aVisit)
{
  aVisit("name", &service_configuration::mName);
  aVisit("ownership", &service_configuration::mOwnership);
  aVisit("slotCount", &service_configuration::mSlotCount);
  aVisit("namedKeys", &service_configuration::mNamedKeys);
  aVisit("retryBudgetPercent", &service_configuration::mRetryBudgetPercent);
  aVisit("orderWindows", &service_configuration::mNoMoveWindows);
}

template<typename Visit>
void VisitMembers(const measure_weights*, const Visit& aVisit)
{
  aVisit("imbalance", &measure_weights::mImbalance);
  aVisit("churn", &measure_weights::mChurn);
  aVisit("unavailableTime", &measure_weights::mUnavailableTime);
}

template<typename Visit>
void VisitMembers(const failure_domain_configuration*, const Visit& aVisit)
{
  aVisit("name", &failure_domain_configuration::mName);
  aVisit("region", &failure_domain_configuration::mRegion);
}

} // namespace parsleystair
