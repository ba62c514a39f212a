#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace parsleystair {

/// A value that names one thing of one kind, so that ids of different kinds
/// don't mix. `Rep` is the stored type.
template<typename Tag, typename Rep>
class strong_id
{
public:
  strong_id() = default;
  explicit strong_id(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  [[nodiscard]] const Rep& Value() const { return mValue; }

  // clang-tidy 14 takes the compiler's own comparison with 0 for a pointer.
  auto operator<=>(const strong_id&) const = default; // NOLINT

  friend std::ostream& operator<<(std::ostream& aStream, const strong_id& aId)
  {
    return aStream << aId.mValue;
  }

private:
  Rep mValue{};
};

using vm_name = strong_id<struct vm_tag, std::string>;
using service_name = strong_id<struct service_tag, std::string>;
using target_name = strong_id<struct target_tag, std::string>;
using failure_domain_name = strong_id<struct failure_domain_tag, std::string>;
using region_name = strong_id<struct region_tag, std::string>;
using rule_name = strong_id<struct rule_tag, std::string>;
using caller_name = strong_id<struct caller_tag, std::string>;
using note_id = strong_id<struct note_tag, std::string>;

/// One try of one request by one router; random, never used twice.
using execution_id = strong_id<struct attempt_tag, std::string>;

/// Index of a slot within its service, from 0.
using slot_index = strong_id<struct slot_tag, uint32_t>;

/// Index of a group of slots within the deployment, from 0.
using group_index = strong_id<struct group_tag, uint32_t>;

/// Revision of the platform's store (`mod_revision`); 0 stands for none.
using store_revision = strong_id<struct store_revision_tag, uint64_t>;

/// Fence of one ownership of a slot; 0 stands for none.
using fence = strong_id<struct fence_tag, uint64_t>;

/// Revision of the configuration; 0 stands for none.
using configuration_revision =
  strong_id<struct configuration_revision_tag, uint64_t>;

/// One life of one process; random at start.
using incarnation = strong_id<struct incarnation_tag, uint64_t>;

} // namespace parsleystair

template<typename Tag, typename Rep>
struct std::hash<parsleystair::strong_id<Tag, Rep>>
{
  size_t operator()(const parsleystair::strong_id<Tag, Rep>& aId) const
  {
    return std::hash<Rep>()(aId.Value());
  }
};
