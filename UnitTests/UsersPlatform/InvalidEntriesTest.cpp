#include "platform/Catalog.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

constexpr size_t kMaxValueBytes = 1024 * 1024;

json ValidEntry()
{
  return { { "service", "plain" }, { "address", "127.0.0.1:8080" },
           { "zone", "asti-a" },   { "version", "v1" },
           { "slots", 4 },         { "state", "ready" },
           { "seq", 7 },           { "slow_start_s_time", 0.5 },
           { "born", 1000 } };
}

/// Text of a valid entry in which one member has another JSON text.
std::string EntryWith(const std::string& aName, const std::string& aText)
{
  json entry = ValidEntry();
  entry.erase(aName);
  std::string text = entry.dump();
  text.pop_back();
  return text + ",\"" + aName + "\":" + aText + "}";
}

bool IsReadable(const std::string& aValue)
{
  return platform::catalog().ReadTarget("servers/t-1", aValue).has_value();
}

std::string Nested(size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

std::string ConfigurationWith(const std::string& aTimeout,
                              const std::string& aWeight,
                              const std::string& aIdleTimeout,
                              const std::string& aVersion = "0000000c")
{
  return R"({"version":")" + aVersion + R"(","limits":{"idle_timeout_s":)" +
         aIdleTimeout +
         R"(},"listeners":[{"host":"h","rules":[{"name":"r","kind":"safe",)"
         R"("match":{"prefix":"/p/"},"action":{"timeout_s":)" +
         aTimeout + R"(,"traffic_split":[{"service":"s","weight":)" + aWeight +
         R"(}]}}]}],"clusters":[{"name":"s"}]})";
}

bool IsReadableConfiguration(const std::string& aValue)
{
  return platform::catalog().ReadConfiguration("op/config", aValue).has_value();
}

} // namespace

// Guards against checks that refuse the entries of live targets.
TEST(InvalidEntries, ReadsAValidEntry)
{
  const auto target =
    platform::catalog().ReadTarget("servers/t-1", ValidEntry().dump());
  ASSERT_TRUE(target);
  EXPECT_EQ(target->mName, target_name("t-1"));
  EXPECT_EQ(target->mHost, "127.0.0.1");
  EXPECT_EQ(target->mPort, 8080);
  EXPECT_EQ(target->mConcurrency, 4U);
  EXPECT_EQ(target->mSlowStart, 500ms);
  EXPECT_EQ(target->mStartedMs, 1000U);
  // Entries need not tell the start time.
  json entry = ValidEntry();
  entry.erase("born");
  EXPECT_TRUE(IsReadable(entry.dump()));
}

