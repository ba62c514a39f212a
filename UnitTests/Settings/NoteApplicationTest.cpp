#include "Parsleystair/Settings/NoteApplication.h"

#include "Parsleystair/Settings/ConfigurationCodec.h"
#include "UnitTests/Settings/NoteFixture.h"

namespace parsleystair {

namespace {

using paths = std::set<std::string>;

paths ProblemPaths(const std::string& aParts)
{
  paths found;
  for (const value_problem& problem :
       Apply(FirstConfiguration(), Note(aParts)).mProblems) {
    EXPECT_FALSE(problem.mAllowed.empty());
    found.insert(problem.mPath);
  }
  return found;
}

configuration Applied(const std::string& aParts)
{
  const note_application result = Apply(FirstConfiguration(), Note(aParts));
  for (const value_problem& problem : result.mProblems) {
    ADD_FAILURE() << Describe(problem);
  }
  return result.mConfiguration.value_or(configuration{});
}

} // namespace

// Guards against parts of a first note that don't reach the configuration.
TEST(NoteApplication, MakesTheFirstConfiguration)
{
  const configuration made = FirstConfiguration();
  EXPECT_EQ(made.mRevision, configuration_revision(1));
  EXPECT_EQ(made.mGroupCount, 8U);
  EXPECT_EQ(made.mFailureDomains.size(), 2U);
  ASSERT_EQ(made.mServices.size(), 2U);
  EXPECT_EQ(made.mServices[0].mTargets.size(), 2U);
  EXPECT_EQ(made.mServices[0].mRules.size(), 2U);
  EXPECT_EQ(ParseConfiguration(EncodeConfiguration(made)), made);
}

// Guards against a change that also touches members the note doesn't name.
TEST(NoteApplication, ChangesOnlyWhatTheNoteNames)
{
  configuration expected = FirstConfiguration();
  expected.mRevision = configuration_revision(2);
  expected.mWeights.mChurn = 9;
  expected.mServices[0].mRetryBudgetPercent = 3;
  expected.mServices[0].mTargets[1].mConcurrency = 6;
  expected.mServices[0].mRules[0].mDeadline = 900ms;
  expected.mServices[1].mTargets[0].mPort = 9109;
  EXPECT_EQ(Applied(R"({ "changed": {
              "weights": { "churn": 9 },
              "services": [
                { "name": "menus", "retryBudgetPercent": 3,
                  "targets": [ { "name": "menus-2", "concurrency": 6 } ],
                  "rules": [ { "name": "read", "deadlineMs": 900 } ] },
                { "name": "routes",
                  "targets": [ { "name": "routes-1", "port": 9109 } ] } ]
            } })"),
            expected);
}

// Guards against parts that are added or withdrawn in the wrong place.
TEST(NoteApplication, AddsAndWithdrawsParts)
{
  const configuration made = Applied(R"({
    "added": {
      "failureDomains": [ { "name": "santander", "region": "Cantabria" } ],
      "services": [ {
        "name": "menus",
        "targets": [ { "name": "menus-3", "host": "127.0.0.1", "port": 9001,
                       "failureDomain": "santander" } ],
        "rules": [ { "name": "drop", "method": "DELETE",
                     "path": "/menus/{school}", "keyName": "school" } ] } ] },
    "withdrawn": {
      "failureDomains": [ "gijon" ],
      "services": [
        "routes",
        { "name": "menus", "targets": [ "menus-1" ],
          "rules": [ "write" ] } ] } })");
  ASSERT_EQ(made.mServices.size(), 1U);
  const service_configuration& menus = made.mServices[0];
  EXPECT_EQ(menus.mTargets[0].mName, target_name("menus-2"));
  EXPECT_EQ(menus.mTargets[1].mName, target_name("menus-3"));
  EXPECT_EQ(menus.mRules[1].mName, rule_name("drop"));
  EXPECT_EQ(made.RegionOf(failure_domain_name("gijon")), region_name());
}

// Guards against a named key that changes its place, and with it its slot, when
// another is withdrawn.
TEST(NoteApplication, KeepsPlacesOfNamedKeys)
{
  const configuration made = Applied(R"({
    "added": { "services": [
      { "name": "routes", "namedKeys": [ "route-3", "route-4" ] } ] },
    "withdrawn": { "services": [
      { "name": "routes", "namedKeys": [ "route-1" ] } ] } })");
  EXPECT_EQ(made.FindService(service_name("routes"))->mNamedKeys,
            (std::vector<std::string>{ "route-3", "route-2", "route-4" }));
}

// Guards against two owners of a key while routers differ in the configuration.
TEST(NoteApplication, RefusesOtherNamedKeysOfExclusiveServices)
{
  EXPECT_EQ(ProblemPaths(R"({
      "added": { "services": [
        { "name": "menus", "namedKeys": [ "school-3" ] } ] },
      "withdrawn": { "services": [
        { "name": "menus", "namedKeys": [ "school-1" ] } ] } })"),
            (paths{ "added.services[0].namedKeys[0]",
                    "withdrawn.services[0].namedKeys[0]" }));
}

