#pragma once

#include <stdexcept>
#include <string>

namespace parsleystair {

/// Base of all errors that the library throws.
class error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// A wrong value that a user can correct: where it stands, what it is and what
/// is allowed there.
class value_error : public error
{
public:
  value_error(std::string aPath, std::string aValue, std::string aAllowed);

  [[nodiscard]] const std::string& Path() const { return mPath; }
  [[nodiscard]] const std::string& Value() const { return mValue; }
  [[nodiscard]] const std::string& Allowed() const { return mAllowed; }

private:
  std::string mPath;
  std::string mValue;
  std::string mAllowed;
};

/// Bytes from outside that don't parse or whose checksum is wrong.
class parse_error : public error
{
public:
  using error::error;
};

/// The operating system or a library refused something the process needs.
class system_error : public error
{
public:
  using error::error;
};

/// A condition that the program guarantees does not hold. Never caught by
/// tasks, so that the process stops instead of acting on a wrong state.
class invariant_error : public error
{
public:
  using error::error;
};

} // namespace parsleystair
