#include "Parsleystair/Settings/RouterSettings.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Settings/JsonShape.h"
#include "Parsleystair/Settings/Names.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// A settings file lists at most a few hundred seed peers.
constexpr size_t kMaxSettingsBytes = 1'048'576;

constexpr const char* kLoopback = "127.0.0.1";

constexpr const char* kSchema = R"json({
  "definitions": {
    "name": {
      "type": "string",
      "description": "a string that is a name"
    },
    "host": {
      "type": "string",
      "description": "a string that is an IPv4 or IPv6 address"
    },
    "port": {
      "type": "integer", "minimum": 1, "maximum": 65535,
      "description": "an integer from 1 to 65535"
    },
    "address": {
      "type": "object",
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" }
      },
      "required": ["host", "port"],
      "additionalProperties": false,
      "description": "an object with host and port"
    }
  },
  "type": "object",
  "properties": {
    "vm": { "$ref": "#/definitions/name" },
    "failureDomain": { "$ref": "#/definitions/name" },
    "callers": { "$ref": "#/definitions/address" },
    "operators": {
      "type": "object",
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" }
      },
      "required": ["port"],
      "additionalProperties": false,
      "description": "an object with port and, if not 127.0.0.1, host"
    },
    "peers": { "$ref": "#/definitions/address" },
    "platform": { "$ref": "#/definitions/address" },
    "seedPeers": {
      "type": "array", "maxItems": 1000,
      "items": {
        "type": "object",
        "properties": {
          "vm": { "$ref": "#/definitions/name" },
          "host": { "$ref": "#/definitions/host" },
          "port": { "$ref": "#/definitions/port" }
        },
        "required": ["vm", "host", "port"],
        "additionalProperties": false,
        "description": "an object with vm, host and port"
      },
      "description": "an array of at most 1000 objects with vm, host and port"
    },
    "workers": {
      "type": "integer", "minimum": 1, "maximum": 64,
      "description": "an integer from 1 to 64"
    },
    "limits": {
      "type": "object",
      "properties": {
        "maxHeaderBytes": {
          "type": "integer", "minimum": 1024, "maximum": 1048576,
          "description": "an integer from 1024 to 1048576"
        },
        "maxBodyBytes": {
          "type": "integer", "minimum": 0, "maximum": 16777216,
          "description": "an integer from 0 to 16777216"
        }
      },
      "additionalProperties": false,
      "description":
        "an object with maxHeaderBytes and maxBodyBytes"
    },
    "shutdownLimitMs": {
      "type": "integer", "minimum": 0, "maximum": 3600000,
      "description": "an integer from 0 to 3600000"
    }
  },
  "required": ["vm", "failureDomain", "callers", "operators", "peers",
               "platform"],
  "additionalProperties": false,
  "description": "an object of settings"
})json";

[[noreturn]] void Refuse(const std::string& aPath,
                         const json& aValue,
                         const std::string& aAllowed)
{
  throw value_error(aPath, RenderValue(aValue.dump()), aAllowed);
}

std::string ReadName(const json& aObject,
                     const char* aMember,
                     const std::string& aPathPrefix)
{
  const json& value = aObject.at(aMember);
  if (!IsName(value.get<std::string>())) {
    Refuse(aPathPrefix + aMember, value, kNameAllowed);
  }
  return value.get<std::string>();
}

socket_address ReadAddress(const json& aObject, const std::string& aPath)
{
  socket_address address;
  address.mHost = aObject.value("host", kLoopback);
  address.mPort = aObject.at("port").get<uint16_t>();
  if (!IsIpAddress(address.mHost)) {
    Refuse(aPath + ".host", address.mHost, kHostAllowed);
  }
  return address;
}

std::vector<seed_peer> ReadSeedPeers(const json& aArray)
{
  std::vector<seed_peer> peers;
  for (size_t i = 0; i < aArray.size(); ++i) {
    const std::string path = "seedPeers[" + std::to_string(i) + "]";
    peers.push_back({ vm_name(ReadName(aArray[i], "vm", path + ".")),
                      ReadAddress(aArray[i], path) });
  }
  return peers;
}

caller_limits ReadLimits(const json& aObject)
{
  caller_limits limits;
  limits.mMaxHeaderBytes =
    aObject.value("maxHeaderBytes", limits.mMaxHeaderBytes);
  limits.mMaxBodyBytes = aObject.value("maxBodyBytes", limits.mMaxBodyBytes);
  return limits;
}

router_settings ReadSettings(const json& aDocument)
{
  router_settings settings;
  settings.mVm = vm_name(ReadName(aDocument, "vm", ""));
  settings.mFailureDomain =
    failure_domain_name(ReadName(aDocument, "failureDomain", ""));
  settings.mCallers = ReadAddress(aDocument.at("callers"), "callers");
  settings.mOperators = ReadAddress(aDocument.at("operators"), "operators");
  settings.mPeers = ReadAddress(aDocument.at("peers"), "peers");
  settings.mPlatform = ReadAddress(aDocument.at("platform"), "platform");
  settings.mSeedPeers =
    ReadSeedPeers(aDocument.value("seedPeers", json::array()));
  settings.mWorkers = aDocument.value("workers", settings.mWorkers);
  settings.mLimits = ReadLimits(aDocument.value("limits", json::object()));
  settings.mShutdownLimit = std::chrono::milliseconds(
    aDocument.value("shutdownLimitMs", uint32_t{ 30'000 }));
  return settings;
}

void RefuseSharedPorts(const router_settings& aSettings)
{
  if (aSettings.mOperators.mPort == aSettings.mCallers.mPort) {
    Refuse("operators.port",
           aSettings.mOperators.mPort,
           "a port other than that of callers");
  }
  if (aSettings.mPeers.mPort == aSettings.mCallers.mPort ||
      aSettings.mPeers.mPort == aSettings.mOperators.mPort) {
    Refuse("peers.port",
           aSettings.mPeers.mPort,
           "a port other than those of callers and operators");
  }
}

} // namespace

std::optional<socket_address> FindSocketAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  socket_address address{ aText.substr(0, colon), 0 };
  if (address.mHost.starts_with('[') && address.mHost.ends_with(']')) {
    address.mHost = address.mHost.substr(1, address.mHost.size() - 2);
  }
  const char* end = aText.data() + aText.size();
  const auto port =
    std::from_chars(aText.data() + colon + 1, end, address.mPort);
  const bool valid =
    IsIpAddress(address.mHost) && port.ec == std::errc() && port.ptr == end;
  return valid ? std::optional(address) : std::nullopt;
}

router_settings ParseRouterSettings(const std::string& aText)
{
  const std::vector<value_problem> problems = json_shape(kSchema).Check(aText);
  if (!problems.empty()) {
    const value_problem& first = problems.front();
    throw value_error(first.mPath, first.mValue, first.mAllowed);
  }
  router_settings settings = ReadSettings(json::parse(aText));
  RefuseSharedPorts(settings);
  return settings;
}

router_settings LoadRouterSettings(const std::string& aPath)
{
  return ParseRouterSettings(ReadTextFile(aPath, kMaxSettingsBytes));
}

std::string ReadTextFile(const std::string& aPath, size_t aMaxBytes)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw system_error("cannot open " + aPath + ": " + std::strerror(errno));
  }
  std::string text(aMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    throw system_error("cannot read " + aPath + ": " + std::strerror(errno));
  }
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > aMaxBytes) {
    throw system_error(aPath + " is larger than " + std::to_string(aMaxBytes) +
                       " bytes");
  }
  return text;
}

} // namespace parsleystair
