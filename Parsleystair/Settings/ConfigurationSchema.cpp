#include "Parsleystair/Settings/ConfigurationSchema.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// Definitions that both schemas share. The lowest deadline, 30 ms, leaves a
/// request the way to another region and back (12 ms each) and a few ms to run.
/// 27 hot keys are named today; 1024 leave room without making a lookup slow.
constexpr const char* kDefinitions = R"json({
  "name": {
    "type": "string",
    "description": "a string that is a name"
  },
  "names": {
    "type": "array", "maxItems": 10000,
    "items": { "$ref": "#/definitions/name" },
    "description": "an array of at most 10000 names"
  },
  "namedKeys": {
    "type": "array", "maxItems": 1024,
    "items": {
      "type": "string", "maxLength": 256,
      "description": "a string of at most 256 characters"
    },
    "description": "an array of at most 1024 strings"
  },
  "flag": { "type": "boolean", "description": "true or false" },
  "weight": {
    "type": "number", "minimum": 0, "maximum": 1000000,
    "description": "a number from 0 to 1000000"
  },
  "weights": {
    "type": "object",
    "properties": {
      "imbalance": { "$ref": "#/definitions/weight" },
      "churn": { "$ref": "#/definitions/weight" },
      "unavailableTime": { "$ref": "#/definitions/weight" }
    },
    "additionalProperties": false,
    "description": "an object with imbalance, churn and unavailableTime"
  },
  "failureDomain": {
    "type": "object",
    "properties": {
      "name": { "$ref": "#/definitions/name" },
      "region": { "$ref": "#/definitions/name" }
    },
    "required": ["name", "region"],
    "additionalProperties": false,
    "description": "an object with name and region"
  },
  "failureDomains": {
    "type": "array", "maxItems": 1000,
    "items": { "$ref": "#/definitions/failureDomain" },
    "description": "an array of at most 1000 objects with name and region"
  },
  "groupCount": {
    "type": "integer", "minimum": 1, "maximum": 1024,
    "description": "an integer from 1 to 1024"
  },
  "minuteOfDay": {
    "type": "integer", "minimum": 0, "maximum": 1440,
    "description": "an integer from 0 to 1440, minutes after midnight UTC"
  },
  "target": {
    "type": "object",
    "properties": {
      "name": { "$ref": "#/definitions/name" },
      "host": {
        "type": "string",
        "description": "a string that is an IPv4 or IPv6 address"
      },
      "port": {
        "type": "integer", "minimum": 1, "maximum": 65535,
        "description": "an integer from 1 to 65535"
      },
      "failureDomain": { "$ref": "#/definitions/name" },
      "concurrency": {
        "type": "integer", "minimum": 1, "maximum": 10000,
        "description": "an integer from 1 to 10000"
      },
      "connections": {
        "type": "integer", "minimum": 1, "maximum": 100000,
        "description": "an integer from 1 to 100000"
      },
      "checksGrants": { "$ref": "#/definitions/flag" },
      "leaving": { "$ref": "#/definitions/flag" }
    },
    "required": ["name", "host", "port", "failureDomain"],
    "additionalProperties": false,
    "description": "an object with name, host, port and failureDomain"
  },
  "rule": {
    "type": "object",
    "properties": {
      "name": { "$ref": "#/definitions/name" },
      "method": {
        "enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
        "description": "GET, HEAD, POST, PUT, PATCH or DELETE"
      },
      "path": {
        "type": "string", "maxLength": 1024,
        "description": "a string that is a path"
      },
      "keySource": {
        "enum": ["path", "header", "query"],
        "description": "path, header or query"
      },
      "keyName": {
        "type": "string", "minLength": 1, "maxLength": 128,
        "description": "a string of 1 to 128 characters"
      },
      "idempotent": { "$ref": "#/definitions/flag" },
      "withoutKey": {
        "enum": ["refuse", "send-once"],
        "description": "refuse or send-once"
      },
      "keyFormat": {
        "enum": ["uuidv7", "any"],
        "description": "uuidv7 or any"
      },
      "priority": {
        "type": "integer", "minimum": 0, "maximum": 9,
        "description": "an integer from 0, served first, to 9"
      },
      "deadlineMs": {
        "type": "integer", "minimum": 30, "maximum": 600000,
        "description": "an integer from 30 to 600000"
      },
      "maxQueueTimeMs": {
        "type": "integer", "minimum": 0, "maximum": 600000,
        "description": "an integer from 0 to 600000"
      },
      "maxAttempts": {
        "type": "integer", "minimum": 1, "maximum": 5,
        "description": "an integer from 1 to 5"
      }
    },
    "required": ["name", "method", "path", "keyName"],
    "additionalProperties": false,
    "description": "an object with name, method, path and keyName"
  },
  "targets": {
    "type": "array", "maxItems": 10000,
    "items": { "$ref": "#/definitions/target" },
    "description": "an array of at most 10000 targets"
  },
  "rules": {
    "type": "array", "maxItems": 1000,
    "items": { "$ref": "#/definitions/rule" },
    "description": "an array of at most 1000 rules"
  },
  "service": {
    "type": "object",
    "properties": {
      "name": { "$ref": "#/definitions/name" },
      "ownership": {
        "enum": ["exclusive", "shared"],
        "description": "exclusive or shared"
      },
      "slotCount": {
        "type": "integer", "minimum": 1, "maximum": 65536,
        "description": "an integer from 1 to 65536"
      },
      "namedKeys": { "$ref": "#/definitions/namedKeys" },
      "retryBudgetPercent": {
        "type": "integer", "minimum": 0, "maximum": 100,
        "description": "an integer from 0 to 100"
      },
      "orderWindows": {
        "type": "array", "maxItems": 24,
        "items": {
          "type": "object",
          "properties": {
            "fromMinute": { "$ref": "#/definitions/minuteOfDay" },
            "toMinute": { "$ref": "#/definitions/minuteOfDay" }
          },
          "required": ["fromMinute", "toMinute"],
          "additionalProperties": false,
          "description": "an object with fromMinute and toMinute"
        },
        "description": "an array of at most 24 objects with fromMinute and toMinute"
      },
      "targets": { "$ref": "#/definitions/targets" },
      "rules": { "$ref": "#/definitions/rules" }
    },
    "required": ["name", "ownership", "targets", "rules"],
    "additionalProperties": false,
    "description": "an object with name, ownership, targets and rules"
  }
})json";

