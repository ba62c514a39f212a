#include "Parsleystair/Settings/Names.h"

#include <algorithm>
#include <arpa/inet.h>

namespace parsleystair {

namespace {

constexpr size_t kMaxNameBytes = 64;

// The functions of <cctype> depend on the locale.
bool IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

bool IsNameCharacter(char aCharacter)
{
  return IsLetterOrDigit(aCharacter) || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

} // namespace

bool IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

bool IsIpAddress(const std::string& aText)
{
  // A NUL byte would end the text early for inet_pton.
  if (aText.find('\0') != std::string::npos) {
    return false;
  }
  in6_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &address) == 1;
}

} // namespace parsleystair