// Guards against stack overflows in parsing, destruction or error texts, for
// nesting up to the longest value that the store takes.
TEST(InvalidEntries, RefusesDeepNesting)
{
  const size_t levels = kMaxValueBytes / 2 - 200;
  for (const std::string& nested :
       { Nested(100'000), Nested(levels), std::string(levels, '[') }) {
    EXPECT_FALSE(IsReadable(nested));
    for (const char* name : { "service", "slots", "born", "state" }) {
      EXPECT_FALSE(IsReadable(EntryWith(name, nested))) << name;
    }
    EXPECT_FALSE(IsReadableConfiguration(nested));
    EXPECT_FALSE(IsReadableConfiguration(ConfigurationWith("1", nested, "10")));
  }
  std::string objects;
  for (size_t level = 0; level < 100'000; ++level) {
    objects += R"({"a":)";
  }
  EXPECT_FALSE(IsReadable(objects + "1" + std::string(100'000, '}')));
  EXPECT_FALSE(IsReadable(objects));
}

// Guards against numbers that are out of range, of another type, or that
// convert to an arbitrary value.
TEST(InvalidEntries, RefusesInvalidNumbers)
{
  const std::string longDigits(100'000, '9');
  for (const std::string& text : { std::string("1e400"),
                                   std::string("-1e400"),
                                   std::string("1e300"),
                                   std::string("-1"),
                                   std::string("18446744073709551616"),
                                   std::string("1.5"),
                                   std::string("NaN"),
                                   std::string("Infinity"),
                                   std::string("\"NaN\""),
                                   std::string("\"4\""),
                                   std::string("true"),
                                   std::string("null"),
                                   std::string("[]"),
                                   std::string("{}"),
                                   std::string(""),
                                   longDigits }) {
    for (const char* name : { "slots", "seq", "born" }) {
      EXPECT_FALSE(IsReadable(EntryWith(name, text)))
        << name << " " << text.substr(0, 40);
    }
    if (text != "1.5") {
      EXPECT_FALSE(IsReadable(EntryWith("slow_start_s_time", text)))
        << text.substr(0, 40);
    }
  }
  EXPECT_FALSE(IsReadable(EntryWith("slots", "0")));
  EXPECT_FALSE(IsReadable(EntryWith("slots", "4294967296")));
  // The planner divides the keys in proportion to this number.
  EXPECT_FALSE(IsReadable(EntryWith("slots", "4294967295")));
  EXPECT_FALSE(IsReadable(EntryWith("slow_start_s_time", "1e9")));
}

// Guards against entries that are used though members are missing.
TEST(InvalidEntries, RefusesMissingMembers)
{
  for (const char* name : { "service",
                            "address",
                            "zone",
                            "version",
                            "slots",
                            "state",
                            "slow_start_s_time",
                            "seq" }) {
    json entry = ValidEntry();
    entry.erase(name);
    EXPECT_FALSE(IsReadable(entry.dump())) << name;
  }
}

// Guards against addresses that are no IP address with a port, or whose port is
// truncated.
TEST(InvalidEntries, RefusesInvalidAddresses)
{
  for (const std::string& address : { std::string("127.0.0.1"),
                                      std::string("127.0.0.1:"),
                                      std::string("127.0.0.1:0"),
                                      std::string("127.0.0.1:65536"),
                                      std::string("127.0.0.1:99999"),
                                      std::string("127.0.0.1:-1"),
                                      std::string("127.0.0.1:+80"),
                                      std::string("127.0.0.1: 80"),
                                      std::string("127.0.0.1:80 "),
                                      std::string("127.0.0.1:0x50"),
                                      "127.0.0.1:" + std::string(100'000, '9'),
                                      std::string(":80"),
                                      std::string(""),
                                      std::string("localhost:80"),
                                      std::string("[]:80"),
                                      std::string("[::1:80"),
                                      std::string("127.0.0.1\0:80", 13),
                                      std::string("127.0.0.1:80\0", 13),
                                      std::string(500'000, 'a') + ":80" }) {
    EXPECT_FALSE(IsReadable(EntryWith("address", json(address).dump())))
      << address.substr(0, 40);
  }
}

// Guards against bytes that end the process in a conversion to JSON, and
// against control characters in headers of requests and in log lines.
TEST(InvalidEntries, RefusesTextsWithControlCharacters)
{
  for (const char* name : { "service", "zone", "version", "state" }) {
    for (const std::string& text : { std::string("\"a\xff\""),
                                     std::string("\"a\xc3\""),
                                     std::string("\"\xed\xa0\x80\""),
                                     std::string("\"\\ud800\""),
                                     std::string("\"a\0b\"", 5),
                                     std::string("\"a\\u0000b\""),
                                     std::string("\"a\\r\\nb\""),
                                     std::string("\"\"") }) {
      EXPECT_FALSE(IsReadable(EntryWith(name, text))) << name << " " << text;
    }
  }
  EXPECT_FALSE(IsReadable(std::string("\0\xff", 2)));
  EXPECT_FALSE(IsReadable("\xff\xfe{}"));
  EXPECT_FALSE(IsReadable(""));
  const std::string value = ValidEntry().dump();
  for (const std::string& key : { std::string("servers/"),
                                  std::string("servers"),
                                  std::string("servers/a\0b", 11),
                                  std::string("servers/a\r\nX-B: c"),
                                  std::string("servers/a b"),
                                  std::string("servers/a\xff"),
                                  std::string("") }) {
    EXPECT_FALSE(platform::catalog().ReadTarget(key, value)) << key;
    EXPECT_NO_THROW(static_cast<void>(platform::catalog().TargetOf(key)))
      << key;
  }
}

// Guards against values that are JSON, but no objects.
TEST(InvalidEntries, RefusesOtherValues)
{
  for (const char* text : { "null", "7", "\"text\"", "[]", "[{}]", "{}" }) {
    EXPECT_FALSE(IsReadable(text)) << text;
    EXPECT_FALSE(IsReadableConfiguration(text)) << text;
  }
}

// Guards against times and weights of the configuration that convert to an
// arbitrary value, and a version after which no other one is newer.
TEST(InvalidEntries, RefusesInvalidNumbersInTheConfiguration)
{
  EXPECT_TRUE(IsReadableConfiguration(ConfigurationWith("1.5", "3", "10")));
  for (const char* text : { "1e400", "1e300", "-1e300", "-1", "\"1\"" }) {
    EXPECT_FALSE(IsReadableConfiguration(ConfigurationWith(text, "3", "10")))
      << text;
    EXPECT_FALSE(IsReadableConfiguration(ConfigurationWith("1", text, "10")))
      << text;
    EXPECT_FALSE(IsReadableConfiguration(ConfigurationWith("1", "3", text)))
      << text;
  }
  EXPECT_FALSE(IsReadableConfiguration(
    ConfigurationWith("1", "3", "10", "ffffffffffffffff")));
}

} // namespace parsleystair
