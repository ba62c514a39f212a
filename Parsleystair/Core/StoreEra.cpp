#include "Parsleystair/Core/StoreEra.h"

#include "Parsleystair/Core/Invariant.h"

namespace parsleystair {

namespace {

/// Bits of a revision that hold its number.
constexpr uint32_t kRevisionBits = 40;
static_assert(kRevisionNumberLimit == uint64_t{ 1 } << kRevisionBits);
/// Bits of a term or a fence that count within an era. Targets get fences as
/// JSON numbers, of which 53 bits are exact.
constexpr uint32_t kNumberBits = 32;

} // namespace

store_revision MakeRevision(const store_era& aEra, uint64_t aNumber)
{
  PARSLEYSTAIR_INVARIANT(aEra >= kFirstEra && aEra.Value() < kEraLimit &&
                         aNumber < kRevisionNumberLimit);
  if (aNumber == 0) {
    return store_revision(0);
  }
  const uint64_t restores = aEra.Value() - kFirstEra.Value();
  return store_revision((restores << kRevisionBits) | aNumber);
}

store_era EraOf(const store_revision& aRevision)
{
  return store_era(kFirstEra.Value() + (aRevision.Value() >> kRevisionBits));
}

uint64_t NumberOf(const store_revision& aRevision)
{
  return aRevision.Value() & ((uint64_t{ 1 } << kRevisionBits) - 1);
}

uint64_t FirstNumberOf(const store_era& aEra)
{
  const uint64_t restores = aEra.Value() - kFirstEra.Value();
  return (restores << kNumberBits) | 1;
}

store_era EraOfNumber(uint64_t aNumber)
{
  return store_era(kFirstEra.Value() + (aNumber >> kNumberBits));
}

std::string NameInEra(const std::string& aName, const store_era& aEra)
{
  return aEra == kFirstEra ? aName : aName + "@" + std::to_string(aEra.Value());
}

} // namespace parsleystair
