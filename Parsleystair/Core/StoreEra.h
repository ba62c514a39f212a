#pragma once

#include "Parsleystair/Core/Ids.h"

#include <cstdint>
#include <string>

namespace parsleystair {

/// Number of a period in the life of the platform's store. A store that comes
/// back from an older copy starts a new era: it has lost changes that it had
/// acknowledged, and assigns their revisions again.
using store_era = strong_id<struct store_era_tag, uint64_t>;

/// Era of a store that was never restored.
inline const store_era kFirstEra(1);

/// Numbers of revisions and of eras are below these.
inline constexpr uint64_t kRevisionNumberLimit = uint64_t{ 1 } << 40;
inline constexpr uint64_t kEraLimit = uint64_t{ 1 } << 21;

/// Revision with the number `aNumber` in the era `aEra`. Revisions of a later
/// era are higher than all revisions of earlier ones. Revision 0, which stands
/// for none, is the same in all eras.
store_revision MakeRevision(const store_era& aEra, uint64_t aNumber);

/// Era of a revision; the first era for revision 0.
store_era EraOf(const store_revision& aRevision);

/// Number by which the store knows a revision.
uint64_t NumberOf(const store_revision& aRevision);

/// Lowest number of a term and of a fence that is assigned in an era. It is
/// higher than all numbers of earlier eras, and exactly representable as a
/// double.
uint64_t FirstNumberOf(const store_era& aEra);

/// Era in which a number that counts from `FirstNumberOf` was assigned.
store_era EraOfNumber(uint64_t aNumber);

/// Name in the store for what `aName` stands for in the era `aEra`. Names of
/// different eras differ, so that a write that was decided in an earlier era
/// and is executed late changes nothing that later eras use.
std::string NameInEra(const std::string& aName, const store_era& aEra);

} // namespace parsleystair
