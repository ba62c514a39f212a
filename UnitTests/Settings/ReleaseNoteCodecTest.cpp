#include "Parsleystair/Settings/ReleaseNoteCodec.h"

#include "Parsleystair/Settings/NoteComparison.h"
#include "UnitTests/Settings/NoteFixture.h"

namespace parsleystair {

namespace {

using json = nlohmann::json;

const char* const kAllParts = R"({
  "added": { "services": [ { "name": "menus", "namedKeys": [ "a" ] } ] },
  "changed": {
    "weights": { "churn": 0.5 },
    "failureDomains": [ { "name": "gijon", "region": "Norte" } ],
    "services": [ {
      "name": "menus",
      "orderWindows": [ { "fromMinute": 1, "toMinute": 2 } ],
      "targets": [ { "name": "menus-1", "leaving": true } ],
      "rules": [ { "name": "read", "withoutKey": "send-once" } ] } ] },
  "withdrawn": { "failureDomains": [ "gijon" ], "services": [
    "routes", { "name": "menus", "namedKeys": [ "school-2" ],
                "targets": [ "menus-2" ], "rules": [ "write" ] } ] } })";

} // namespace

// Guards against a note that changes on its way through the store.
TEST(ReleaseNoteCodec, ReadsWhatItWrites)
{
  for (const release_note& note :
       { Note(kAllParts), ParseReleaseNote(FirstNote().dump()) }) {
    EXPECT_EQ(ParseReleaseNote(EncodeReleaseNote(note)), note);
    const accepted_note accepted{ note,
                                  configuration_revision(7),
                                  wall_time(5ms) };
    EXPECT_EQ(DecodeAcceptedNote(EncodeAcceptedNote(accepted)), accepted);
  }
  EXPECT_THROW(DecodeAcceptedNote("{}"), parse_error);
  EXPECT_THROW(DecodeAcceptedNote(R"({"note":{},"revision":1})"), parse_error);
}

// Guards against a wrong note that is taken, or reported one error at a time.
TEST(ReleaseNoteCodec, ReportsAllProblemsOfANote)
{
  std::set<std::string> paths;
  for (const value_problem& problem : CheckReleaseNoteText(R"({
         "id": "a", "base": -1, "renamed": {},
         "changed": { "services": [ { "name": "menus", "targets": [
           { "name": "a" }, { "name": "b" }, { "name": "c", "port": 0 },
           { "port": 1 } ] } ] },
         "withdrawn": { "services": [ 3 ] } })")) {
    paths.insert(problem.mPath);
  }
  EXPECT_EQ(paths,
            (std::set<std::string>{ "base",
                                    "renamed",
                                    "changed.services[0].targets[2].port",
                                    "changed.services[0].targets[3].name",
                                    "withdrawn.services[0]" }));
  EXPECT_EQ(CheckReleaseNoteText(R"({"id":"a","base":0})").size(), 1U);
  EXPECT_EQ(CheckReleaseNoteText(R"({"id":"a/b","base":0,
              "withdrawn":{"services":[{"name":"menus"}]}})")
              .size(),
            2U);
}

// Guards against a change that the operator isn't shown.
TEST(NoteComparison, ListsEveryChange)
{
  const configuration base = FirstConfiguration();
  std::vector<std::string> lines;
  for (const auto& difference : Diff(Note(kAllParts), &base)) {
    lines.push_back(RenderLine(difference));
  }
  ASSERT_EQ(lines.size(), 11U);
  EXPECT_EQ(lines[0], "+ services.menus.namedKeys.a");
  EXPECT_EQ(lines[1], "~ weights.churn 1.0 -> 0.5");
  EXPECT_EQ(lines[2], R"(~ failureDomains.gijon.region "Asturias" -> "Norte")");
  EXPECT_EQ(lines[4], "~ services.menus.targets.menus-1.leaving false -> true");
  EXPECT_EQ(lines[7].substr(0, 18), "- services.routes ");
  const json list =
    json::parse(EncodeDifferences(Diff(Note(kAllParts), nullptr)));
  ASSERT_EQ(list.size(), 11U);
  EXPECT_EQ(list[1],
            (json{ { "kind", "changed" },
                   { "path", "weights.churn" },
                   { "from", nullptr },
                   { "to", 0.5 } }));
}

// Guards against notes whose result depends on their order.
TEST(NoteComparison, FindsConflicts)
{
  using paths = std::vector<std::string>;
  const auto menus = [](const std::string& aMembers) {
    return Note(R"({"changed":{"services":[{"name":"menus",)" + aMembers +
                "}]}}");
  };
  const release_note port =
    menus(R"("targets":[{"name":"menus-1","concurrency":5}])");
  EXPECT_EQ(Conflicts(port, port),
            paths{ "services.menus.targets.menus-1.concurrency" });
  EXPECT_EQ(
    Conflicts(port, menus(R"("targets":[{"name":"menus-1","leaving":true}])")),
    paths{});
  const release_note withdrawal =
    Note(R"({"withdrawn":{"services":["menus"]}})");
  EXPECT_EQ(Conflicts(port, withdrawal),
            paths{ "services.menus.targets.menus-1.concurrency" });
  EXPECT_EQ(Conflicts(withdrawal, port), Conflicts(port, withdrawal));
  EXPECT_EQ(
    Conflicts(
      Note(R"({"withdrawn":{"failureDomains":["gijon"]}})"),
      menus(R"("targets":[{"name":"menus-1","failureDomain":"gijon"}])")),
    paths{ "failureDomains.gijon" });
}

} // namespace parsleystair
