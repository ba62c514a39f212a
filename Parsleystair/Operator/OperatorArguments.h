#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/RouterSettings.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Arguments of the operators' command.
struct operator_arguments
{
  /// Command and its operands, like `release`, `show`, `2026-12-04`.
  std::vector<std::string> mWords;
  std::optional<socket_address> mPlatform;
  std::optional<socket_address> mRouter;
  /// Files that together make the base of a check or diff.
  std::vector<std::string> mAgainst;
  bool mJson = false;
  bool mWait = false;
  bool mRebase = false;
  bool mHelp = false;
  bool mVersion = false;
  /// Longest time of the whole command.
  duration mTimeout = 30s;
  /// Newest notes, or worst seconds, that are listed.
  uint32_t mLimit = 20;

  /// Throws `command_error` when the option is missing.
  [[nodiscard]] socket_address Platform() const;
  [[nodiscard]] socket_address Router() const;

  bool operator==(const operator_arguments&) const = default;
};

/// Throws `command_error` for unknown options and wrong values.
operator_arguments ParseOperatorArguments(
  const std::vector<std::string>& aArguments);

/// Text for `--help`.
std::string OperatorHelp();

} // namespace parsleystair
