#include "Parsleystair/Core/Text.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

std::string Printable(std::string_view aBytes)
{
  std::string text;
  AppendPrintable(text, aBytes);
  return text;
}

} // namespace

// Guards against bytes that pass here and fail later in a JSON encoder.
TEST(Text, KnowsUtf8)
{
  for (const std::string_view text : { "",
                                       "abc",
                                       "\x7f",
                                       "\xc3\xa9",
                                       "\xe2\x82\xac",
                                       "\xf0\x9f\x8d\x8e",
                                       "\xed\x9f\xbf",
                                       "\xee\x80\x80",
                                       "\xf4\x8f\xbf\xbf" }) {
    EXPECT_TRUE(IsUtf8(text)) << Printable(text);
  }
  for (const std::string_view text : { "\x80",
                                       "\xff",
                                       "a\xc3",
                                       "\xc3(",
                                       "\xe2\x82",
                                       "\xf0\x9f\x8d",
                                       "\xc0\xaf",
                                       "\xe0\x80\xaf",
                                       "\xf0\x80\x80\xaf",
                                       "\xed\xa0\x80",
                                       "\xed\xbf\xbf",
                                       "\xf4\x90\x80\x80",
                                       "\xf8\x88\x80\x80\x80" }) {
    EXPECT_FALSE(IsUtf8(text)) << Printable(text);
  }
}

// Guards against terminal sequences and cut characters in lines for people.
TEST(Text, PrintsEveryByte)
{
  EXPECT_EQ(Printable("caf\xc3\xa9"), "caf\xc3\xa9");
  EXPECT_EQ(Printable("a\x1b[31m\xff"), "a\\x1b[31m\\xff");
  EXPECT_EQ(Printable("\xc3"), "\\xc3");
  EXPECT_TRUE(IsPrintable("caf\xc3\xa9 \""));
  EXPECT_FALSE(IsPrintable("a\n"));
  EXPECT_FALSE(IsPrintable("\xed\xa0\x80"));
}

} // namespace parsleystair
