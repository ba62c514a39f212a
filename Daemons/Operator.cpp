#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Operator/OperatorCommand.h"

#include <csignal>
#include <iostream>

int main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  // Failed calls are reported by the command itself.
  parsleystair::StartLog(parsleystair::log_severity::kError);
  return parsleystair::RunOperatorCommand(
    { aArguments + 1, aArguments + aCount }, std::cout, std::cerr);
}
