#pragma once

#include "Parsleystair/Limits/CrashRecord.h"

#include <string>

namespace parsleystair {

std::string EncodeCrashRecords(const crash_records& aRecords);

/// Throws `parse_error` if the text is malformed.
crash_records DecodeCrashRecords(const std::string& aText);

/// Returns the same digest for records that differ only in their ages; 0 if
/// there are none.
uint64_t CrashRecordsDigest(const crash_records& aRecords);

/// The result is empty if the report contains nothing.
std::string EncodeCrashReport(const crash_report& aReport);

/// Throws `parse_error` if the text is malformed.
crash_report DecodeCrashReport(const std::string& aText);

} // namespace parsleystair
