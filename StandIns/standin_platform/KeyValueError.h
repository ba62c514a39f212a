#pragma once

#include "Parsleystair/Core/Error.h"

namespace parsleystair {

/// A call that the store refuses; it had no effect. The codes are those of
/// gRPC, which etcd's JSON mapping passes on.
class key_value_error : public error
{
public:
  static constexpr int kInvalidArgument = 3;
  static constexpr int kNotFound = 5;
  static constexpr int kFailedPrecondition = 9;
  static constexpr int kOutOfRange = 11;

  key_value_error(int aCode, const std::string& aText)
    : error(aText)
    , mCode(aCode)
  {
  }

  [[nodiscard]] int Code() const { return mCode; }

private:
  int mCode;
};

} // namespace parsleystair
