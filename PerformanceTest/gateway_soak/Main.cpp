#include "Parsleystair/Core/Log.h"
#include "PerformanceTest/gateway_soak/SoakWorld.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

using namespace parsleystair;

namespace {

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options("gateway_soak",
                           "Routers of the users' platform under faults");
  options.add_options() //
    ("gateway",
     "Path of the router's program",
     cxxopts::value<std::string>()) //
    ("directory",
     "Folder for settings and logs",
     cxxopts::value<std::string>()) //
    ("seed",
     "Seed of the faults",
     cxxopts::value<std::string>()->default_value("1")) //
    ("seconds",
     "Time with faults",
     cxxopts::value<std::string>()->default_value("20"));
  const auto arguments = options.parse(aCount, aArguments);
  soak_settings settings;
  settings.mProgram = arguments["gateway"].as<std::string>();
  settings.mDirectory = arguments["directory"].as<std::string>();
  settings.mSeed = std::stoull(arguments["seed"].as<std::string>());
  settings.mTime =
    std::chrono::seconds(std::stoul(arguments["seconds"].as<std::string>()));
  std::filesystem::create_directories(settings.mDirectory);
  StartLog(log_severity::kWarning);
  soak_world world(settings);
  const auto violations = world.Run();
  std::cout << "seed " << settings.mSeed << ": " << world.Summary() << "\n";
  for (const std::string& violation : violations) {
    std::cout << "seed " << settings.mSeed << " broken: " << violation << "\n";
  }
  return violations.empty() ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& exception) {
    std::cerr << "gateway_soak: " << exception.what() << "\n";
    return 1;
  }
}