constexpr const char* kConfiguration = R"json({
  "type": "object",
  "properties": {
    "revision": {
      "type": "integer", "minimum": 0, "maximum": 9007199254740991,
      "description": "an integer from 0 to 9007199254740991"
    },
    "groupCount": { "$ref": "#/definitions/groupCount" },
    "weights": { "$ref": "#/definitions/weights" },
    "failureDomains": { "$ref": "#/definitions/failureDomains" },
    "services": {
      "type": "array", "maxItems": 1000,
      "items": { "$ref": "#/definitions/service" },
      "description": "an array of at most 1000 services"
    }
  },
  "required": ["revision", "groupCount", "failureDomains", "services"],
  "additionalProperties": false,
  "description": "an object that is a configuration"
})json";

constexpr const char* kReleaseNote = R"json({
  "type": "object",
  "properties": {
    "id": { "$ref": "#/definitions/name" },
    "base": {
      "type": "integer", "minimum": 0, "maximum": 9007199254740990,
      "description": "an integer from 0 to 9007199254740990"
    },
    "added": {
      "type": "object",
      "properties": {
        "groupCount": { "$ref": "#/definitions/groupCount" },
        "failureDomains": { "$ref": "#/definitions/failureDomains" },
        "services": {
          "type": "array", "maxItems": 1000,
          "items": { "$ref": "#/definitions/addedService" },
          "description": "an array of at most 1000 services"
        }
      },
      "additionalProperties": false,
      "description":
        "an object with any of groupCount, failureDomains and services"
    },
    "changed": {
      "type": "object",
      "properties": {
        "weights": { "$ref": "#/definitions/weights" },
        "failureDomains": { "$ref": "#/definitions/failureDomains" },
        "services": {
          "type": "array", "maxItems": 1000,
          "items": { "$ref": "#/definitions/changedService" },
          "description": "an array of at most 1000 services"
        }
      },
      "additionalProperties": false,
      "description":
        "an object with any of weights, failureDomains and services"
    },
    "withdrawn": {
      "type": "object",
      "properties": {
        "failureDomains": { "$ref": "#/definitions/names" },
        "services": {
          "type": "array", "maxItems": 1000,
          "items": {
            "type": ["string", "object"],
            "properties": {
              "name": { "$ref": "#/definitions/name" },
              "namedKeys": { "$ref": "#/definitions/namedKeys" },
              "targets": { "$ref": "#/definitions/names" },
              "rules": { "$ref": "#/definitions/names" }
            },
            "required": ["name"],
            "additionalProperties": false,
            "description": "the name of a service, or an object with name and any of namedKeys, targets and rules"
          },
          "description": "an array of at most 1000 services"
        }
      },
      "additionalProperties": false,
      "description": "an object with any of failureDomains and services"
    }
  },
  "required": ["id", "base"],
  "additionalProperties": false,
  "description": "an object that is a release note"
})json";

std::string MakeConfigurationSchema()
{
  json schema = json::parse(kConfiguration);
  schema["definitions"] = json::parse(kDefinitions);
  return schema.dump();
}

/// The object with only its name required.
json Partial(const json& aDefinition)
{
  json partial = aDefinition;
  partial["required"] = { "name" };
  partial["description"] = "an object with name and any other member of it";
  return partial;
}

json ListOf(const std::string& aDefinition, const json& aLike)
{
  json list = aLike;
  list["items"] = { { "$ref", "#/definitions/" + aDefinition } };
  return list;
}

std::string MakeReleaseNoteSchema()
{
  json schema = json::parse(kReleaseNote);
  json definitions = json::parse(kDefinitions);
  definitions["changedTarget"] = Partial(definitions["target"]);
  definitions["changedRule"] = Partial(definitions["rule"]);

  // Parts of a service that is there are added without its other members, so
  // which members are needed is checked when the note is applied.
  definitions["addedService"] = Partial(definitions["service"]);

  json changed = Partial(definitions["service"]);
  changed["properties"]["targets"] =
    ListOf("changedTarget", definitions["targets"]);
  changed["properties"]["rules"] = ListOf("changedRule", definitions["rules"]);
  changed["properties"].erase("namedKeys");
  definitions["changedService"] = std::move(changed);

  schema["definitions"] = std::move(definitions);
  return schema.dump();
}

} // namespace

const json_shape& ConfigurationShape()
{
  static const json_shape kShape(MakeConfigurationSchema());
  return kShape;
}

const json_shape& ReleaseNoteShape()
{
  static const json_shape kShape(MakeReleaseNoteSchema());
  return kShape;
}

} // namespace parsleystair
