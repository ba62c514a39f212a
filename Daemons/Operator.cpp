#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Operator/OperatorCommand.h"

#include <iostream>

int main(int aCount, char** aArguments)
{
  // Failed calls are reported by the command itself.
  parsleystair::StartLog(parsleystair::log_severity::kError);
  return parsleystair::RunOperatorCommand(
    { aArguments + 1, aArguments + aCount }, std::cout, std::cerr);
}
