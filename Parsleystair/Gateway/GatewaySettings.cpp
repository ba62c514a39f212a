#include "Parsleystair/Gateway/GatewaySettings.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

constexpr size_t kMaxSettingsBytes = 64 * 1024;

/// Reads one member of the settings object. Throws `value_error` with the name
/// of the member if its value is invalid.
class setting_reader
{
public:
  setting_reader(const json& aSettings, std::string aName)
    : mName(std::move(aName))
  {
    const auto found = aSettings.find(mName);
    if (found != aSettings.end() && !found->is_null()) {
      mValue = &*found;
    }
  }

  [[nodiscard]] bool IsSet() const { return mValue != nullptr; }

  [[nodiscard]] std::string Text() const
  {
    if (mValue == nullptr || !mValue->is_string() ||
        mValue->get<std::string>().empty()) {
      Fail("a non-empty string");
    }
    return mValue->get<std::string>();
  }

  /// An IP address and a port, such as "10.0.0.1:80".
  [[nodiscard]] socket_address Address() const
  {
    if (const auto address = FindSocketAddress(Text())) {
      return *address;
    }
    Fail("an IP address and a port, such as 10.0.0.1:80");
  }

  /// A number from `aMin` to `aMax`, or `aDefault` if the member is not set.
  [[nodiscard]] double Number(double aDefault, double aMin, double aMax) const
  {
    if (mValue == nullptr) {
      return aDefault;
    }
    if (!mValue->is_number() || mValue->get<double>() < aMin ||
        mValue->get<double>() > aMax) {
      Fail("a number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
    }
    return mValue->get<double>();
  }

  /// True or false, or `aDefault` if the member is not set.
  [[nodiscard]] bool Flag(bool aDefault) const
  {
    if (mValue == nullptr) {
      return aDefault;
    }
    if (!mValue->is_boolean()) {
      Fail("true or false");
    }
    return mValue->get<bool>();
  }

  [[nodiscard]] duration Seconds(duration aDefault, duration aMax) const
  {
    return FromSeconds(Number(ToSeconds(aDefault), 0, ToSeconds(aMax)));
  }

  [[nodiscard]] std::map<failure_domain_name, region_name> Regions() const
  {
    std::map<failure_domain_name, region_name> regions;
    if (mValue == nullptr || !mValue->is_object()) {
      Fail("a JSON object that maps failure domains to regions");
    }
    for (const auto& [domain, region] : mValue->items()) {
      if (!region.is_string()) {
        Fail("a region name (string) for each failure domain");
      }
      regions[failure_domain_name(domain)] =
        region_name(region.get<std::string>());
    }
    return regions;
  }

private:
  [[noreturn]] void Fail(const std::string& aAllowed) const
  {
    throw value_error(
      mName, mValue == nullptr ? "nothing" : mValue->dump(), aAllowed);
  }

  std::string mName;
  const json* mValue = nullptr;
};

} // namespace

gateway_settings ParseGatewaySettings(const std::string& aText)
{
  const json parsed = json::parse(aText, nullptr, false);
  if (!parsed.is_object()) {
    throw value_error("settings", aText.substr(0, 40), "a JSON object");
  }
  const auto get = [&](const char* aName) {
    return setting_reader(parsed, aName);
  };
  constexpr duration kMaxDuration = 1h;
  gateway_settings settings;
  settings.mVm = vm_name(get("vm").Text());
  settings.mFailureDomain = failure_domain_name(get("failureDomain").Text());
  settings.mRegions = get("failureDomains").Regions();
  settings.mCallers = get("callers").Address();
  settings.mReadiness = get("readiness").Address();
  settings.mOperators = get("operators").Address();
  settings.mPeers = get("peers").Address();
  settings.mStore = get("store").Address();
  constexpr double kMaxShare = 1'000;
  settings.mProcessorShare =
    get("processorShare").Number(settings.mProcessorShare, 0, kMaxShare);
  constexpr double kMegabyte = 1024 * 1024;
  constexpr double kMinMegabytes = 16;
  constexpr double kMaxMegabytes = 1024 * 1024;
  settings.mMemoryBytes = static_cast<uint64_t>(
    kMegabyte *
    get("memoryMegabytes")
      .Number(static_cast<double>(settings.mMemoryBytes) / kMegabyte,
              kMinMegabytes,
              kMaxMegabytes));
  settings.mFirstStart = get("firstStart").Flag(settings.mFirstStart);
  settings.mShutdownGrace =
    get("shutdownGraceSeconds").Seconds(settings.mShutdownGrace, kMaxDuration);
  settings.mMaxGrantDuration =
    get("maxHoldSeconds").Seconds(settings.mMaxGrantDuration, kMaxDuration);
  settings.mMaxNetworkDelay =
    get("maxNetworkDelaySeconds")
      .Seconds(settings.mMaxNetworkDelay, kMaxDuration);
  settings.mConfigurationApplyTime =
    get("configurationApplySeconds")
      .Seconds(settings.mConfigurationApplyTime, kMaxDuration);
  settings.mRetryRatio = get("retryRatio").Number(settings.mRetryRatio, 0, 1);
  constexpr double kMaxSlack = 1'000'000;
  settings.mRetrySlack = static_cast<uint32_t>(
    get("retrySlack").Number(settings.mRetrySlack, 0, kMaxSlack));
  return settings;
}

gateway_settings LoadGatewaySettings(const std::string& aPath)
{
  return ParseGatewaySettings(ReadTextFile(aPath, kMaxSettingsBytes));
}

} // namespace parsleystair
