#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/NoteOrigins.h"
#include "Parsleystair/Settings/ReleaseNote.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <algorithm>
#include <string>
#include <vector>

namespace parsleystair {

inline std::string Indexed(const std::string& aPath, size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

inline std::string Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

template<typename T, typename Id>
auto FindNamed(T& aList, const Id& aName)
{
  return std::find_if(aList.begin(), aList.end(), [&](const auto& aElement) {
    return aElement.mName == aName;
  });
}

template<typename T, typename Id>
bool HasNamed(const T& aList, const Id& aName)
{
  return FindNamed(aList, aName) != aList.end();
}

/// The application of one note in progress: the base, the result so far and
/// the problems found. Names are looked up in the base, so that the order of
/// parts in a note has no meaning.
class note_edit
{
public:
  note_edit(const configuration& aBase, const release_note& aNote)
    : mBase(aBase)
    , mNote(aNote)
    , mResult(aBase)
  {
  }

  [[nodiscard]] const configuration& Base() const { return mBase; }
  [[nodiscard]] const release_note& Note() const { return mNote; }
  [[nodiscard]] configuration& Result() { return mResult; }
  [[nodiscard]] note_origins& Origins() { return mOrigins; }
  [[nodiscard]] std::vector<value_problem>& Problems() { return mProblems; }

  void Add(const std::string& aPath,
           const std::string& aValue,
           const std::string& aAllowed)
  {
    mProblems.push_back({ aPath, aValue, aAllowed });
  }

  /// Changes elements of `aList`; `aPath` is the place in the note and `aKey`
  /// that of the list in the configuration.
  template<typename T>
  void ChangeList(std::vector<T>& aList,
                  const std::vector<member_changes<T>>& aChanges,
                  const std::string& aPath,
                  const std::string& aKey)
  {
    for (size_t i = 0; i < aChanges.size(); ++i) {
      const T& values = aChanges[i].mValues;
      const std::string path = Indexed(aPath, i);
      const std::string key = aKey + "/" + values.mName.Value();
      const auto element = FindNamed(aList, values.mName);
      if (element == aList.end()) {
        Add(path + ".name",
            Quoted(values.mName.Value()),
            "a name that is in " + aKey + " of the configuration");
        continue;
      }
      if (mOrigins.Has(key)) {
        Add(path + ".name", Quoted(values.mName.Value()), "each name once");
        continue;
      }
      CopyMembers(aChanges[i].mNames, values, *element);
      mOrigins.Set(key, path);
    }
  }

  /// Removes the named elements of `aList`.
  template<typename T, typename Id>
  void WithdrawList(std::vector<T>& aList,
                    const std::vector<Id>& aNames,
                    const std::string& aPath,
                    const std::string& aKey)
  {
    for (size_t i = 0; i < aNames.size(); ++i) {
      const std::string path = Indexed(aPath, i);
      const auto element = FindNamed(aList, aNames[i]);
      if (element == aList.end()) {
        Add(path,
            Quoted(aNames[i].Value()),
            "a name that is in " + aKey + " of the configuration, once");
        continue;
      }
      if (mOrigins.Has(aKey + "/" + aNames[i].Value())) {
        Add(path,
            Quoted(aNames[i].Value()),
            "a name that the note does not change as well");
      }
      aList.erase(element);
    }
    if (!aNames.empty()) {
      mOrigins.Set(aKey, aPath);
    }
  }

  /// Adds elements to `aList`, which is `aBaseList` in the base.
  template<typename T>
  void AddList(const std::vector<T>& aBaseList,
               std::vector<T>& aList,
               const std::vector<T>& aAdded,
               const std::string& aPath,
               const std::string& aKey)
  {
    for (size_t i = 0; i < aAdded.size(); ++i) {
      const std::string path = Indexed(aPath, i);
      if (HasNamed(aBaseList, aAdded[i].mName) ||
          HasNamed(aList, aAdded[i].mName)) {
        Add(path + ".name",
            Quoted(aAdded[i].mName.Value()),
            "a name that is not in " + aKey + " of the configuration, once");
        continue;
      }
      aList.push_back(aAdded[i]);
      mOrigins.Set(aKey + "/" + aAdded[i].mName.Value(), path);
    }
  }

private:
  const configuration& mBase;
  const release_note& mNote;
  configuration mResult;
  note_origins mOrigins;
  std::vector<value_problem> mProblems;
};

} // namespace parsleystair
