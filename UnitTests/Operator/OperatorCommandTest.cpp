#include "UnitTests/Operator/OperatorSimulation.h"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace parsleystair {

namespace {

using json = nlohmann::json;

std::string Example(const std::string& aName)
{
  return std::string(PARSLEYSTAIR_SOURCE_DIRECTORY) + "/examples/" + aName;
}

std::string WriteFile(const std::string& aName, const std::string& aText)
{
  const std::string path = testing::TempDir() + "/" + aName;
  std::ofstream(path) << aText;
  return path;
}

json Member(const std::string& aVm, const char* aState, int aRevision)
{
  return { { "vm", aVm },
           { "incarnation", 1 },
           { "state", aState },
           { "failureDomain", "oviedo" },
           { "inForceMs", 1500 },
           { "ageMs", 100 },
           { "configurationRevision", aRevision } };
}

/// vm-1 answers and is live.
http_response Status(int aRevision, const std::vector<json>& aOthers)
{
  json document = Member("vm-1", "live", aRevision);
  document["members"] = aOthers;
  return { 200, {}, document.dump() };
}

} // namespace

// Guards against examples that operators can't use as they are.
TEST(OperatorCommand, TakesEveryExample)
{
  for (const std::string name : { "fiambrera", "bottlers" }) {
    const std::string first = Example(name + ".json");
    const std::string second = Example(name + "-2.json");
    for (const std::string& path : { first, second }) {
      EXPECT_EQ(RunCommand({ "check", path }).mCode, 0) << path;
    }
    EXPECT_EQ(RunCommand({ "check", Example(name + "-vm-1.json") }).mOut,
              Example(name + "-vm-1.json") + ": valid router settings\n");
    const json checked = RunJson({ "check", second, "--against", first });
    EXPECT_EQ(checked["exitCode"], 0) << checked;
    const json diff =
      RunJson({ "release", "diff", second, "--against", first });
    EXPECT_EQ(diff["differences"].size(), 3U);
  }
}

// Guards against input errors without place, next step or exit code 2.
TEST(OperatorCommand, TellsWhatToCorrect)
{
  const std::string path =
    WriteFile("wrong-note.json", R"({"id":"a","base":-1})");
  const command_run run = RunCommand({ "check", path });
  EXPECT_EQ(run.mCode, 2);
  EXPECT_NE(run.mOut.find("  base: -1 is not allowed"), std::string::npos);
  EXPECT_EQ(run.mError, "next: correct the file and check it again\n");
  EXPECT_EQ(RunJson({ "check", path })["problems"][0]["path"], "base");

  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{ {},
                                              { "frob" },
                                              { "check" },
                                              { "check", "/nonexistent" },
                                              { "release", "frob" },
                                              { "release", "list" },
                                              { "status" },
                                              { "status", "--wat" },
                                              { "status", "--router=a:1" },
                                              { "status", "--router=::1" },
                                              { "--timeout=0", "status" } }) {
    const command_run wrong = RunCommand(arguments);
    EXPECT_EQ(wrong.mCode, 2);
    EXPECT_TRUE(wrong.mError.starts_with("parsleystair: "));
    EXPECT_NE(wrong.mError.find("next: "), std::string::npos);
  }
}

// Guards against an outage that looks like a refusal or a success.
TEST(OperatorCommand, TellsOutagesByExitCode)
{
  // Nothing listens on port 1.
  const std::string note = Example("fiambrera.json");
  const std::string platform = "--platform=127.0.0.1:1";
  EXPECT_EQ(
    RunJson({ "release", "submit", note, platform, "--timeout=1" })["outcome"],
    "unreachable");
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
         { "release", "list", platform },
         { "release", "show", "a", platform },
         { "release", "status", "a", platform, "--router=127.0.0.1:1" },
         { "owner", "menus", "a", "--router=127.0.0.1:1" },
         { "dump", "vm-1", "--router=[::1]:1" } }) {
    EXPECT_EQ(RunJson(arguments)["exitCode"], 3);
  }
}

// Guards against a note that is lost between the command and the platform.
TEST(OperatorCommand, SubmitsNotesThroughThePlatform)
{
  operator_simulation world;
  const auto submit = [&](const std::string& aName,
                          const std::vector<std::string>& aOptions = {}) {
    std::vector<std::string> arguments = {
      "release", "submit", Example(aName), world.Platform()
    };
    arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
    return RunJson(arguments);
  };
  EXPECT_EQ(RunCommand({ "release", "list", world.Platform() }).mOut,
            "no note has been accepted\n");
  EXPECT_EQ(submit("fiambrera.json")["revision"], 1);
  EXPECT_EQ(submit("fiambrera-2.json")["revision"], 2);
  EXPECT_EQ(submit("fiambrera-2.json")["wasAccepted"], true);
  EXPECT_EQ(submit("bottlers.json")["outcome"], "conflict");
  EXPECT_EQ(submit("bottlers.json", { "--rebase" })["exitCode"], 1);

  const json list = RunJson({ "release", "list", world.Platform() });
  ASSERT_EQ(list["notes"].size(), 2U);
  EXPECT_EQ(list["notes"][0]["id"], "fiambrera-2");
  const json shown =
    RunJson({ "release", "show", "fiambrera-2", world.Platform() });
  EXPECT_EQ(shown["note"]["base"], 1);
  EXPECT_EQ(
    RunJson({ "release", "show", "none", world.Platform() })["exitCode"], 2);
}

