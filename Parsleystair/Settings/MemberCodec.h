#pragma once

#include "Parsleystair/Settings/Configuration.h"

#include <set>
#include <string>

namespace parsleystair {

/// Names of members as JSON has them.
using member_names = std::set<std::string>;

/// Functions for the types that `ConfigurationMembers.h` lists:
/// `request_rule`, `target_configuration`, `service_configuration` (without
/// targets and rules), `measure_weights` and `failure_domain_configuration`.

/// JSON text of an object with all members, or with those in `aNames` only.
template<typename T>
std::string EncodeMembers(const T& aValue,
                          const member_names* aNames = nullptr);

/// Sets the members that the text holds and returns their names. The text has
/// passed the check of its shape; members of other names are ignored.
template<typename T>
member_names DecodeMembers(const std::string& aText, T& aValue);

/// JSON text of one member.
template<typename T>
std::string EncodeMember(const T& aValue, const std::string& aName);

/// Names of the members in which two values differ.
template<typename T>
member_names DifferentMembers(const T& aLeft, const T& aRight);

/// Copies the members in `aNames`.
template<typename T>
void CopyMembers(const member_names& aNames, const T& aFrom, T& aTo);

} // namespace parsleystair
