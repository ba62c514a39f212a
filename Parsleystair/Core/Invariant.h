#pragma once

namespace parsleystair {

/// Throws `invariant_error`. Called by PARSLEYSTAIR_INVARIANT.
[[noreturn]] void FailInvariant(const char* aCondition,
                                const char* aFile,
                                int aLine);

} // namespace parsleystair

/// Checks a condition that always holds; stays on in release builds.
#define PARSLEYSTAIR_INVARIANT(aCondition)                                     \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::parsleystair::FailInvariant(#aCondition, __FILE__, __LINE__);          \
    }                                                                          \
  } while (false)
