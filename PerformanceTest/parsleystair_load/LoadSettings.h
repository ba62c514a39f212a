#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleystair {

/// IP address and port of a router or target.
struct endpoint_address
{
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const endpoint_address&) const = default;
};

struct load_settings
{
  std::vector<endpoint_address> mRouters;
  /// Targets that are asked for their executions at the end; may be empty.
  std::vector<endpoint_address> mTargets;
  std::string mMixFile;
  /// Mean arrivals a second; they are independent of answers.
  double mRate = 100;
  duration mLength = 10s;
  /// Connections to all routers together; each carries one request at a time.
  uint32_t mConnections = 100;
  /// Longest queue of requests that wait for a connection.
  uint32_t mMaxWaiting = 1000;
  duration mTimeout = 5s;
  uint64_t mKeys = 1000;
  /// Exponent of the key distribution; 0 draws all keys alike.
  double mZipf = 0.99;
  /// This many of the hottest keys get `mHotShare` of all requests extra.
  uint64_t mHotKeys = 0;
  double mHotShare = 0.5;
  uint64_t mSeed = 1;
  bool mJson = false;
  bool mHelp = false;

  bool operator==(const load_settings&) const = default;
};

/// Reads the command line. Throws `value_error` for the first wrong argument.
load_settings ParseLoadArguments(int aArgumentCount,
                                 const char* const* aArguments);

/// Text of --help.
std::string LoadHelp();

/// Reads `HOST:PORT` or `[HOST]:PORT`. Throws `value_error`.
endpoint_address ParseEndpoint(const std::string& aName,
                               const std::string& aText);

} // namespace parsleystair