// Guards against names that are not there, or there already.
TEST(NoteApplication, RefusesWrongNames)
{
  EXPECT_EQ(ProblemPaths(R"({
      "added": {
        "failureDomains": [ { "name": "oviedo", "region": "Asturias" } ],
        "services": [
          { "name": "menus", "namedKeys": [ "school-1" ],
            "targets": [ { "name": "menus-1", "host": "127.0.0.1",
                           "port": 9003, "failureDomain": "oviedo" },
                         { "name": "menus-4", "host": "127.0.0.1",
                           "port": 9004, "failureDomain": "madrid" } ] },
          { "name": "orders", "namedKeys": [ "a" ] },
          { "name": "routes", "retryBudgetPercent": 1 } ] },
      "changed": {
        "failureDomains": [ { "name": "madrid", "region": "Madrid" } ],
        "services": [
          { "name": "menus", "targets": [ { "name": "menus-9", "port": 1 } ],
            "rules": [ { "name": "read", "priority": 1 },
                       { "name": "read", "priority": 2 } ] },
          { "name": "orders" } ] },
      "withdrawn": { "failureDomains": [ "madrid" ],
                     "services": [ "orders" ] } })"),
            (paths{ "added.failureDomains[0].name",
                    "added.services[0].namedKeys[0]",
                    "added.services[0].targets[0].name",
                    "added.services[0].targets[1].failureDomain",
                    "added.services[1].name",
                    "added.services[2].retryBudgetPercent",
                    "changed.failureDomains[0].name",
                    "changed.services[0].targets[0].name",
                    "changed.services[0].rules[1].name",
                    "changed.services[1].name",
                    "withdrawn.failureDomains[0]",
                    "withdrawn.services[0]" }));
}

// Guards against a withdrawal of what is still used or changed.
TEST(NoteApplication, RefusesWithdrawalsOfUsedParts)
{
  EXPECT_EQ(
    ProblemPaths(R"({ "withdrawn": { "failureDomains": [ "oviedo" ] } })"),
    paths{ "withdrawn.failureDomains[0]" });
  EXPECT_EQ(ProblemPaths(R"({ "withdrawn": { "services": [
              { "name": "routes", "targets": [ "routes-1" ] } ] } })"),
            paths{ "withdrawn.services[0].targets" });
  EXPECT_EQ(ProblemPaths(R"({ "changed": { "services": [ {
              "name": "routes",
              "targets": [ { "name": "routes-1", "leaving": true } ] } ] } })"),
            paths{ "changed.services[0].targets" });
  EXPECT_EQ(ProblemPaths(R"({
              "changed": { "services": [ {
                "name": "routes", "retryBudgetPercent": 1 } ] },
              "withdrawn": { "services": [ "routes" ] } })"),
            paths{ "withdrawn.services[0]" });
}

// Guards against changes that give a key two owners while routers differ in
// their revision.
TEST(NoteApplication, RefusesChangesOfFixedMembers)
{
  EXPECT_EQ(ProblemPaths(R"({
              "added": { "groupCount": 9 },
              "changed": { "services": [
                { "name": "menus", "slotCount": 65, "ownership": "shared",
                  "targets": [ { "name": "menus-2", "port": 9009 } ] },
                { "name": "routes", "slotCount": 256 } ] } })"),
            (paths{ "added.groupCount",
                    "changed.services[0].slotCount",
                    "changed.services[0].ownership",
                    "changed.services[0].targets[0].port" }));
}

// Guards against requests that two rules or none match, and limits that can't
// be met; each is reported where the note causes it.
TEST(NoteApplication, RefusesWrongRulesAndLimits)
{
  EXPECT_EQ(ProblemPaths(R"({ "changed": { "services": [ {
              "name": "menus", "rules": [
                { "name": "read", "path": "/menus/{school}/today" } ] } ] } })"),
            paths{ "changed.services[0].rules[0].path" });
  EXPECT_EQ(ProblemPaths(R"({ "changed": { "services": [ {
              "name": "menus", "rules": [
                { "name": "read", "path": "/{any}/{school}" } ] } ] } })"),
            paths{ "changed.services[0].rules[0].path" });
  EXPECT_EQ(ProblemPaths(R"({ "added": { "services": [ {
              "name": "menus", "rules": [
                { "name": "all", "method": "GET", "path": "/routes/today",
                  "keySource": "header", "keyName": "School" } ] } ] } })"),
            paths{ "added.services[0].rules[0].path" });
  EXPECT_EQ(ProblemPaths(R"({ "changed": { "services": [ {
              "name": "menus",
              "targets": [ { "name": "menus-2", "concurrency": 56 } ],
              "rules": [ { "name": "read", "deadlineMs": 500 } ] } ] } })"),
            (paths{ "changed.services[0].targets[0].connections",
                    "changed.services[0].rules[0].maxQueueTimeMs" }));
  EXPECT_EQ(ProblemPaths(R"({ "changed": { "weights": {
              "imbalance": 0, "churn": 0, "unavailableTime": 0 } } })"),
            paths{ "changed.weights" });
}

// Guards against a note that is applied to a revision it wasn't written for.
TEST(NoteApplication, RefusesAnotherBase)
{
  const auto result =
    Apply(FirstConfiguration(),
          Note(R"({ "changed": { "weights": { "churn": 2 } } })", "x", 2));
  ASSERT_EQ(result.mProblems.size(), 1U);
  EXPECT_EQ(result.mProblems[0].mPath, "base");
}

} // namespace parsleystair
