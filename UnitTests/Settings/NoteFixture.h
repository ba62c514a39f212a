#pragma once

#include "Parsleystair/Settings/NoteApplication.h"
#include "Parsleystair/Settings/ReleaseNoteCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace parsleystair {

/// First note of a small deployment: an exclusive service with two targets and
/// two rules and a shared service with one of each.
inline nlohmann::json FirstNote()
{
  return nlohmann::json::parse(R"({
    "id": "first", "base": 0,
    "added": {
      "groupCount": 8,
      "failureDomains": [
        { "name": "oviedo", "region": "Asturias" },
        { "name": "gijon", "region": "Asturias" } ],
      "services": [
        { "name": "menus", "ownership": "exclusive", "slotCount": 64,
          "namedKeys": [ "school-1", "school-2" ],
          "targets": [
            { "name": "menus-1", "host": "127.0.0.1", "port": 9001,
              "failureDomain": "oviedo" },
            { "name": "menus-2", "host": "127.0.0.1", "port": 9002,
              "failureDomain": "oviedo" } ],
          "rules": [
            { "name": "read", "method": "GET", "path": "/menus/{school}",
              "keyName": "school" },
            { "name": "write", "method": "PUT", "path": "/menus/{school}",
              "keyName": "school" } ] },
        { "name": "routes", "ownership": "shared",
          "namedKeys": [ "route-1", "route-2" ],
          "targets": [
            { "name": "routes-1", "host": "127.0.0.1", "port": 9101,
              "failureDomain": "oviedo" } ],
          "rules": [
            { "name": "read", "method": "GET", "path": "/routes/{route}",
              "keyName": "route" } ] } ]
    } })");
}

/// A note against the configuration that `FirstNote` makes.
inline release_note Note(const std::string& aParts,
                         const std::string& aId = "second",
                         uint64_t aBase = 1)
{
  nlohmann::json document = nlohmann::json::parse(aParts);
  document["id"] = aId;
  document["base"] = aBase;
  return ParseReleaseNote(document.dump());
}

inline configuration FirstConfiguration()
{
  const auto result =
    Apply(configuration{}, ParseReleaseNote(FirstNote().dump()));
  return result.mConfiguration.value();
}

} // namespace parsleystair