// Guards against a note that is called in force while a VM lags behind.
TEST(OperatorCommand, WaitsUntilANoteIsInForceEverywhere)
{
  operator_simulation world;
  world.Answer(
    "/status",
    Status(1, { Member("vm-2", "suspect", 0), Member("vm-3", "lost", 0) }));
  const std::vector<std::string> submit = {
    "release",    "submit",         Example("bottlers.json"),
    "--wait",     world.Platform(), world.Router(),
    "--timeout=1"
  };
  const json lagging = RunJson(submit);
  EXPECT_EQ(lagging["exitCode"], 1);
  EXPECT_EQ(lagging["outcome"], "accepted");
  EXPECT_EQ(lagging["status"]["lagging"], json({ "vm-2" }));
  EXPECT_EQ(RunJson({ "release", "status", world.Router() })["lagging"],
            json({ "vm-2" }));

  world.Answer("/status", Status(1, { Member("vm-2", "live", 1) }));
  EXPECT_EQ(RunJson(submit)["exitCode"], 0);
  EXPECT_EQ(RunJson({ "release",
                      "status",
                      "bottlers-1",
                      world.Router(),
                      world.Platform() })["inForce"],
            true);
  const command_run status = RunCommand({ "status", world.Router() });
  EXPECT_NE(status.mOut.find("vm-2  oviedo          live   1"),
            std::string::npos)
    << status.mOut;

  world.Answer("/status", { 200, {}, "{}" });
  EXPECT_EQ(RunJson({ "status", world.Router() })["exitCode"], 3);
}

// Guards against keys that are changed on the way, and against a dump of
// another VM than the one asked for.
TEST(OperatorCommand, AsksARouterForOwnersAndDumps)
{
  operator_simulation world;
  const json owner = { { "service", "menus" }, { "key", "a b&c" },
                       { "slot", 3 },          { "group", 4 },
                       { "exclusive", true },  { "owner", "menus-1" },
                       { "sinceMs", 1500 },    { "fence", 7 } };
  world.Answer("/owner", { 200, {}, owner.dump() });
  const command_run run =
    RunCommand({ "owner", "menus", "a b&c", world.Router() });
  EXPECT_EQ(run.mCode, 0);
  EXPECT_EQ(run.mOut,
            "menus a b&c: slot 3, group 4, owner menus-1 since "
            "1970-01-01T00:00:01.500Z, fence 7\n");
  EXPECT_EQ(world.Requests().back(), "/owner?service=menus&key=a%20b%26c");
  world.Answer("/owner", { 404, {}, "" });
  EXPECT_EQ(RunJson({ "owner", "x", "y", world.Router() })["exitCode"], 2);

  world.Answer("/dump", { 200, {}, R"({"vm":"vm-1"})" });
  EXPECT_EQ(RunJson({ "dump", "vm-1", world.Router() })["vm"], "vm-1");
  EXPECT_EQ(RunJson({ "dump", "vm-2", world.Router() })["exitCode"], 2);
}

// Guards against a request whose chain can't be read from files, and an id that
// no log names but that looks found.
TEST(OperatorCommand, ExplainsARequestFromLogs)
{
  const std::string log = WriteFile(
    "vm-1.log",
    "time=2026-12-04T07:00:00.1 level=info event=try_failed request=r-1 "
    "target=t-1 failure=\"timed out\"\n"
    "time=2026-12-04T07:00:00.2 level=info event=request_refused request=r-1 "
    "outcome=no-answer\n");
  const json found = RunJson({ "explain", "r-1", log });
  EXPECT_EQ(found["exitCode"], 0) << found;
  ASSERT_EQ(found["lines"].size(), 2U);
  EXPECT_EQ(found["lines"][0]["fields"]["failure"], "timed out");
  EXPECT_EQ(found["lines"][0]["source"], "vm-1.log");
  EXPECT_EQ(RunCommand({ "explain", "r-2", log }).mCode, 1);
  EXPECT_EQ(RunCommand({ "explain", "r-1", log + ".none" }).mCode, 2);
}

// Guards against bytes in a log or in an argument that are not UTF-8: the
// exception of the JSON library ended the command.
TEST(OperatorCommand, ReadsLogsWithBytesThatAreNotUtf8)
{
  const std::string log = WriteFile(
    "vm-2.log",
    "time=2026-12-04T07:00:00.1 level=info event=request_refused "
    "request=r-\xff service=menus\xc3 outcome=no-answer reason=a\x80\n");
  const json found = RunJson({ "explain", "r-\xff", log });
  EXPECT_EQ(found["exitCode"], 0) << found;
  EXPECT_EQ(found["lines"].size(), 1U);
  EXPECT_EQ(RunJson({ "report", log })["exitCode"], 0);
  EXPECT_EQ(RunJson({ "explain", "r-1", log + "\xff" })["exitCode"], 2);
}

// Guards against a report that leaves out outcomes or the worst seconds.
TEST(OperatorCommand, ReportsADayFromLogs)
{
  const std::string log = WriteFile(
    "vm-2.log",
    "time=2026-12-04T07:00:01.0 level=info event=requests_ended service=menus "
    "answered=9 not_run=2\n"
    "time=2026-12-04T07:00:02.0 level=info event=requests_ended service=menus "
    "answered=9 not_run=4\n");
  const json report = RunJson({ "report", log, "--limit=1" });
  EXPECT_EQ(report["services"]["menus"]["answered"], 18);
  ASSERT_EQ(report["worstSeconds"].size(), 1U);
  EXPECT_EQ(report["worstSeconds"][0]["second"], "2026-12-04T07:00:02");
  EXPECT_THAT(RunCommand({ "report", log }).mOut,
              testing::HasSubstr("menus: 18 answered, 6 not run"));
}

} // namespace parsleystair
